#include "oriolewalk/weights/columns.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>
#include <variant>

#include <tl/expected.hpp>

#include "oriolewalk/base/id.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/base/work_class.h"
#include "oriolewalk/weights/weights_row.h"
#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::weights {
namespace {

using outcome = tl::expected<void, std::string>;

outcome
ReadName(std::string_view aCell, organisation_id& aName)
{
  if (aCell.empty() || aCell.size() > kMaxNameBytes) {
    return tl::make_unexpected("must be a name of 1 to " +
                               std::to_string(kMaxNameBytes) +
                               " bytes, or * for everyone");
  }
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  if (std::ranges::any_of(aCell, [](unsigned char aByte) {
        return aByte < kFirstPrintable || aByte == kDelete;
      })) {
    return tl::make_unexpected("has a control character or a line break");
  }
  aName = organisation_id(std::string(aCell));
  return {};
}

outcome
ReadClass(std::string_view aCell, std::optional<work_class>& aClass)
{
  if (aCell == kAnyone) {
    aClass = std::nullopt;
    return {};
  }
  aClass = ParseWorkClass(aCell);
  if (!aClass) {
    return tl::make_unexpected("must be urgent, normal, heavy or *");
  }
  return {};
}

tl::expected<std::uint64_t, std::string>
ReadNumber(const column& aColumn, std::string_view aCell)
{
  std::uint64_t number = 0;
  const auto* end = aCell.data() + aCell.size();
  const auto parsed = std::from_chars(aCell.data(), end, number);
  if (aCell.empty() || parsed.ec != std::errc() || parsed.ptr != end ||
      number < aColumn.mLeast || number > aColumn.mMost) {
    return tl::make_unexpected("must be a whole number from " +
                               std::to_string(aColumn.mLeast) + " to " +
                               std::to_string(aColumn.mMost));
  }
  return number;
}

} // namespace

outcome
ReadCell(const column& aColumn, std::string_view aCell, weights_row& aRow)
{
  const auto number = [&]<class Number>(Number weights_row::*aPlace) {
    return ReadNumber(aColumn, aCell).map([&](std::uint64_t aNumber) {
      aRow.*aPlace = static_cast<Number>(aNumber);
    });
  };
  const auto optionalNumber =
    [&]<class Number>(std::optional<Number> weights_row::*aPlace) -> outcome {
    if (aCell.empty()) {
      aRow.*aPlace = std::nullopt;
      return {};
    }
    return ReadNumber(aColumn, aCell).map([&](std::uint64_t aNumber) {
      aRow.*aPlace = static_cast<Number>(aNumber);
    });
  };
  return std::visit(
    overloaded{
      [&](organisation_id weights_row::*aPlace) {
        return ReadName(aCell, aRow.*aPlace);
      },
      [&](std::optional<work_class> weights_row::*aPlace) {
        return ReadClass(aCell, aRow.*aPlace);
      },
      [&](std::uint32_t weights_row::*aPlace) { return number(aPlace); },
      [&](std::optional<std::uint32_t> weights_row::*aPlace) {
        return optionalNumber(aPlace);
      },
      [&](std::optional<std::uint64_t> weights_row::*aPlace) {
        return optionalNumber(aPlace);
      },
    },
    aColumn.mPlace);
}

std::string
WriteCell(const column& aColumn, const weights_row& aRow)
{
  const auto text = [](const auto& aNumber) {
    return aNumber ? std::to_string(*aNumber) : std::string();
  };
  return std::visit(overloaded{
                      [&](organisation_id weights_row::*aPlace) {
                        return (aRow.*aPlace).Value();
                      },
                      [&](std::optional<work_class> weights_row::*aPlace) {
                        const auto& value = aRow.*aPlace;
                        return std::string(value ? ToString(*value) : kAnyone);
                      },
                      [&](std::uint32_t weights_row::*aPlace) {
                        return std::to_string(aRow.*aPlace);
                      },
                      [&](std::optional<std::uint32_t> weights_row::*aPlace) {
                        return text(aRow.*aPlace);
                      },
                      [&](std::optional<std::uint64_t> weights_row::*aPlace) {
                        return text(aRow.*aPlace);
                      },
                    },
                    aColumn.mPlace);
}

} // namespace oriolewalk::weights
