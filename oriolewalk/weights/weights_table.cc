#include "oriolewalk/weights/weights_table.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "oriolewalk/base/id.h"
#include "oriolewalk/weights/columns.h"
#include "oriolewalk/weights/table_parser.h"
#include "oriolewalk/weights/weights_row.h"

namespace oriolewalk::weights {

weights_table::weights_table()
  : mRows{ weights_row{} }
{
}

weights_table::weights_table(std::vector<weights_row> aRows)
  : mRows(std::move(aRows))
{
  std::ranges::sort(mRows, {}, PairOf);
}

weights_table::parsed
weights_table::Parse(std::string_view aCsv)
{
  return table_parser().Parse(aCsv).map([](std::vector<weights_row> aRows) {
    return weights_table(std::move(aRows));
  });
}

weights_table
weights_table::BuiltIn()
{
  // Equal shares and no limits, but for a bound on what one organisation may
  // keep waiting: five requests for each slot of today's 400.
  constexpr std::uint32_t kWeight = 100;
  constexpr std::uint32_t kWaiting = 2000;
  weights_row everyone;
  everyone.mWeight = kWeight;
  everyone.mMaxWaiting = kWaiting;
  return weights_table({ everyone });
}

std::string
weights_table::ToCsv() const
{
  std::string csv;
  const auto end = [&csv] { csv.back() = '\n'; };
  for (const auto& column : kColumns) {
    csv += std::string(column.mName) + ",";
  }
  end();
  for (const auto& row : mRows) {
    for (const auto& column : kColumns) {
      csv += WriteQuoted(column, row) + ",";
    }
    end();
  }
  return csv;
}

const weights_row&
weights_table::Find(const organisation_id& aOrganisation,
                    work_class aClass) const
{
  const organisation_id anyone{ std::string(kAnyone) };
  const auto lookUp = [this](const organisation_id& aName,
                             std::optional<work_class> aKind) {
    const auto wanted = std::tie(aName, aKind);
    const auto place = std::ranges::lower_bound(mRows, wanted, {}, PairOf);
    return place != mRows.end() && PairOf(*place) == wanted ? &*place : nullptr;
  };
  if (const auto* row = lookUp(aOrganisation, aClass)) {
    return *row;
  }
  if (const auto* row = lookUp(aOrganisation, std::nullopt)) {
    return *row;
  }
  if (const auto* row = lookUp(anyone, aClass)) {
    return *row;
  }
  return *lookUp(anyone,
                 std::nullopt); // Parse has seen to it that it is there.
}

} // namespace oriolewalk::weights
