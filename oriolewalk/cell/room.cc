// Preemption and reservation for jobs that don't fit.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/reservations.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/soft_state.h"
#include "oriolewalk/cell/stages.h"

namespace oriolewalk::cell {
namespace {

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();
// Max places freed for one job in one Plan; the next Plan continues. A gang
// needs all its places at once and isn't limited.
constexpr std::uint32_t kMaxPlaces = 16;
// Work that was moved this often on average isn't preempted, so that it doesn't
// move back and forth. A checkpoint loses less and may happen more often.
constexpr std::uint32_t kMaxStops = 2;
constexpr std::uint32_t kMaxCheckpoints = 8;
// A stronger stop mode always costs more than any loss under a weaker one.
constexpr double kStepCost = 1e15;

struct victim
{
  task_id mTask;
  stop_mode mMode = stop_mode::Stop;
  resources mGain;
  double mCost = 0;
};

// The tasks to end on one worker, and the cost of ending them.
struct eviction
{
  worker_slot mWorker = kNoWorker;
  std::vector<victim> mVictims;
  double mCost = 0;
};

// Finds the cheapest preemption for the tasks of one job. Without it an urgent
// request to a cell that a night batch has filled would wait until a batch
// task ends by itself.
class preemption_search
{
public:
  preemption_search(plan_context& aPlan, const job_record& aJob)
    : mPlan(aPlan)
    , mJob(aJob)
  {
  }

  // Cost: at most mMostScanned workers and their tasks, twice.
  std::optional<eviction> Cheapest()
  {
    mThrottles = true;
    auto best = Scan();
    if (!best) {
      // Throttling frees processors only, and more than those may be missing.
      mThrottles = false;
      best = Scan();
    }
    mPlan.mSoft.mScanFrom += mPlan.mSoft.mOptions.mMostScanned;
    return best;
  }

  // Marks the place as taken for later searches of this job.
  void Take(const eviction& aEviction)
  {
    resources& taken = mTaken[aEviction.mWorker];
    taken += mJob.mSpec.mEach;
    for (const victim& each : aEviction.mVictims) {
      taken -= each.mGain;
      mVictims.insert(each.mTask);
    }
  }

private:
  [[nodiscard]] std::optional<eviction> Scan() const
  {
    const auto workers = mPlan.mState.Workers();
    const std::size_t scans =
      std::min<std::size_t>(workers.size(), mPlan.mSoft.mOptions.mMostScanned);
    std::optional<eviction> best;
    for (std::size_t scan = 0; scan < scans; ++scan) {
      const auto slot = static_cast<worker_slot>(
        (mPlan.mSoft.mScanFrom + scan) % workers.size());
      ++mPlan.mScanned;
      auto found = On(slot);
      if (found && (!best || found->mCost < best->mCost)) {
        best = std::move(found);
      }
      if (best && best->mCost < kStepCost && best->mVictims.size() <= 1) {
        break; // Costs only one checkpoint: good enough.
      }
    }
    return best;
  }

  [[nodiscard]] std::optional<eviction> On(worker_slot aSlot) const
  {
    const worker_record& worker = mPlan.mState.Workers()[aSlot];
    const resources& size = mJob.mSpec.mEach;
    if (!mPlan.mSoft.mIndex.Contains(aSlot) || !size.FitsIn(worker.mCapacity)) {
      return std::nullopt;
    }
    resources capacity = mPlan.mSoft.Free(mPlan.mState, aSlot);
    if (const auto reserved =
          mPlan.mSoft.mReservations.ReservedOn(aSlot, job_number(0))) {
      capacity -= reserved->mAmount;
    }
    if (const auto taken = mTaken.find(aSlot); taken != mTaken.end()) {
      capacity -= taken->second;
    }
    std::vector<victim> candidates;
    for (const task_id& id : worker.mTasks) {
      capacity += Consider(id, candidates);
    }
    return Choose(aSlot, capacity, std::move(candidates));
  }

  // Adds the task to the candidates, or returns what it is about to free.
  resources Consider(const task_id& aTask,
                     std::vector<victim>& aCandidates) const
  {
    const job_record& job = *mPlan.mState.FindJob(aTask.mJob);
    const task_record& task = job.mTasks[aTask.mIndex];
    if (task.mStop >= stop_mode::Checkpoint) {
      return Booking(job.mSpec, task);
    }
    if (job.mSpec.mClass <= mJob.mSpec.mClass || mVictims.contains(aTask)) {
      return {};
    }
    if (auto each = AsVictim(aTask, job, task)) {
      aCandidates.push_back(*each);
    }
    return {};
  }

