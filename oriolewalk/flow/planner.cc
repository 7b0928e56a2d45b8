#include "oriolewalk/flow/planner.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <optional>
#include <tuple>
#include <unordered_map>

namespace oriolewalk::flow {

namespace {

// One plan looks at so many waiting tasks: at 600 starts a second and a plan
// every few milliseconds the rest waits for the next one.
constexpr std::size_t kMostConsidered = 4'000;
// A question names at most so many workers (the policy service's bound). A wide
// step of a queue whose policy approves a third needs 60 for its 20 tasks; at
// 40 it asked again and again, until all advisors were busy.
constexpr std::size_t kMostNamed = 100;
// Named beyond what is expected to suffice, so that one question does: room
// that is there now may be gone when the answer comes.
constexpr double kNameMargin = 1.3;
constexpr std::size_t kNameMore = 1;
// And as many more as cost the policy service this: a second question costs a
// cheap queue several times as much.
constexpr double kNameMoreMs = 8;
// The share of the advisors that is kept for the queue that comes first. In a
// burst of its jobs at 350 workers, 31 of 36 advisors carried other queues'
// questions of 0.7 s each, and its own waited 0.55 s for one to be free.
constexpr std::size_t kKeptForFirst = 3; // one in so many

// A worker that is a quarter faster is worth a quarter of its room: a step is
// as slow as its slowest task.
constexpr double kSpeedWeight = 1;

// An open step with tasks that wait.
struct open_step
{
  step_ref mRef;
  const job_record* mJob = nullptr;
  const queue_row* mQueue = nullptr;
  const step_spec* mSpec = nullptr;
  const step_record* mRecord = nullptr;
  std::vector<std::uint32_t> mWaiting;
  std::int64_t mSlackMs = 0; // until it must start to be in time
};

// The longest chain of estimates from aStep on.
std::int64_t
ChainAfter(const job_spec& aJob, std::uint32_t aStep)
{
  std::vector<std::int64_t> chain(aJob.mSteps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t step = aStep; step < aJob.mSteps.size(); ++step) {
    const step_spec& spec = aJob.mSteps[step];
    const bool reached =
      step == aStep ||
      std::ranges::any_of(spec.mDependsOn, [&](std::uint32_t aOther) {
        return aOther >= aStep && chain[aOther] > 0;
      });
    if (!reached) {
      continue;
    }
    std::int64_t before = 0;
    for (const std::uint32_t other : spec.mDependsOn) {
      before = std::max(before, chain[other]);
    }
    chain[step] = before + std::max<std::int64_t>(spec.mEstimateMs, 1);
    longest = std::max(longest, chain[step]);
  }
  return longest;
}

std::int64_t
SlackMs(const open_step& aStep,
        const occurrence_record& aOccurrence,
        std::int64_t aWallMs)
{
  const std::int64_t whole = ChainAfter(aStep.mJob->mSpec, 0);
  const auto objective = static_cast<std::int64_t>(aStep.mQueue->mStretch *
                                                   static_cast<double>(whole)) +
                         aStep.mQueue->mTargetMs;
  const std::int64_t left = ChainAfter(aStep.mJob->mSpec, aStep.mRef.mStep);
  return aOccurrence.mOpenedWallMs + objective - aWallMs - left;
}

class plan_maker
{
public:
  explicit plan_maker(plan_input aInput)
    : mInput(std::move(aInput))
  {
    for (std::size_t at = 0; at < mInput.mWorkers.size(); ++at) {
      mPlaceOf[mInput.mWorkers[at].mNumber] = at;
    }
  }

  plan_result Run()
  {
    Collect();
    std::ranges::sort(mSteps, {}, [](const open_step& aStep) {
      return std::make_tuple(
        aStep.mQueue->mPriority, aStep.mSlackMs, aStep.mRef);
    });
    for (const open_step& step : mSteps) {
      PlaceStep(step);
    }
    for (const plan_worker& worker : mInput.mWorkers) {
      mResult.mFree += worker.mFree;
    }
    return std::move(mResult);
  }

private:
  void Collect()
  {
    std::size_t considered = 0;
    for (const job_id& id : mInput.mState->Live()) {
      const job_record& job = *mInput.mState->FindJob(id);
      if (!job.IsActive() || considered >= kMostConsidered) {
        continue;
      }
      for (const auto& [number, occurrence] : job.mOccurrences) {
        if (!occurrence.mDone) {
          considered += CollectSteps(id, job, number, occurrence);
        }
      }
    }
  }

