#include "oriolewalk/flow/types.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace oriolewalk::flow {

namespace {

constexpr std::size_t kMaxPayloadBytes = 4096;
// Sums of it over all workers and jobs stay within 64 bits.
constexpr std::int64_t kMaxAmount = std::int64_t{ 1 } << 40U;

tl::unexpected<error>
Invalid(std::string aMessage)
{
  return Fail(error_code::InvalidArgument, "check", std::move(aMessage));
}

bool
IsAmount(std::int64_t aAmount)
{
  return aAmount >= 0 && aAmount <= kMaxAmount;
}

result<void>
CheckStep(const step_spec& aStep, std::size_t aNumber)
{
  const std::string step = "step " + std::to_string(aNumber);
  if (aStep.mCount == 0 || aStep.mCount > kMaxJobTasks) {
    return Invalid(step + " has a wrong count");
  }
  const bool later = std::ranges::any_of(
    aStep.mDependsOn, [&](std::uint32_t aOther) { return aOther >= aNumber; });
  if (later) {
    return Invalid(step + " depends on a step that isn't an earlier one");
  }
  if (aStep.mDependsOn.size() > aNumber) {
    return Invalid(step + " depends on a step twice");
  }
  const cell::resources& size = aStep.mSize;
  if (!IsAmount(size.mMilliProcessors) || !IsAmount(size.mMemoryMb) ||
      !IsAmount(size.mAccelerators)) {
    return Invalid(step + " has a wrong size");
  }
  if (!IsAmount(aStep.mEstimateMs) || !IsAmount(aStep.mTailLatencyTargetMs)) {
    return Invalid(step + " has a wrong time");
  }
  if (std::max(
        { aStep.mImage.size(), aStep.mLabel.size(), aStep.mDataRack.size() }) >
      kMaxNameBytes) {
    return Invalid(step + " has too long a name");
  }
  return {};
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
  if (aJob.mSteps.size() > kMaxJobSteps) {
    return Invalid("a job of too many steps");
  }
  std::uint64_t tasks = 0;
  for (std::size_t number = 0; number < aJob.mSteps.size(); ++number) {
    if (auto sound = CheckStep(aJob.mSteps[number], number); !sound) {
      return sound;
    }
    tasks += aJob.mSteps[number].mCount;
  }
  if (tasks > kMaxJobTasks) {
    return Invalid("a job of too many tasks");
  }
  if (!IsAmount(aJob.mRecurrence.mPeriodMs)) {
    return Invalid("a job with a wrong period");
  }
  return {};
}

std::size_t
SpecBytes(const job_spec& aJob)
{
  std::size_t bytes = sizeof aJob + aJob.mPayload.size();
  for (const step_spec& step : aJob.mSteps) {
    bytes += sizeof step + step.mImage.size() + step.mLabel.size() +
             step.mDataRack.size() +
             step.mDependsOn.size() * sizeof(std::uint32_t);
  }
  return bytes;
}

std::size_t
OccurrenceBytes(const job_spec& aJob)
{
  constexpr std::size_t kTaskBytes = 64; // a record without a checkpoint
  std::size_t bytes = 0;
  for (const step_spec& step : aJob.mSteps) {
    bytes += kTaskBytes * (std::size_t{ 1 } + step.mCount);
  }
  return bytes;
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
