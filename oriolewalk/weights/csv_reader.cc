#include "oriolewalk/weights/csv_reader.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <csv.h>

#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::weights {
namespace {

// libcsv's parser, which calls back for each cell and each row's end.
class csv_machine
{
public:
  explicit csv_machine(char aDelimiter)
  {
    // STRICT: a stray quote is an error and not a guess. REPALL_NL: blank
    // lines are reported, so that rows can be numbered.
    csv_init(&mParser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
    csv_set_delim(&mParser, static_cast<unsigned char>(aDelimiter));
  }
  csv_machine(const csv_machine&) = delete;
  csv_machine& operator=(const csv_machine&) = delete;
  csv_machine(csv_machine&&) = delete;
  csv_machine& operator=(csv_machine&&) = delete;
  ~csv_machine() { csv_free(&mParser); }

  bool Parse(std::string_view aText)
  {
    return csv_parse(
             &mParser, aText.data(), aText.size(), &TakeCell, &TakeRow, this) ==
             aText.size() &&
           csv_fini(&mParser, &TakeCell, &TakeRow, this) == 0;
  }

  [[nodiscard]] std::uint64_t RowNumber() const { return mRow.mNumber; }
  std::vector<csv_row>& Rows() { return mRows; }

private:
  static void TakeCell(void* aCell, std::size_t aSize, void* aSelf)
  {
    auto& self = *static_cast<csv_machine*>(aSelf);
    self.mRow.mCells.emplace_back(static_cast<const char*>(aCell), aSize);
  }

  static void TakeRow(int /*aTerminator*/, void* aSelf)
  {
    auto& self = *static_cast<csv_machine*>(aSelf);
    const bool blank =
      std::ranges::all_of(self.mRow.mCells, &std::string::empty);
    const auto number = self.mRow.mNumber;
    if (!blank) {
      self.mRows.push_back(std::move(self.mRow));
    }
    self.mRow = csv_row{ number + 1, {} };
  }

  csv_parser mParser{};
  csv_row mRow{ 1, {} };
  std::vector<csv_row> mRows;
};

// One line feed for each way to end a line.
std::string
WithPlainLines(std::string_view aText)
{
  std::string plain;
  plain.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isPair =
      aText[i] == '\r' && i + 1 < aText.size() && aText[i + 1] == '\n';
    if (!isPair) {
      plain.push_back(aText[i] == '\r' ? '\n' : aText[i]);
    }
  }
  return plain;
}

} // namespace

tl::expected<std::vector<csv_row>, table_error>
ReadCsv(std::string_view aText)
{
  constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
  if (aText.starts_with(kByteOrderMark)) {
    aText.remove_prefix(kByteOrderMark.size());
  }
  const auto plain = WithPlainLines(aText);
  const auto firstLine = std::string_view(plain).substr(0, plain.find('\n'));
  const char delimiter = firstLine.find(',') == std::string_view::npos &&
                             firstLine.find(';') != std::string_view::npos
                           ? ';'
                           : ',';
  csv_machine machine(delimiter);
  if (!machine.Parse(plain)) {
    return tl::make_unexpected(table_error{
      machine.RowNumber(), "", "a quote is out of place or not closed" });
  }
  return std::move(machine.Rows());
}

std::string
QuoteCell(std::string_view aCell)
{
  const auto size = csv_write(nullptr, 0, aCell.data(), aCell.size());
  std::string quoted(size, '\0');
  csv_write(quoted.data(), quoted.size(), aCell.data(), aCell.size());
  return quoted;
}

} // namespace oriolewalk::weights
