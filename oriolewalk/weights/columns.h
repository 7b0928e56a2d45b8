#pragma once

// The columns of the table: their names, ranges and places in a row.

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <tl/expected.hpp>

#include "oriolewalk/weights/weights_row.h"

namespace oriolewalk::weights {

// Where a column's value stands in a row.
using row_place = std::variant<organisation_id weights_row::*,
                               std::optional<work_class> weights_row::*,
                               std::uint32_t weights_row::*,
                               std::optional<std::uint32_t> weights_row::*,
                               std::optional<std::uint64_t> weights_row::*>;

struct column
{
  std::string_view mName;
  row_place mPlace;
  // Of numbers, both ends allowed.
  std::uint64_t mLeast = 0;
  std::uint64_t mMost = 0;
};

inline constexpr std::string_view kOrganisationColumn = "organisation";
inline constexpr std::string_view kClassColumn = "class";
inline constexpr std::string_view kBurstColumn = "burst";
inline constexpr std::uint64_t kMaxCount = 1'000'000;
inline constexpr std::uint64_t kMaxQuota = 1'000'000'000'000;

inline constexpr std::array kColumns{
  column{ kOrganisationColumn, &weights_row::mOrganisation },
  column{ kClassColumn, &weights_row::mClass },
  column{ "weight", &weights_row::mWeight, 1, kMaxCount },
  column{ "max_slots", &weights_row::mMaxSlots, 0, kMaxCount },
  column{ "max_waiting", &weights_row::mMaxWaiting, 0, kMaxCount },
  column{ "requests_per_s", &weights_row::mRequestsPerSecond, 0, kMaxCount },
  column{ kBurstColumn, &weights_row::mBurst, 1, kMaxCount },
  column{ "milli_processors", &weights_row::mMilliProcessors, 0, kMaxQuota },
  column{ "memory_mb", &weights_row::mMemoryMb, 0, kMaxQuota },
  column{ "accelerators", &weights_row::mAccelerators, 0, kMaxQuota },
  column{ "max_running_tasks", &weights_row::mMaxRunningTasks, 0, kMaxCount },
};

// Puts a cell's value into the row; the error is a sentence for the operator.
tl::expected<void, std::string>
ReadCell(const column& aColumn, std::string_view aCell, weights_row& aRow);

// The cell's text; empty for what is not set.
std::string
WriteCell(const column& aColumn, const weights_row& aRow);

} // namespace oriolewalk::weights
