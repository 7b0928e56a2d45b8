#include "oriolewalk/cell/job.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "oriolewalk/base/error.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {
namespace {

using namespace std::string_view_literals;

constexpr std::string_view kJobPrefix = "job-";
// Limits for one spec, which keep sums over a whole cell far below 64 bits.
constexpr std::uint32_t kMostTasks = 100'000;
constexpr std::int64_t kMostOfADimension = 1'000'000'000;
constexpr std::int64_t kLongestMs = 366LL * 24 * 3600 * 1000;
constexpr std::size_t kLongestName = 128;

constexpr std::array kKinds{ "batch"sv, "service"sv, "gang"sv };
constexpr std::array kResults{ "succeeded"sv,
                               "failed"sv,
                               "checkpointed"sv,
                               "stopped"sv };
constexpr std::array kTaskStates{ "waiting"sv, "placed"sv,    "succeeded"sv,
                                  "failed"sv,  "cancelled"sv, "stopped"sv,
                                  "unknown"sv };
constexpr std::array kJobStates{ "waiting"sv,   "running"sv, "cancelling"sv,
                                 "succeeded"sv, "failed"sv,  "cancelled"sv,
                                 "stopped"sv,   "unknown"sv, "refused"sv };
constexpr std::array kStopModes{ "none"sv,
                                 "throttle"sv,
                                 "checkpoint"sv,
                                 "stop"sv };
constexpr std::array kStopReasons{ "none"sv,    "cancelled"sv,   "preempted"sv,
                                   "drained"sv, "gang broken"sv, "overrun"sv };

template<class Enum, std::size_t Size>
std::string_view
Name(const std::array<std::string_view, Size>& aNames, Enum aValue)
{
  const auto at = static_cast<std::size_t>(aValue);
  return at < Size ? aNames.at(at) : "?"sv;
}

template<class Enum, std::size_t Size>
std::optional<Enum>
Find(const std::array<std::string_view, Size>& aNames, std::string_view aText)
{
  const auto* found = std::ranges::find(aNames, aText);
  if (found == aNames.end()) {
    return std::nullopt;
  }
  return static_cast<Enum>(found - aNames.begin());
}

template<class Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto [stop, code] = std::from_chars(aText.data(), end, number);
  if (code != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

bool
InBounds(const resources& aEach)
{
  return std::ranges::all_of(aEach.Amounts(), [](std::int64_t aAmount) {
    return aAmount >= 0 && aAmount <= kMostOfADimension;
  });
}

} // namespace

result<void>
CheckSpec(const job_spec& aSpec)
{
  const auto fail = [](std::string aMessage) -> result<void> {
    return Fail(error_code::InvalidArgument, "job spec", std::move(aMessage));
  };
  if (aSpec.mOrganisation.Value().empty() ||
      aSpec.mOrganisation.Value().size() > kLongestName) {
    return fail("organisation must have 1 to 128 bytes");
  }
  if (aSpec.mFamily.size() > kLongestName) {
    return fail("family must have at most 128 bytes");
  }
  if (aSpec.mKind > job_kind::Gang || aSpec.mClass > job_class::Heavy) {
    return fail("kind or class is not known");
  }
  if (aSpec.mTasks == 0 || aSpec.mTasks > kMostTasks) {
    return fail("tasks must be 1 to 100000");
  }
  if (!InBounds(aSpec.mEach)) {
    return fail("amounts must be 0 to 1000000000");
  }
  if (aSpec.mEach == resources{}) {
    return fail("a task must ask for something");
  }
  if (aSpec.mExpectedMs < 0 || aSpec.mExpectedMs > kLongestMs) {
    return fail("expected_ms must be 0 to one year");
  }
  return {};
}

std::string
ToString(job_number aJob)
{
  return std::string(kJobPrefix) + std::to_string(aJob.Value());
}

std::string
ToString(const task_id& aTask)
{
  return ToString(aTask.mJob) + "/" + std::to_string(aTask.mIndex);
}

std::optional<job_number>
ParseJob(std::string_view aText)
{
  if (!aText.starts_with(kJobPrefix)) {
    return std::nullopt;
  }
  aText.remove_prefix(kJobPrefix.size());
  const auto number = ParseNumber<std::uint64_t>(aText);
  return number ? std::optional(job_number(*number)) : std::nullopt;
}

std::optional<task_id>
ParseTask(std::string_view aText)
{
  const std::size_t slash = aText.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto job = ParseJob(aText.substr(0, slash));
  const auto index = ParseNumber<std::uint32_t>(aText.substr(slash + 1));
  if (!job || !index) {
    return std::nullopt;
  }
  return task_id{ *job, *index };
}

bool
IsFinal(task_state aState)
{
  return aState >= task_state::Succeeded;
}

bool
IsFinal(job_state aState)
{
  return aState >= job_state::Succeeded;
}

std::string_view
ToString(job_kind aKind)
{
  return Name(kKinds, aKind);
}

std::string_view
ToString(attempt_result aResult)
{
  return Name(kResults, aResult);
}

std::string_view
ToString(task_state aState)
{
  return Name(kTaskStates, aState);
}

std::string_view
ToString(job_state aState)
{
  return Name(kJobStates, aState);
}

std::string_view
ToString(stop_mode aMode)
{
  return Name(kStopModes, aMode);
}

std::string_view
ToString(stop_reason aReason)
{
  return Name(kStopReasons, aReason);
}

std::optional<job_kind>
ParseKind(std::string_view aText)
{
  return Find<job_kind>(kKinds, aText);
}

std::optional<attempt_result>
ParseResult(std::string_view aText)
{
  return Find<attempt_result>(kResults, aText);
}

} // namespace oriolewalk::cell