  std::size_t CollectSteps(const job_id& aId,
                           const job_record& aJob,
                           std::uint32_t aNumber,
                           const occurrence_record& aOccurrence)
  {
    std::size_t found = 0;
    for (std::uint32_t step = 0; step < aOccurrence.mSteps.size(); ++step) {
      const step_record& record = aOccurrence.mSteps[step];
      if (record.IsDone() || !flow_state::IsOpen(aJob, aOccurrence, step)) {
        continue;
      }
      open_step open{ { aId, aNumber, step },
                      &aJob,
                      &mInput.mState->QueueOf(aJob),
                      &aJob.mSpec.mSteps[step],
                      &record,
                      WaitingOf({ aId, aNumber, step }, record),
                      0 };
      if (open.mWaiting.empty()) {
        continue;
      }
      open.mSlackMs = SlackMs(open, aOccurrence, mInput.mWallMs);
      found += open.mWaiting.size();
      mSteps.push_back(std::move(open));
    }
    return found;
  }

  [[nodiscard]] std::vector<std::uint32_t> WaitingOf(
    const step_ref& aStep,
    const step_record& aRecord) const
  {
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t index = 0; index < aRecord.mTasks.size(); ++index) {
      const task_ref ref{ aStep.mJob, aStep.mOccurrence, aStep.mStep, index };
      if (aRecord.mTasks[index].mPhase == task_phase::Waiting &&
          !mInput.mProposed->contains(ref)) {
        waiting.push_back(index);
      }
    }
    return waiting;
  }

  [[nodiscard]] static bool Suits(const open_step& aStep,
                                  const plan_worker& aWorker)
  {
    const step_spec& spec = *aStep.mSpec;
    return aWorker.mFacts->mService == aStep.mQueue->mService &&
           spec.Booked().FitsIn(aWorker.mFree) &&
           (spec.mLabel.empty() ||
            std::ranges::count(aWorker.mFacts->mLabels, spec.mLabel) > 0);
  }

  // Where the step may run, as places in mWorkers. Most open steps wait for the
  // policy service's answer: to look at every worker for each of them took most
  // of the leader's processor time at 350 workers.
  [[nodiscard]] std::vector<std::size_t> PlacesFor(const open_step& aStep) const
  {
    std::vector<std::size_t> places;
    if (!aStep.mQueue->mAdvice) {
      places.resize(mInput.mWorkers.size());
      std::iota(places.begin(), places.end(), std::size_t{ 0 });
      return places;
    }
    for (const worker_number number :
         mInput.mAdvice->ApprovedFor(aStep.mRef, mInput.mNow)) {
      if (const auto found = mPlaceOf.find(number); found != mPlaceOf.end()) {
        places.push_back(found->second);
      }
    }
    return places;
  }

  // Its next failure may be the last one: it waits rather than go where others
  // fail.
  [[nodiscard]] static bool HasFailed(const open_step& aStep,
                                      std::uint32_t aIndex)
  {
    return aStep.mRecord->mGangFailures > 0 ||
           aStep.mRecord->mTasks[aIndex].mFailures > 0;
  }

  // Higher is better: near its data, on a fast worker with room to spare.
  [[nodiscard]] static double Score(const open_step& aStep,
                                    const plan_worker& aWorker)
  {
    constexpr double kNear = 10;
    constexpr double kAvoided = 100;
    const std::string& rack = aStep.mSpec->mDataRack;
    const bool near = rack.empty() || aWorker.mFacts->mRack.Value() == rack;
    const double spare =
      static_cast<double>(aWorker.mFree.mMilliProcessors) /
      std::max<double>(
        1, static_cast<double>(aWorker.mFacts->mCapacity.mMilliProcessors));
    // Filling work and serving work keep away from each other.
    constexpr double kDisturbs = 5;
    const bool disturbed = (aStep.mSpec->mFills && aWorker.mServes) ||
                           (aStep.mSpec->mTailTargetMs > 0 && aWorker.mFilled);
    return (near ? kNear : 0) - (disturbed ? kDisturbs : 0) + spare +
           kSpeedWeight * aWorker.mSpeed - (aWorker.mAvoided ? kAvoided : 0);
  }

