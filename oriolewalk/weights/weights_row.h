#pragma once

// One line of the weights table: what an organisation gets in a class.

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "oriolewalk/base/id.h"

namespace oriolewalk::weights {

// The kinds of work, in the order in which they are served under strict bounds.
enum class work_class : std::uint8_t
{
  Urgent, // A caller waits.
  Normal,
  Heavy, // May take its time, but is never lost.
};

inline constexpr std::array kWorkClasses{ work_class::Urgent,
                                          work_class::Normal,
                                          work_class::Heavy };

// "urgent", "normal", "heavy".
std::string_view
ToString(work_class aClass);
std::optional<work_class>
ParseWorkClass(std::string_view aText);

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
