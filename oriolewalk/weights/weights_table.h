#pragma once

// The table that operators edit like a spreadsheet.
//
//   auto table = weights_table::Parse(csv);
//   if (!table) { for (const table_error& e : table.error()) ... }
//   const weights_row& row = table->Find(organisation, work_class::Urgent);
//
// Columns and rules: docs/WEIGHTS.md.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "oriolewalk/base/id.h"
#include "oriolewalk/weights/weights_row.h"

namespace oriolewalk::weights {

// What is wrong in one cell, for the person at the spreadsheet. mRow counts
// the lines as a spreadsheet numbers its rows: the header is row 1; 0 means
// the table as a whole. mColumn is the header's word, empty for a whole row.
struct table_error
{
  std::uint64_t mRow = 0;
  std::string mColumn;
  std::string mMessage;

  bool operator==(const table_error&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRow, mColumn, mMessage);
  }
};

// Sizes that keep a mistaken upload from filling the log.
inline constexpr std::size_t kMaxCsvBytes = 512UL * 1024UL;
// 690 teams with a row for each of three classes, and as much again.
inline constexpr std::size_t kMaxRows = 4200;
inline constexpr std::size_t kMaxErrors = 100;
inline constexpr std::size_t kMaxNameBytes = 128;

// An immutable, checked table: always with a row for everyone ("*", "*"), and
// no two rows for the same organisation and class. Free to share by threads.
class weights_table
{
public:
  using parsed = tl::expected<weights_table, std::vector<table_error>>;

  // One row, ("*", "*") with weight 1 and no limits.
  weights_table();

  // Checks the whole table and reports up to kMaxErrors of its errors; a table
  // with an error has no effect at all. Cost: linear, plus a sort of the rows.
  static parsed Parse(std::string_view aCsv);
  // The table that a new cell starts with.
  static weights_table BuiltIn();

  // In a normal form: columns and rows in a fixed order, so that equal tables
  // give equal text.
  [[nodiscard]] std::string ToCsv() const;

  // The row that holds for a pair: its own, else the organisation's for every
  // class, else everyone's for the class, else everyone's. Cost: at most four
  // binary searches; callers that ask per request keep the pointer while the
  // version stands.
  [[nodiscard]] const weights_row& Find(const organisation_id& aOrganisation,
                                        work_class aClass) const;

  [[nodiscard]] std::span<const weights_row> Rows() const { return mRows; }

  bool operator==(const weights_table&) const = default;

private:
  explicit weights_table(std::vector<weights_row> aRows);

  std::vector<weights_row> mRows; // By organisation, then class.
};

} // namespace oriolewalk::weights
