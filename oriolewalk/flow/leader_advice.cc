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
// once and would therefore be chosen for the next query again; during planned
// stops one query in nine was lost this way.
constexpr milliseconds kAdvisorAside{ 1'000 };
// Subtracted from a ticket's validity for the commit and the delivery of the
// start to the worker.
constexpr milliseconds kTicketMargin{ 200 };
// Added to 1.5 times the expected duration of a query, for the round trip over
// a busy entry. After this time another advisor is asked. With 1,500 ms, a job
// whose advisor was cut off lost 2.9 s, more than an urgent job's whole
// objective.
constexpr std::int64_t kAdviceMarginMs = 400;

} // namespace

std::vector<std::string>
leader_core::FreeAdvisors() const
{
  std::vector<std::string> all = mPort.mMembers();
  for (const auto& [address, heard] : mEntries) {
    if (mAt.mNow < heard + kEntryTimeout) {
      all.push_back(address);
    }
  }
  std::unordered_set<std::string_view> busy;
  for (const auto& [id, open] : mOpenQuestions) {
    busy.insert(open.mAdvisor);
  }
  std::erase_if(all, [&](const std::string& aAddress) {
    const auto aside = mAsideUntil.find(aAddress);
    return (aside != mAsideUntil.end() && mAt.mNow < aside->second) ||
           busy.contains(aAddress);
  });
  // Entries come first because the control processes have other work.
  std::ranges::reverse(all);
  return all;
}

advisor_load
leader_core::AdvisorLoad()
{
  advisor_load load;
  load.mFree = FreeAdvisors().size();
  load.mTotal = load.mFree + mOpenQuestions.size();
  std::size_t first = 0;
  for (const auto& [id, open] : mOpenQuestions) {
    ++load.mUsed[open.mQueue];
    first += open.mFirst ? 1 : 0;
  }
  load.mTopPriorityPeak = mFirstPeak.Record(first, mAt.mNow);
  return load;
}

void
leader_core::AskPolicy(const advice_query& aQuestion)
{
  const auto advisors = FreeAdvisors();
  const job_record* job = mState.FindJob(aQuestion.mStep.mJob);
  if (advisors.empty() || job == nullptr) {
    return;
  }
  const queue_row& queue = mState.QueueOf(*job);
  const advice_timing terms = queue.mAdvice.value_or(advice_timing{});
  open_question open{
    advisors.front(), aQuestion.mStep,     queue.mName, terms.mValidMs, {},
    mAt.mNow,         queue.mPriority == 0
  };
  advice_call order{ ++mLastQuestion, advisors.front(), {} };
  order.mRequest.mStep = aQuestion.mStep;
  for (const worker_number number : aQuestion.mWorkers) {
    const worker_id& id = mState.FindWorker(number)->mDescription.mId;
    open.mAsked.emplace_back(number, id);
    order.mRequest.mWorkers.push_back(id);
  }
  const auto named = static_cast<double>(aQuestion.mWorkers.size());
  constexpr double kHalfMore = 1.5;
  order.mRequest.mTimeoutMs =
    static_cast<std::int64_t>(kHalfMore *
                              (terms.mBaseMs + terms.mPerWorkerMs * named)) +
    kAdviceMarginMs;
  mAsking.insert(aQuestion.mStep);
  mNamed[aQuestion.mStep] = aQuestion.mWorkers;
  mOpenQuestions.emplace(order.mId, std::move(open));
  mQuestions.push_back(std::move(order));
}

void
leader_core::OnAdviceAnswer(std::uint64_t aOrder,
                            const result<approvals>& aAnswer)
{
  auto open = mOpenQuestions.extract(aOrder);
  if (open.empty()) {
    return;
  }
  const open_question& asked = open.mapped();
  mAsking.erase(asked.mStep);
  mNamed.erase(asked.mStep);
  mPace.OnChange(asked.mFirst);
  if (!aAnswer) {
    mAsideUntil[asked.mAdvisor] = mAt.mNow + kAdvisorAside;
    mPort.mLogDecision({ "advice.failed",
                         { { "job", asked.mStep.mJob.Value() },
                           { "advisor", asked.mAdvisor },
                           { "problem", aAnswer.error().Describe() } } });
    return;
  }
  mPort.mLogDecision(
    { "advice.answered",
      { { "job", asked.mStep.mJob.Value() },
        { "step", std::to_string(asked.mStep.mStep) },
        { "queue", asked.mQueue },
        { "asked", std::to_string(asked.mAsked.size()) },
        { "by", asked.mAdvisor },
        { "took_ms", std::to_string(ToMs(mAt.mNow - asked.mAt)) },
        { "approved", std::to_string(aAnswer->size()) } } });
  const milliseconds valid = milliseconds(asked.mValidMs) - kTicketMargin;
  mAdvice.OnAnswer(
    asked.mStep, asked.mQueue, asked.mAsked, *aAnswer, mAt.mNow + valid);
}

std::vector<advice_call>
leader_core::TakeAdviceCalls()
{
  return std::exchange(mQuestions, {});
}

} // namespace oriolewalk::flow
