#pragma once

// CSV to checked rows: the work behind weights_table::Parse.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <tl/expected.hpp>

#include "oriolewalk/base/id.h"
#include "oriolewalk/weights/columns.h"
#include "oriolewalk/weights/csv_reader.h"
#include "oriolewalk/weights/weights_row.h"
#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::weights {

// What no two rows may share; also the order of rows.
inline std::tuple<const organisation_id&, const std::optional<work_class>&>
PairOf(const weights_row& aRow)
{
  return std::tie(aRow.mOrganisation, aRow.mClass);
}

// A cell for the file: quoted where a plain one would read as something else.
std::string
WriteQuoted(const column& aColumn, const weights_row& aRow);

// Used once for each table, by one thread.
class table_parser
{
public:
  tl::expected<std::vector<weights_row>, std::vector<table_error>> Parse(
    std::string_view aCsv);

private:
  void ReadHeader(const csv_row& aHeader);
  void ReadRow(const csv_row& aRow);
  void CheckRow(const csv_row& aRow, const weights_row& aParsed);
  void CheckTogether();
  void Report(std::uint64_t aRow, std::string_view aColumn, std::string aText);

  std::vector<const column*> mHeader; // By place in the file.
  std::vector<weights_row> mRows;
  std::vector<std::uint64_t> mNumbers; // Of mRows, in the file.
  std::vector<table_error> mErrors;
};

} // namespace oriolewalk::weights
