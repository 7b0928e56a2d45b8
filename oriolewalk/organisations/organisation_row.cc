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

// aKnown: the keys of the rows before; gets those of this one.
result<void>
CheckKeys(const organisation_row& aRow, std::set<std::string_view>& aKnown)
{
  for (const std::string& key : aRow.mKeys) {
    if (key.empty()) {
      return Invalid(aRow, "has an empty key");
    }
    if (!aKnown.insert(key).second) {
      return Invalid(aRow, "has a key that is used twice");
    }
  }
  return {};
}

result<void>
CheckAmounts(const organisation_row& aRow)
{
  if (!std::isfinite(aRow.mWeight) || aRow.mWeight <= 0) {
    return Invalid(aRow, "has a weight that isn't above 0");
  }
  const auto maximum = aRow.mMaximum.Amounts();
  if (std::ranges::any_of(maximum, [](auto aOne) { return aOne < 0; })) {
    return Invalid(aRow, "has a negative maximum");
  }
  return {};
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
    if (auto sound = CheckKeys(row, keys); !sound) {
      return sound;
    }
    if (auto sound = CheckAmounts(row); !sound) {
      return sound;
    }
  }
  return {};
}

} // namespace oriolewalk::organisations
