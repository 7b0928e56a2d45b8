#include "oriolewalk/flow/types.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace oriolewalk::flow {

namespace {

constexpr std::size_t kMaxPayloadBytes = 4096;
constexpr std::uint32_t kMaxTasksPerStep = 100'000;

tl::unexpected<error>
Invalid(std::string aMessage)
{
  return Fail(error_code::InvalidArgument, "check", std::move(aMessage));
}

} // namespace

const queue_row*
queue_table::FindQueue(std::string_view aName) const
{
  const auto found = std::ranges::find(mQueues, aName, &queue_row::mName);
  return found == mQueues.end() ? nullptr : &*found;
}

const queue_row*
queue_table::Route(std::string_view aHost, std::string_view aPath) const
{
  const queue_row* best = nullptr;
  for (const queue_row& row : mQueues) {
    const bool fits = row.mHost == aHost && aPath.starts_with(row.mPrefix);
    if (fits &&
        (best == nullptr || row.mPrefix.size() > best->mPrefix.size())) {
      best = &row;
    }
  }
  return best;
}

result<void>
CheckTable(const queue_table& aTable)
{
  if (aTable.mVersion <= 0) {
    return Invalid("the version is not above 0");
  }
  std::set<std::string> services;
  for (const service_row& service : aTable.mServices) {
    services.insert(service.mName.Value());
  }
  std::set<std::pair<std::string, std::string>> routes;
  for (const queue_row& queue : aTable.mQueues) {
    if (!services.contains(queue.mService.Value())) {
      return Invalid("queue " + queue.mName + " names an unknown service");
    }
    if (!routes.emplace(queue.mHost, queue.mPrefix).second) {
      return Invalid("queue " + queue.mName + " stands at another's place");
    }
    if (queue.mTimeoutMs <= 0) {
      return Invalid("queue " + queue.mName + " has a timeout of 0");
    }
  }
  return {};
}

result<void>
CheckJob(const job_spec& aJob)
{
  if (aJob.mSteps.empty()) {
    return Invalid("a job without steps");
  }
  if (aJob.mPayload.size() > kMaxPayloadBytes) {
    return Invalid("the payload is too long");
  }
  for (std::size_t number = 0; number < aJob.mSteps.size(); ++number) {
    const step_spec& step = aJob.mSteps[number];
    if (step.mCount == 0 || step.mCount > kMaxTasksPerStep) {
      return Invalid("step " + std::to_string(number) + " has a wrong count");
    }
    const bool later = std::ranges::any_of(
      step.mDependsOn, [&](std::uint32_t aOther) { return aOther >= number; });
    if (later) {
      return Invalid("step " + std::to_string(number) +
                     " depends on a step that isn't an earlier one");
    }
  }
  return {};
}

std::string_view
ToString(run_outcome aOutcome)
{
  switch (aOutcome) {
    case run_outcome::Done:
      return "done";
    case run_outcome::Failed:
      return "failed";
    case run_outcome::Stopped:
      return "stopped";
    case run_outcome::Lapsed:
      return "lapsed";
    case run_outcome::Broken:
      return "broken";
    case run_outcome::Alone:
      break;
  }
  return "alone";
}

} // namespace oriolewalk::flow
