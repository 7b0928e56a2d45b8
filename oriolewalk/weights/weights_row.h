#pragma once

// One line of the weights table: what an organisation gets in a class.

#include <cstdint>
#include <optional>
#include <string_view>

#include "oriolewalk/base/id.h"
#include "oriolewalk/base/work_class.h"

namespace oriolewalk::weights {

using oriolewalk::work_class;

// Stands for every organisation, or every class, that has no row of its own.
inline constexpr std::string_view kAnyone = "*";

// Limits and quotas hold for each pair of organisation and class on its own,
// also where the pair finds a "*" row. A limit that is not set does not bind.
struct weights_row
{
  organisation_id mOrganisation{ "*" };
  std::optional<work_class> mClass; // None: "*", every class.

  // The share against the other organisations of the same class while both
  // want more than there is: weight 4 gets twice of weight 2.
  std::uint32_t mWeight = 1;

  // Requests.
  std::optional<std::uint32_t> mMaxSlots;          // In progress at once.
  std::optional<std::uint32_t> mMaxWaiting;        // In the queue.
  std::optional<std::uint32_t> mRequestsPerSecond; // Token bucket: rate,
  std::optional<std::uint32_t> mBurst;             // and size.

  // Jobs: booked at once over all running tasks.
  std::optional<std::uint64_t> mMilliProcessors;
  std::optional<std::uint64_t> mMemoryMb;
  std::optional<std::uint64_t> mAccelerators;
  std::optional<std::uint32_t> mMaxRunningTasks;

  bool operator==(const weights_row&) const = default;
};

} // namespace oriolewalk::weights