  // Those of this step that are or will be at each worker.
  [[nodiscard]] std::map<worker_number, std::uint32_t> CountAt(
    const open_step& aStep) const
  {
    std::map<worker_number, std::uint32_t> counts;
    for (const task_record& task : aStep.mRecord->mTasks) {
      if (task.mPhase == task_phase::Placed) {
        ++counts[task.mWorker];
      }
    }
    const step_ref& ref = aStep.mRef;
    for (auto next = mInput.mProposed->lower_bound(
           { ref.mJob, ref.mOccurrence, ref.mStep, 0 });
         next != mInput.mProposed->end() && next->first.mJob == ref.mJob &&
         next->first.mOccurrence == ref.mOccurrence &&
         next->first.mStep == ref.mStep;
         ++next) {
      ++counts[next->second];
    }
    return counts;
  }

  void PlaceStep(const open_step& aStep)
  {
    const bool whole = aStep.mSpec->mGang || aStep.mSpec->mSameRack;
    const std::size_t placed =
      whole ? PlaceWhole(aStep) : PlaceSome(aStep, aStep.mWaiting, {});
    const std::size_t left = aStep.mWaiting.size() - placed;
    mResult.mWaiting += left;
    mResult.mUrgentWaiting += aStep.mQueue->mPriority == 0 ? left : 0;
    if (left > 0 && aStep.mQueue->mAdvice) {
      Ask(aStep, left);
    }
  }

  // A gang starts whole or not at all; a step bound to one rack stays there.
  std::size_t PlaceWhole(const open_step& aStep)
  {
    if (aStep.mSpec->mGang &&
        aStep.mWaiting.size() != aStep.mRecord->mTasks.size()) {
      return 0; // members of the last attempt aren't all over
    }
    for (const rack_id& rack : RacksFor(aStep)) {
      const auto workers = mInput.mWorkers;
      const auto starts = mResult.mStarts.size();
      if (PlaceSome(aStep, aStep.mWaiting, rack) == aStep.mWaiting.size()) {
        return aStep.mWaiting.size();
      }
      mInput.mWorkers = workers;
      mResult.mStarts.resize(starts);
    }
    return 0;
  }

  // Where the whole may go: one rack after the other, or anywhere (an empty
  // name) where it isn't bound to one.
  [[nodiscard]] std::vector<rack_id> RacksFor(const open_step& aStep) const
  {
    if (!aStep.mSpec->mSameRack) {
      return { rack_id() };
    }
    std::set<rack_id> racks;
    for (const plan_worker& worker : mInput.mWorkers) {
      racks.insert(worker.mFacts->mRack);
    }
    std::vector<rack_id> order(racks.begin(), racks.end());
    std::ranges::stable_partition(order, [&](const rack_id& aRack) {
      return aRack.Value() == aStep.mSpec->mDataRack;
    });
    if (!aStep.mSpec->mGang) {
      order.emplace_back(); // slower anywhere than never
    }
    return order;
  }

  std::size_t PlaceSome(const open_step& aStep,
                        const std::vector<std::uint32_t>& aTasks,
                        const rack_id& aRack)
  {
    const std::vector<std::size_t> places = PlacesFor(aStep);
    if (places.empty()) {
      return 0;
    }
    std::map<worker_number, std::uint32_t> counts = CountAt(aStep);
    std::size_t placed = 0;
    for (const std::uint32_t index : aTasks) {
      plan_worker* best = BestOf(places, aStep, index, aRack, counts);
      if (best == nullptr) {
        break; // the tasks of a step are alike
      }
      ++counts[best->mNumber];
      Place(aStep, index, *best);
      ++placed;
    }
    return placed;
  }

  // Null, if none of the places takes the task.
  plan_worker* BestOf(const std::vector<std::size_t>& aPlaces,
                      const open_step& aStep,
                      std::uint32_t aIndex,
                      const rack_id& aRack,
                      const std::map<worker_number, std::uint32_t>& aCounts)
  {
    plan_worker* best = nullptr;
    double bestScore = 0;
    for (const std::size_t place : aPlaces) {
      plan_worker& worker = mInput.mWorkers[place];
      if (!MayTake(aStep, aIndex, aRack, worker, aCounts)) {
        continue;
      }
      const double score = Score(aStep, worker);
      if (best == nullptr || score > bestScore) {
        best = &worker;
        bestScore = score;
      }
    }
    return best;
  }

  [[nodiscard]] static bool MayTake(
    const open_step& aStep,
    std::uint32_t aIndex,
    const rack_id& aRack,
    const plan_worker& aWorker,
    const std::map<worker_number, std::uint32_t>& aCounts)
  {
    const bool elsewhere =
      !aRack.Value().empty() && aWorker.mFacts->mRack != aRack;
    if (elsewhere || !Suits(aStep, aWorker) ||
        (aWorker.mAvoided && HasFailed(aStep, aIndex))) {
      return false;
    }
    const std::uint32_t most = aStep.mSpec->mMostPerWorker;
    const auto here = aCounts.find(aWorker.mNumber);
    return most == 0 || here == aCounts.end() || here->second < most;
  }

