#pragma once

// CSV as spreadsheets save it, to rows of cells.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::weights {

struct csv_row
{
  std::uint64_t mNumber = 0; // As a spreadsheet numbers it, from 1.
  std::vector<std::string> mCells;
};

// Takes a byte-order mark, CR, LF or CRLF, quoted cells, and ';' between cells
// where the first line has no ',' (spreadsheets save so in countries that
// write 1,5). Rows without any text are left out but counted. Spaces around
// unquoted cells go. Errors: a quote out of place, or too many rows. Cost:
// linear.
tl::expected<std::vector<csv_row>, table_error>
ReadCsv(std::string_view aText);

// aCell in quotes, those within it doubled.
std::string
QuoteCell(std::string_view aCell);

} // namespace oriolewalk::weights