  [[nodiscard]] std::optional<victim> AsVictim(const task_id& aTask,
                                               const job_record& aJob,
                                               const task_record& aRecord) const
  {
    const job_spec& spec = aJob.mSpec;
    const std::size_t tasks = aJob.mTasks.size();
    const auto ran =
      static_cast<double>(mPlan.mNow.mWallMs - aRecord.mPlacedMs);
    const double loss = std::max(1.0, ran) *
                        DominantShare(spec.mEach, mPlan.mState.TotalCapacity());
    // Heavy work is preempted before normal work.
    const double classCost =
      spec.mClass == job_class::Heavy ? 0 : kStepCost / 2;
    const resources whole = Booking(spec, aRecord);
    if (spec.mCheckpointable && aJob.mMoves < kMaxCheckpoints * tasks) {
      return victim{ aTask, stop_mode::Checkpoint, whole, classCost + loss };
    }
    if (mThrottles && !aRecord.mThrottledOnce) {
      return victim{
        aTask,
        stop_mode::Throttle,
        { spec.mEach.mMilliProcessors - ThrottledMilliProcessors(spec), 0, 0 },
        kStepCost + classCost + loss
      };
    }
    if (MayRunAgain(spec) && aJob.mMoves < kMaxStops * tasks) {
      return victim{
        aTask, stop_mode::Stop, whole, 2 * kStepCost + classCost + loss
      };
    }
    return std::nullopt;
  }

  // Takes the cheapest candidates until the request fits, then drops the
  // unnecessary ones, the most expensive first.
  [[nodiscard]] std::optional<eviction> Choose(
    worker_slot aSlot,
    resources aCapacity,
    std::vector<victim> aCandidates) const
  {
    const resources& size = mJob.mSpec.mEach;
    std::ranges::sort(aCandidates, {}, &victim::mCost);
    eviction answer{ aSlot, {}, 0 };
    for (const victim& each : aCandidates) {
      if (size.FitsIn(aCapacity)) {
        break;
      }
      aCapacity += each.mGain;
      answer.mVictims.push_back(each);
    }
    if (!size.FitsIn(aCapacity)) {
      return std::nullopt;
    }
    for (std::size_t at = answer.mVictims.size(); at-- > 0;) {
      if (size.FitsIn(aCapacity - answer.mVictims[at].mGain)) {
        aCapacity -= answer.mVictims[at].mGain;
        answer.mVictims.erase(answer.mVictims.begin() +
                              static_cast<std::ptrdiff_t>(at));
      }
    }
    for (const victim& each : answer.mVictims) {
      answer.mCost += each.mCost;
    }
    return answer;
  }

