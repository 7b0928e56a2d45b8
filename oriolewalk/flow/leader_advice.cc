// The leader's queries to the policy service, and the choice of the advisors
// that send them.

#include <algorithm>
#include <chrono>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "oriolewalk/flow/leader_core.h"
#include "oriolewalk/flow/whole_ms.h"

namespace oriolewalk::flow {

namespace {

// An advisor whose last query failed is skipped for two heartbeats. It fails at
// once and would therefore be chosen for the next query again, as during
// planned stops.
constexpr milliseconds kAdvisorRetryDelay{ 1'000 };
// Subtracted from a ticket's validity for the commit and the delivery of the
// start to the worker.
constexpr milliseconds kTicketMargin{ 200 };
// Added to 1.5 times the expected duration of a query, for the round trip over
// a busy entry. After this time another advisor is asked; an urgent job whose
// advisor was cut off has no more time than that.
constexpr std::int64_t kAdviceMarginMs = 400;

} // namespace

std::vector<std::string>
leader_core::FreeAdvisors() const
{
  std::vector<std::string> all = mPort.mMembers();
  for (const auto& [address, lastHeard] : mEntries) {
    if (mAt.mNow < lastHeard + kEntryTimeout) {
      all.push_back(address);
    }
  }
  std::unordered_set<std::string_view> busy;
  for (const auto& [id, open] : mOpenQueries) {
    busy.insert(open.mAdvisor);
  }
  std::erase_if(all, [&](const std::string& aAddress) {
    const auto skipped = mSkippedUntil.find(aAddress);
    return (skipped != mSkippedUntil.end() && mAt.mNow < skipped->second) ||
           busy.contains(aAddress);
  });
  // Entries come first because the control processes have other work.
  return all;
}

advisor_load
leader_core::AdvisorLoad()
{
  advisor_load load;
  mFreeAdvisors = FreeAdvisors();
  load.mFree = mFreeAdvisors.size();
  load.mTotal = load.mFree + mOpenQueries.size();
  std::size_t topPriority = 0;
  for (const auto& [id, open] : mOpenQueries) {
    ++load.mUsed[open.mQueue];
    topPriority += open.mTopPriority ? 1 : 0;
  }
  load.mTopPriorityPeak = mTopPriorityPeak.Record(topPriority, mAt.mNow);
  return load;
}

void
leader_core::QueryPolicy(const advice_query& aQuery)
{
  const job_record* job = mState.FindJob(aQuery.mStep.mJob);
  if (mFreeAdvisors.empty() || job == nullptr) {
    return;
  }
  const std::string advisor = std::move(mFreeAdvisors.back());
  mFreeAdvisors.pop_back();
  const queue_row& queue = mState.QueueOf(*job);
  const advice_timing timing = queue.mAdvice.value_or(advice_timing{});
  open_query open{ advisor, aQuery.mStep, queue.mName,         timing.mValidMs,
                   {},      mAt.mNow,     queue.mPriority == 0 };
  advice_call call{ ++mLastQuery, advisor, {} };
  call.mRequest.mStep = aQuery.mStep;
  for (const worker_number number : aQuery.mWorkers) {
    const worker_id& id = mState.FindWorker(number)->mDescription.mId;
    open.mWorkers.emplace_back(number, id);
    call.mRequest.mWorkers.push_back(id);
  }
  const auto workers = static_cast<double>(aQuery.mWorkers.size());
  constexpr double kDurationFactor = 1.5;
  call.mRequest.mTimeoutMs =
    static_cast<std::int64_t>(
      kDurationFactor * (timing.mBaseMs + timing.mPerWorkerMs * workers)) +
    kAdviceMarginMs;
  mQueriedSteps.insert(aQuery.mStep);
  mQueriedWorkers[aQuery.mStep] = aQuery.mWorkers;
  mOpenQueries.emplace(call.mId, std::move(open));
  mAdviceCalls.push_back(std::move(call));
}

void
leader_core::OnAdviceAnswer(std::uint64_t aQueryId,
                            const result<approvals>& aAnswer)
{
  auto open = mOpenQueries.extract(aQueryId);
  if (open.empty()) {
    return;
  }
  const open_query& query = open.mapped();
  mQueriedSteps.erase(query.mStep);
  mQueriedWorkers.erase(query.mStep);
  mPlanTimer.OnChange(query.mTopPriority);
  if (!aAnswer) {
    mSkippedUntil[query.mAdvisor] = mAt.mNow + kAdvisorRetryDelay;
    mPort.mLogDecision({ "advice.failed",
                         { { "job", query.mStep.mJob.Value() },
                           { "advisor", query.mAdvisor },
                           { "problem", aAnswer.error().Describe() } } });
    return;
  }
  mPort.mLogDecision(
    { "advice.answered",
      { { "job", query.mStep.mJob.Value() },
        { "step", std::to_string(query.mStep.mStep) },
        { "queue", query.mQueue },
        { "asked", std::to_string(query.mWorkers.size()) },
        { "by", query.mAdvisor },
        { "took_ms", std::to_string(ToMs(mAt.mNow - query.mSentAt)) },
        { "approved", std::to_string(aAnswer->size()) } } });
  const milliseconds valid = milliseconds(query.mValidMs) - kTicketMargin;
  mAdvice.OnAnswer(
    query.mStep, query.mQueue, query.mWorkers, *aAnswer, mAt.mNow + valid);
}

std::vector<advice_call>
leader_core::TakeAdviceCalls()
{
  return std::exchange(mAdviceCalls, {});
}

} // namespace oriolewalk::flow
