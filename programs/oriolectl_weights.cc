#include "programs/oriolectl.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/settings.h"
#include "oriolewalk/weights/csv_reader.h"

namespace oriolewalk::ctl {

namespace {

constexpr std::string_view kAgain =
  "repeat the command with this --change-id and --if-version: it is done once "
  "and gets its first answer";

void
DescribeEdit(settings::settings_parser& aParser, options& aOptions)
{
  aParser.Text("change-id",
               aOptions.mChangeId,
               "TEXT",
               "makes a repeated command one change; none: a fresh one, which "
               "is printed");
  aParser.Number("if-version",
                 aOptions.mVersion,
                 {},
                 "version",
                 "the version that is edited; the change is refused if another "
                 "came first; 0: the newest (weights edit only)");
}

void
DescribeSet(settings::settings_parser& aParser, options& aOptions)
{
  DescribeEdit(aParser, aOptions);
  aParser.Require("if-version");
}

void
DescribeGet(settings::settings_parser& aParser, options& aOptions)
{
  aParser.Number(
    "version", aOptions.mVersion, {}, "version", "which; 0: the newest");
}

struct fetched_table
{
  std::string mCsv;
  std::string mVersion;
};

// The table, or the exit code.
std::optional<fetched_table>
Fetch(const options& aOptions, int& aCode)
{
  const std::string query = aOptions.mVersion == 0
                              ? ""
                              : "?version=" + std::to_string(aOptions.mVersion);
  auto outcome =
    Exchange(aOptions, { .mTarget = "/v1/weights" + query }, resend::Reads);
  aCode = Conclude(outcome, "");
  if (aCode != kExitDone) {
    return std::nullopt;
  }
  std::string version(outcome.mResponse.Find("ETag").value_or(""));
  std::erase(version, '"');
  return fetched_table{ std::move(outcome.mResponse.mBody),
                        std::move(version) };
}

int
Get(options& aOptions)
{
  int code = kExitDone;
  const auto table = Fetch(aOptions, code);
  if (!table) {
    return code;
  }
  if (aOptions.mJson) {
    const boost::json::object object{ { "version", table->mVersion },
                                      { "csv", table->mCsv } };
    std::printf("%s\n", boost::json::serialize(object).c_str());
    return code;
  }
  std::fprintf(stderr, "version: %s\n", table->mVersion.c_str());
  std::fputs(table->mCsv.c_str(), stdout);
  return code;
}

int
Put(options& aOptions, std::string aCsv, const std::string& aVersion)
{
  const std::string id = ChangeId(aOptions);
  std::fprintf(stderr, "edited version: %s\n", aVersion.c_str());
  return Show(aOptions,
              { .mMethod = "PUT",
                .mTarget = "/v1/weights",
                .mHeaders = { { "Content-Type", "text/csv" },
                              { "If-Match", "\"" + aVersion + "\"" },
                              { "Oriole-Change-Id", id } },
                .mBody = std::move(aCsv) },
              resend::Safe,
              kAgain);
}

int
Set(options& aOptions)
{
  std::ifstream file(aOptions.mOperands.front(), std::ios::binary);
  if (!file) {
    std::fprintf(stderr,
                 "oriolectl weights set: can't read '%s'\n",
                 aOptions.mOperands.front().c_str());
    return settings::kExitUsage;
  }
  std::string csv{ std::istreambuf_iterator<char>(file), {} };
  return Put(aOptions, std::move(csv), std::to_string(aOptions.mVersion));
}

int
Diff(options& aOptions)
{
  return Show(aOptions,
              { .mTarget = "/v1/weights/diff?from=" + aOptions.mOperands[0] +
                           "&to=" + aOptions.mOperands[1] },
              resend::Reads,
              "");
}

int
History(options& aOptions)
{
  return Show(
    aOptions, { .mTarget = "/v1/weights/history" }, resend::Reads, "");
}

using table_rows = std::vector<std::vector<std::string>>;

std::string
ToCsv(const table_rows& aRows)
{
  std::string text;
  for (const auto& row : aRows) {
    for (std::size_t place = 0; place < row.size(); ++place) {
      text += place == 0 ? "" : ",";
      text += row[place].empty() ? "" : weights::QuoteCell(row[place]);
    }
    text += '\n';
  }
  return text;
}

// The place of the named column, or a word on what there is.
result<std::size_t>
ColumnOf(const table_rows& aRows, std::string_view aName)
{
  const auto found = std::ranges::find(aRows.front(), aName);
  if (found == aRows.front().end()) {
    std::string names;
    for (const std::string& name : aRows.front()) {
      names.append(" ").append(name);
    }
    return Fail(error_code::InvalidArgument,
                "editing the table",
                "no column '" + std::string(aName) + "'; there are:" + names);
  }
  return static_cast<std::size_t>(found - aRows.front().begin());
}

// The row of that organisation and class; one is added if there's none.
result<std::size_t>
RowOf(table_rows& aRows,
      const std::string& aOrganisation,
      const std::string& aClass)
{
  const auto organisation = ColumnOf(aRows, "organisation");
  const auto kind = ColumnOf(aRows, "class");
  if (!organisation || !kind) {
    return Fail(organisation ? kind.error() : organisation.error());
  }
  const auto found =
    std::find_if(aRows.begin() + 1, aRows.end(), [&](const auto& aRow) {
      return aRow[*organisation] == aOrganisation && aRow[*kind] == aClass;
    });
  if (found != aRows.end()) {
    return static_cast<std::size_t>(found - aRows.begin());
  }
  std::vector<std::string> fresh(aRows.front().size());
  fresh[*organisation] = aOrganisation;
  fresh[*kind] = aClass;
  if (const auto weight = ColumnOf(aRows, "weight")) {
    fresh[*weight] = "1";
  }
  aRows.push_back(std::move(fresh));
  return aRows.size() - 1;
}

// "COLUMN=VALUE" words, put into the organisation's row.
result<void>
EditRows(table_rows& aRows, std::span<const std::string> aWords)
{
  const auto row = RowOf(aRows, aWords[0], aWords[1]);
  if (!row) {
    return Fail(row.error());
  }
  for (const std::string& word : aWords.subspan(2)) {
    const std::size_t equals = word.find('=');
    if (equals == std::string::npos) {
      return Fail(error_code::InvalidArgument,
                  "editing the table",
                  "'" + word + "' is no COLUMN=VALUE");
    }
    const auto column = ColumnOf(aRows, word.substr(0, equals));
    if (!column) {
      return Fail(column.error());
    }
    aRows[*row][*column] = word.substr(equals + 1);
  }
  return {};
}

result<table_rows>
ReadRows(const std::string& aCsv)
{
  const auto read = weights::ReadCsv(aCsv);
  if (!read || read->empty()) {
    return Fail(error_code::Corrupt,
                "reading the table",
                read ? "it is empty" : read.error().mMessage);
  }
  table_rows rows;
  const std::size_t width = read->front().mCells.size();
  for (const weights::csv_row& row : *read) {
    rows.push_back(row.mCells);
    rows.back().resize(width);
  }
  return rows;
}

// Reads the table, changes cells, and sets it if it is still the newest: two
// operators at once never overwrite each other. A repeat edits the same
// version again, so that it is the same change to the last letter.
int
Edit(options& aOptions)
{
  int code = kExitDone;
  const auto table = Fetch(aOptions, code);
  if (!table) {
    return code;
  }
  auto rows = ReadRows(table->mCsv);
  if (!rows) {
    std::fprintf(stderr, "%s\n", rows.error().Describe().c_str());
    return kExitRefused;
  }
  if (const auto edited = EditRows(*rows, aOptions.mOperands); !edited) {
    std::fprintf(stderr, "%s\n", edited.error().Describe().c_str());
    return settings::kExitUsage;
  }
  return Put(aOptions, ToCsv(*rows), table->mVersion);
}

} // namespace

std::span<const command>
WeightsCommands()
{
  constexpr std::size_t kMostCells = 16;
  static const std::array sCommands{
    command{
      "weights get", "", 0, 0, "prints the table as CSV", DescribeGet, Get },
    command{ "weights set",
             "FILE",
             1,
             1,
             "replaces the table by a CSV file",
             DescribeSet,
             Set },
    command{ "weights edit",
             "ORGANISATION CLASS COLUMN=VALUE…",
             3,
             kMostCells,
             "changes cells of one row, or adds the row",
             DescribeEdit,
             Edit },
    command{ "weights diff",
             "FROM TO",
             2,
             2,
             "rows that differ between two versions",
             nullptr,
             Diff },
    command{ "weights history",
             "",
             0,
             0,
             "versions and who made them",
             nullptr,
             History },
  };
  return sCommands;
}

} // namespace oriolewalk::ctl
