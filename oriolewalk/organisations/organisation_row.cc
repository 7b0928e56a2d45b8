#include "oriolewalk/organisations/organisation_row.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

namespace oriolewalk::organisations {

namespace {

tl::unexpected<error>
Invalid(const organisation_row& aRow, std::string_view aRule)
{
  std::string message = "organisation ";
  message.append(aRow.mName.Value()).append(" ").append(aRule);
  return Fail(error_code::InvalidArgument, "check", std::move(message));
}

} // namespace

result<void>
CheckRows(std::span<const organisation_row> aRows)
{
  std::set<std::string_view> names;
  std::set<std::string_view> keys;
  for (const organisation_row& row : aRows) {
    if (row.mName.Value().empty()) {
      return Invalid(row, "has no name");
    }
    if (!names.insert(row.mName.Value()).second) {
      return Invalid(row, "stands twice");
    }
    for (const std::string& key : row.mKeys) {
      if (key.empty()) {
        return Invalid(row, "has an empty key");
      }
      if (!keys.insert(key).second) {
        return Invalid(row, "has a key that is used twice");
      }
    }
    if (!std::isfinite(row.mWeight) || row.mWeight <= 0) {
      return Invalid(row, "has a weight that isn't above 0");
    }
    const auto maximum = row.mMaximum.Amounts();
    if (std::ranges::any_of(maximum, [](auto aOne) { return aOne < 0; })) {
      return Invalid(row, "has a negative maximum");
    }
  }
  return {};
}

} // namespace oriolewalk::organisations
