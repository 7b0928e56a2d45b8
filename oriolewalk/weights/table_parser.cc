#include "oriolewalk/weights/table_parser.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "oriolewalk/base/id.h"
#include "oriolewalk/weights/columns.h"
#include "oriolewalk/weights/csv_reader.h"
#include "oriolewalk/weights/weights_row.h"
#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::weights {
namespace {

// For a message: never more of a stranger's text than fits a line.
std::string
Shown(std::string_view aText)
{
  constexpr std::size_t kShownBytes = 40;
  std::string shown(aText.substr(0, kShownBytes));
  std::ranges::replace_if(
    shown, [](unsigned char aByte) { return aByte < ' ' || aByte > '~'; }, '?');
  return "'" + shown + (aText.size() > kShownBytes ? "...'" : "'");
}

} // namespace

std::string
WriteQuoted(const column& aColumn, const weights_row& aRow)
{
  const auto cell = WriteCell(aColumn, aRow);
  const bool isName = aColumn.mName == kOrganisationColumn && cell != kAnyone;
  return isName ? QuoteCell(cell) : cell;
}

tl::expected<std::vector<weights_row>, std::vector<table_error>>
table_parser::Parse(std::string_view aCsv)
{
  if (aCsv.size() > kMaxCsvBytes) {
    Report(
      0, "", "the table is over " + std::to_string(kMaxCsvBytes) + " bytes");
    return tl::make_unexpected(std::move(mErrors));
  }
  const auto rows = ReadCsv(aCsv);
  if (!rows) {
    mErrors.push_back(rows.error());
  } else if (rows->empty()) {
    Report(0, "", "the table is empty");
  } else if (rows->size() > kMaxRows + 1) {
    Report(0, "", "the table has over " + std::to_string(kMaxRows) + " rows");
  } else {
    ReadHeader(rows->front());
    // Without a sound header each cell below would be an error.
    if (mErrors.empty()) {
      std::ranges::for_each(std::span(*rows).subspan(1),
                            [this](const csv_row& aRow) { ReadRow(aRow); });
      CheckTogether();
    }
  }
  if (!mErrors.empty()) {
    return tl::make_unexpected(std::move(mErrors));
  }
  return std::move(mRows);
}

void
table_parser::ReadHeader(const csv_row& aHeader)
{
  for (const auto& name : aHeader.mCells) {
    const auto* const known =
      std::ranges::find(kColumns, std::string_view(name), &column::mName);
    const column* const found = known == kColumns.end() ? nullptr : known;
    if (found == nullptr) {
      Report(aHeader.mNumber, Shown(name), "is not a column of this table");
    } else if (std::ranges::find(mHeader, found) != mHeader.end()) {
      Report(aHeader.mNumber, name, "the column stands twice");
    }
    mHeader.push_back(found);
  }
  // All must be there: a column that was deleted by mistake would otherwise
  // lift the limits in it for everyone.
  for (const auto& needed : kColumns) {
    if (std::ranges::find(mHeader, &needed) == mHeader.end()) {
      Report(aHeader.mNumber, needed.mName, "the column is missing");
    }
  }
}

void
table_parser::ReadRow(const csv_row& aRow)
{
  if (aRow.mCells.size() != mHeader.size()) {
    Report(aRow.mNumber,
           "",
           "has " + std::to_string(aRow.mCells.size()) +
             " cells, the header has " + std::to_string(mHeader.size()));
    return;
  }
  const auto before = mErrors.size();
  weights_row row;
  for (std::size_t i = 0; i < mHeader.size(); ++i) {
    const auto& cell = aRow.mCells[i];
    if (const auto read = ReadCell(*mHeader[i], cell, row); !read) {
      Report(
        aRow.mNumber, mHeader[i]->mName, read.error() + ", not " + Shown(cell));
    }
  }
  if (mErrors.size() == before) {
    CheckRow(aRow, row);
    mRows.push_back(std::move(row));
    mNumbers.push_back(aRow.mNumber);
  }
}

void
table_parser::CheckRow(const csv_row& aRow, const weights_row& aParsed)
{
  if (aParsed.mBurst && !aParsed.mRequestsPerSecond) {
    Report(aRow.mNumber, kBurstColumn, "has no meaning without requests_per_s");
  }
}

void
table_parser::CheckTogether()
{
  std::map<std::pair<organisation_id, std::optional<work_class>>, std::uint64_t>
    first;
  for (std::size_t i = 0; i < mRows.size(); ++i) {
    const auto [place, isNew] = first.try_emplace(
      { mRows[i].mOrganisation, mRows[i].mClass }, mNumbers[i]);
    if (!isNew) {
      Report(mNumbers[i],
             kOrganisationColumn,
             "the same organisation and class stand in row " +
               std::to_string(place->second));
    }
  }
  if (mErrors.empty() &&
      !first.contains({ organisation_id{ std::string(kAnyone) }, {} })) {
    Report(0, "", "a row for everyone (organisation *, class *) is missing");
  }
}

void
table_parser::Report(std::uint64_t aRow,
                     std::string_view aColumn,
                     std::string aText)
{
  if (mErrors.size() < kMaxErrors) {
    mErrors.push_back({ aRow, std::string(aColumn), std::move(aText) });
  }
}

} // namespace oriolewalk::weights