  void Place(const open_step& aStep, std::uint32_t aIndex, plan_worker& aWorker)
  {
    aWorker.mFree -= aStep.mSpec->Booked();
    const step_ref& ref = aStep.mRef;
    attempt_t attempt = aStep.mRecord->mTasks[aIndex].mAttempt + 1;
    if (aStep.mSpec->mGang) {
      for (const task_record& member : aStep.mRecord->mTasks) {
        attempt = std::max(attempt, member.mAttempt + 1);
      }
    }
    mResult.mStarts.push_back(
      { { { { ref.mJob, ref.mOccurrence, ref.mStep, aIndex }, attempt },
          aWorker.mNumber },
        mInput.mAdvice->TicketFor(ref, aWorker.mNumber, mInput.mNow) });
  }

  [[nodiscard]] bool HasAdvisor(const open_step& aStep) const
  {
    const std::size_t free =
      mInput.mFreeAdvisors -
      std::min(mInput.mFreeAdvisors, mResult.mQuestions.size());
    const std::size_t kept =
      aStep.mQueue->mPriority == 0 ? 0 : mInput.mAdvisors / kKeptForFirst;
    return free > kept;
  }

  // Names workers that have room and of which the verdict isn't known, or
  // whose ticket has run out.
  void Ask(const open_step& aStep, std::size_t aTasks)
  {
    if (mInput.mAsking->contains(aStep.mRef) || !HasAdvisor(aStep)) {
      return;
    }
    std::vector<std::pair<double, const plan_worker*>> candidates;
    double good = 0; // tasks that the approved ones take
    for (const plan_worker& worker : mInput.mWorkers) {
      const verdict known =
        mInput.mAdvice->On(aStep.mRef, worker.mNumber, mInput.mNow);
      if (!Suits(aStep, worker) || worker.mAvoided ||
          known == verdict::Refused || known == verdict::Approved) {
        continue;
      }
      constexpr double kKnownGood = 100;
      candidates.emplace_back(Score(aStep, worker) +
                                (known == verdict::Expired ? kKnownGood : 0),
                              &worker);
    }
    std::ranges::sort(candidates, [](const auto& aLeft, const auto& aRight) {
      return std::make_pair(-aLeft.first, aLeft.second->mNumber) <
             std::make_pair(-aRight.first, aRight.second->mNumber);
    });
    const double share = mInput.mAdvice->ApprovedShare(aStep.mQueue->mName);
    question asked{ aStep.mRef, {} };
    const double perWorkerMs = aStep.mQueue->mAdvice->mPerWorkerMs;
    const auto spare = static_cast<std::size_t>(
      perWorkerMs > 0 ? kNameMoreMs / perWorkerMs : kNameMoreMs);
    const double wanted = static_cast<double>(aTasks) * kNameMargin + kNameMore;
    std::size_t beyond = 0;
    for (const auto& [score, worker] : candidates) {
      if ((good >= wanted && ++beyond > spare) ||
          asked.mWorkers.size() >= kMostNamed) {
        break;
      }
      asked.mWorkers.push_back(worker->mNumber);
      good += share * static_cast<double>(TasksAt(aStep, *worker));
    }
    if (!asked.mWorkers.empty()) {
      mResult.mQuestions.push_back(std::move(asked));
    }
  }

  // How many of the step's tasks would be put there: half of what fits, since
  // others want the room as well.
  [[nodiscard]] static std::int64_t TasksAt(const open_step& aStep,
                                            const plan_worker& aWorker)
  {
    const std::int64_t fit = aStep.mSpec->Booked().TimesIn(aWorker.mFree);
    std::int64_t tasks = std::max<std::int64_t>(1, fit / 2);
    if (aStep.mSpec->mMostPerWorker > 0) {
      tasks = std::min<std::int64_t>(tasks, aStep.mSpec->mMostPerWorker);
    }
    return tasks;
  }

  plan_input mInput;
  std::unordered_map<worker_number, std::size_t> mPlaceOf;
  std::vector<open_step> mSteps;
  plan_result mResult;
};

} // namespace

plan_result
MakePlan(plan_input aInput)
{
  return plan_maker(std::move(aInput)).Run();
}

} // namespace oriolewalk::flow