  plan_context& mPlan;
  const job_record& mJob;
  // A throttle frees processors only, and is tried before any stop.
  bool mThrottles = true;
  std::map<worker_slot, resources> mTaken;
  std::set<task_id> mVictims;
};

std::uint32_t
TasksToStart(const plan_context& aPlan, const job_record& aJob)
{
  std::uint32_t tasks = 0;
  auto at = NextTask(aPlan, aJob, 0);
  while (at && (aJob.mSpec.mKind == job_kind::Gang || tasks < kMaxPlaces)) {
    ++tasks;
    at = NextTask(aPlan, aJob, *at + 1);
  }
  return tasks;
}

} // namespace

std::int64_t
WaitedMs(const plan_context& aPlan, const job_record& aJob)
{
  return aPlan.mNow.mWallMs - std::max(aJob.mSubmittedMs, aJob.mLatestStartMs);
}

bool
IsAged(const plan_context& aPlan, const job_record& aJob)
{
  const scheduler_options& options = aPlan.mSoft.mOptions;
  switch (aJob.mSpec.mClass) {
    case job_class::Urgent:
      return false;
    case job_class::Normal:
      return WaitedMs(aPlan, aJob) > options.mNormalBound.count();
    case job_class::Heavy:
      break;
  }
  return WaitedMs(aPlan, aJob) > options.mHeavyBound.count();
}

stop_mode
GentlestEnd(const job_spec& aSpec)
{
  return aSpec.mCheckpointable ? stop_mode::Checkpoint : stop_mode::Stop;
}

std::int64_t
ExpectedEndMs(const plan_context& aPlan,
              const job_record& aJob,
              const task_record& aTask)
{
  const std::int64_t now = aPlan.mNow.mWallMs;
  if (aTask.mStop >= stop_mode::Checkpoint) {
    return now;
  }
  if (aJob.mSpec.mKind == job_kind::Service) {
    return kNever;
  }
  const std::int64_t expected =
    aTask.mPlacedMs + aPlan.mSoft.mLearning.ExpectedMs(aJob.mSpec);
  // A task that overran its expected time is assumed to be half done.
  return expected > now ? expected : now + (now - aTask.mPlacedMs);
}

void
ProposeStop(plan_context& aPlan,
            const task_id& aTask,
            stop_mode aMode,
            stop_reason aReason)
{
  const task_record* task = aPlan.mState.FindTask(aTask);
  if (task == nullptr || task->mState != task_state::Placed ||
      task->mStop >= aMode || aMode == stop_mode::None) {
    return;
  }
  const proposal_kind kind =
    aMode == stop_mode::Throttle
      ? proposal_kind::Throttle
      : (aMode == stop_mode::Checkpoint ? proposal_kind::Checkpoint
                                        : proposal_kind::Stop);
  if (aPlan.mSoft.Propose(kind, aTask)) {
    aPlan.mCommands.emplace_back(
      stop_task{ aTask, task->mAttempt, aMode, aReason });
  }
}

bool
TryPreempt(plan_context& aPlan, const job_record& aJob, std::uint32_t aNeeded)
{
  preemption_search search(aPlan, aJob);
  std::vector<eviction> evictions;
  while (evictions.size() < aNeeded) {
    auto chosen = search.Cheapest();
    if (!chosen) {
      break;
    }
    search.Take(*chosen);
    evictions.push_back(std::move(*chosen));
  }
  const bool whole = evictions.size() == aNeeded;
  if (evictions.empty() || (aJob.mSpec.mKind == job_kind::Gang && !whole)) {
    return false; // Preemption wouldn't help, so no task is ended.
  }
  reservation reserved;
  reserved.mJob = aJob.mNumber;
  reserved.mOrganisation = aJob.mOrganisation;
  reserved.mClass = aJob.mSpec.mClass;
  reserved.mEach = aJob.mSpec.mEach;
  reserved.mStartMs = aPlan.mNow.mWallMs;
  reserved.mExpectedMs = aPlan.mSoft.mLearning.ExpectedMs(aJob.mSpec);
  reserved.mPreempts = true;
  reserved.mCreated = aPlan.mNow.mNow;
  for (const eviction& chosen : evictions) {
    ++reserved.mPlaces[chosen.mWorker];
    for (const victim& each : chosen.mVictims) {
      ProposeStop(aPlan, each.mTask, each.mMode, stop_reason::Preempted);
    }
  }
  aPlan.mSoft.mReservations.Add(std::move(reserved));
  return true;
}

namespace {

using place = std::pair<std::int64_t, worker_slot>; // When it is free.

// Finds when each of the next aNeeded tasks fits on one worker.
void
AddPlaces(const plan_context& aPlan,
          const job_record& aJob,
          worker_slot aSlot,
          std::uint32_t aNeeded,
          std::vector<place>& aPlaces)
{
  const worker_record& worker = aPlan.mState.Workers()[aSlot];
  std::vector<std::pair<std::int64_t, resources>> ends;
  for (const task_id& id : worker.mTasks) {
    const job_record& job = *aPlan.mState.FindJob(id.mJob);
    const task_record& task = job.mTasks[id.mIndex];
    ends.emplace_back(ExpectedEndMs(aPlan, job, task),
                      Booking(job.mSpec, task));
  }
  resources capacity = aPlan.mSoft.Free(aPlan.mState, aSlot);
  // Jobs with reservations there run first; their capacity is free again when
  // they end. If workers with reservations were left out, those of small jobs
  // would keep a gang from ever getting whole workers.
  for (const job_number holder :
       aPlan.mSoft.mReservations.JobsReservedOn(aSlot)) {
    const reservation& reserved = *aPlan.mSoft.mReservations.Find(holder);
    const resources amount = reserved.mEach * reserved.mPlaces.at(aSlot);
    capacity -= amount;
    ends.emplace_back(reserved.mStartMs + reserved.mExpectedMs, amount);
  }
  std::ranges::sort(ends, {}, &std::pair<std::int64_t, resources>::first);
  std::int64_t when = aPlan.mNow.mWallMs;
  std::int64_t found = 0;
  const auto add = [&] {
    const std::int64_t fits =
      std::min<std::int64_t>(aJob.mSpec.mEach.TimesIn(capacity), aNeeded);
    for (; found < fits; ++found) {
      aPlaces.emplace_back(when, aSlot);
    }
  };
  add();
  for (const auto& [end, booking] : ends) {
    if (end == kNever || found >= aNeeded) {
      break;
    }
    when = end;
    capacity += booking;
    add();
  }
}

} // namespace

bool
TryReserve(plan_context& aPlan, const job_record& aJob, std::uint32_t aNeeded)
{
  const auto workers = aPlan.mState.Workers();
  const std::size_t scans = std::min<std::size_t>(
    workers.size(),
    std::max<std::size_t>(aPlan.mSoft.mOptions.mMostScanned,
                          std::size_t{ 2 } * aNeeded));
  std::vector<place> places;
  aPlan.mScanned += scans;
  for (std::size_t scan = 0; scan < scans; ++scan) {
    const auto slot =
      static_cast<worker_slot>((aPlan.mSoft.mScanFrom + scan) % workers.size());
    if (aPlan.mSoft.mIndex.Contains(slot)) {
      AddPlaces(aPlan, aJob, slot, aNeeded, places);
    }
  }
  aPlan.mSoft.mScanFrom += static_cast<worker_slot>(scans);
  if (places.size() < aNeeded) {
    return false;
  }
  std::ranges::sort(places);
  places.resize(aNeeded);
  reservation reserved;
  reserved.mJob = aJob.mNumber;
  reserved.mOrganisation = aJob.mOrganisation;
  reserved.mEach = aJob.mSpec.mEach;
  reserved.mStartMs = places.back().first;
  reserved.mExpectedMs = aPlan.mSoft.mLearning.ExpectedMs(aJob.mSpec);
  reserved.mCreated = aPlan.mNow.mNow;
  reserved.mClass = IsAged(aPlan, aJob) ? job_class::Urgent : aJob.mSpec.mClass;
  for (const auto& [when, slot] : places) {
    ++reserved.mPlaces[slot];
  }
  aPlan.mSoft.mReservations.Add(std::move(reserved));
  return true;
}

bool
FreeCapacityFor(plan_context& aPlan, const job_record& aJob)
{
  soft_state& soft = aPlan.mSoft;
  if (const reservation* reserved = soft.mReservations.Find(aJob.mNumber)) {
    return reserved->mPreempts;
  }
  if (aPlan.mScanned >= soft.mOptions.mMostPlanScans ||
      soft.mFailedSearches.contains(aJob.mNumber) ||
      aPlan.mState.Workers().empty()) {
    return false;
  }
  soft.mFailedSearches.emplace(aJob.mNumber, aPlan.mNow.mNow);
  constexpr std::size_t kLeastScanned = 8;
  aPlan.mScanned += kLeastScanned;
  const job_class jobClass = aJob.mSpec.mClass;
  const bool preempts =
    jobClass == job_class::Urgent ||
    (jobClass == job_class::Normal &&
     WaitedMs(aPlan, aJob) > soft.mOptions.mNormalPatience.count());
  if (preempts &&
      soft.mReservations.Count(true) < soft.mOptions.mMostReservations &&
      TryPreempt(aPlan, aJob, TasksToStart(aPlan, aJob))) {
    return true;
  }
  // At most one per organisation: otherwise the small jobs of a busy
  // organisation would use up all reservations for capacity that is free in a
  // moment anyway.
  const bool mayHold =
    soft.mReservations.Count(false) < soft.mOptions.mMostQuietReservations &&
    !soft.mReservations.Waits(aJob.mOrganisation);
  if (mayHold || IsAged(aPlan, aJob)) {
    const bool gang = aJob.mSpec.mKind == job_kind::Gang;
    TryReserve(aPlan, aJob, gang ? TasksToStart(aPlan, aJob) : 1);
  }
  return false;
}

} // namespace oriolewalk::cell
