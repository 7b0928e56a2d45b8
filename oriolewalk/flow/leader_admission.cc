// Admits or refuses new jobs, and provides the figures for it.

#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/flow/leader_core.h"

namespace oriolewalk::flow {

namespace {

std::string
Rounded(double aAmount)
{
  return std::to_string(std::llround(aAmount));
}

} // namespace

bool
leader_core::RefuseIfHopeless(call_number aCall,
                              const job_id& aId,
                              const queue_row& aQueue,
                              const job_spec& aSpec,
                              const organisation_id& aOwner)
{
  if (!mOptions.mPlan.mRefusesHopeless) {
    return false;
  }
  std::vector<duration_estimate> durations;
  durations.reserve(aSpec.mSteps.size());
  for (const step_spec& step : aSpec.mSteps) {
    const auto number = static_cast<std::uint32_t>(durations.size());
    durations.push_back(
      ExpectedDuration(aQueue, step, number, &mDurationModel, mAt.mNow));
  }
  const arrival job = DescribeArrival(aSpec, aQueue, aOwner, aId, durations);
  const admission_verdict verdict =
    mAdmission.Decide(job, mLoads[aQueue.mService], mAt.mNow);
  if (verdict.mIsAccepted) {
    return false;
  }
  LogRefused(job, aQueue, verdict);
  mPort.mAnswer(aCall,
                job_answer{ job_reply::Refused, {}, 0, verdict.mRetryAfterMs });
  return true;
}

void
leader_core::UpdateLoads(cell_loads aLoads)
{
  mLoads = std::move(aLoads);
  for (auto& [service, load] : mLoads) {
    for (const auto& [priority, perMs] : mFreed.RatesOf(service, mAt.mNow)) {
      load.mPriorities[priority].mFreedPerMs = perMs;
    }
    mAdmission.OnLoad(service, load);
  }
}

void
leader_core::CountFreed(const run_ref& aRun)
{
  const job_record* job = mState.FindJob(aRun.mTask.mJob);
  const step_spec* step = mState.FindStep(aRun.mTask);
  if (!mOptions.mPlan.mRefusesHopeless || job == nullptr || step == nullptr) {
    return;
  }
  const queue_row& queue = mState.QueueOf(*job);
  mFreed.OnEnded(
    queue.mService, queue.mPriority, step->Booked().mMilliProcessors, mAt.mNow);
}

void
leader_core::LogRefused(const arrival& aJob,
                        const queue_row& aQueue,
                        const admission_verdict& aVerdict)
{
  constexpr double kMsPerSecond = 1'000;
  mPort.mLogDecision(
    { "job.refused",
      { { "job", aJob.mId.Value() },
        { "queue", aQueue.mName },
        { "organisation", aJob.mOwner.Value() },
        { "priority", std::to_string(aJob.mPriority) },
        { "reason", std::string(aVerdict.mReason) },
        { "beyond_share", aVerdict.mIsBeyondShare ? "yes" : "no" },
        { "ahead_processors_m",
          std::to_string(aVerdict.mAhead.mMilliProcessors) },
        { "ahead_processor_ms", Rounded(aVerdict.mAhead.mWork / kMsPerSecond) },
        { "capacity_processors_m", Rounded(aVerdict.mCapacity) },
        { "freed_processors_m_per_s",
          Rounded(aVerdict.mFreedPerMs * kMsPerSecond) },
        { "expected_end_ms", Rounded(aVerdict.mExpectedEndMs) },
        { "end_of_value_ms", Rounded(aVerdict.mEndOfValueMs) },
        { "retry_after_ms", std::to_string(aVerdict.mRetryAfterMs) } } });
}

} // namespace oriolewalk::flow
