#include "oriolewalk/machines/upkeep_planner.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <tuple>
#include <utility>

#include "oriolewalk/base/overloaded.h"

namespace oriolewalk::machines {

namespace {

// While a wave is open the list is read this often, if the rate allows it.
constexpr seconds kListInterval{ 1 };
// A machine's row must be this recent when the machine is ordered: another
// worker may have come up there since. Lists that take long to read may be as
// old as two readings.
constexpr seconds kMaxRowAge{ 3 };
// A machine is drained this long before the one that it follows is up again.
// Short tasks take a second, most others three to six.
constexpr seconds kDrainLead{ 3 };
// From the stop of a run to its committed end.
constexpr milliseconds kStopTime{ 1'500 };
// A drained machine whose long-running tasks don't get fewer for so long lets
// others come first.
constexpr seconds kBlockedAfter{ 5 };
// From the end of a machine's maintenance until the list shows it up and the
// next one is ordered.
constexpr milliseconds kRoundOverhead{ 1'500 };
// After an answer that the machine can't get its upkeep now.
constexpr seconds kBusyHold{ 1 };
// Of one reading of the list: a hundred thousand machines at 100 a page.
constexpr std::size_t kMaxPages = 1'000;
// The same, where it isn't expected to change soon.
constexpr seconds kRefusedHold{ 5 };

std::int64_t
Milliseconds(duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

} // namespace

upkeep_planner::upkeep_planner(upkeep_options aOptions,
                               std::uint64_t aTerm,
                               std::uint64_t aLastCall,
                               std::set<std::uint64_t> aInherited,
                               time_point aNow)
  : mOptions(aOptions)
  , mTerm(aTerm)
  , mLastCall(aLastCall)
  , mLeadingSince(aNow)
  , mInherited(std::move(aInherited))
  , mOrderPacer(aOptions.mOrdersPerS)
  , mPagePacer(aOptions.mPagesPerS)
{
}

void
upkeep_planner::OnAnswer(std::uint64_t aCall,
                         const call_answer& aAnswer,
                         time_point aNow)
{
  const auto call = mOpenCalls.extract(aCall);
  if (call.empty()) {
    return;
  }
  std::visit(overloaded{
               [&](const list_request& aRequest) {
                 OnPageAnswer(aRequest, aAnswer, call.mapped().mSentAt, aNow);
               },
               [&](const upkeep_request& aRequest) {
                 OnOrderAnswer(aRequest, aAnswer, aNow);
               },
             },
             call.mapped().mBody);
}

void
upkeep_planner::OnPageAnswer(const list_request& aRequest,
                             const call_answer& aAnswer,
                             time_point aSentAt,
                             time_point aNow)
{
  // Pages that name each other as the next one would never end.
  const bool isEndless = !aAnswer.mPage.mNextToken.empty() &&
                         (aAnswer.mPage.mNextToken == aRequest.mPageToken ||
                          mList.Pages() >= kMaxPages);
  const call_result outcome =
    isEndless ? call_result::NoAnswer : aAnswer.mResult;
  // Only a complete reading ends the back-off.
  if (outcome != call_result::Done || aAnswer.mPage.mNextToken.empty()) {
    mPagePacer.OnAnswer(outcome, aNow);
  }
  if (outcome == call_result::Done) {
    mList.OnPage(aAnswer.mPage, aSentAt);
  } else {
    mList.Abandon();
  }
}

void
upkeep_planner::OnOrderAnswer(const upkeep_request& aRequest,
                              const call_answer& aAnswer,
                              time_point aNow)
{
  mOrderPacer.OnAnswer(aAnswer.mResult, aNow);
  const auto found = mOrders.find(aRequest.mMachine);
  if (found == mOrders.end()) {
    return; // it has left the list
  }
  if (aAnswer.mResult != call_result::Done) {
    mNotes.push_back({ "upkeep.failed",
                       { { "wave", std::to_string(aRequest.mWave) },
                         { "machine", aRequest.mMachine.Value() },
                         { "why", std::string(ToString(aAnswer.mResult)) } } });
  }
  found->second.mChangedAt = aNow;
  switch (aAnswer.mResult) {
    case call_result::Done:
      found->second.mPhase = order_phase::Begun;
      return;
    case call_result::NoAnswer:
      found->second.mPhase = order_phase::Unanswered;
      found->second.mHadNoAnswer = true;
      return;
    case call_result::Busy:
      mHolds[aRequest.mMachine] = { aNow + kBusyHold, aNow };
      break;
    case call_result::OtherWave:
    case call_result::NoMachine:
    case call_result::Fenced:
      mHolds[aRequest.mMachine] = { aNow + kRefusedHold, aNow };
      break;
    case call_result::TooMany:
    case call_result::NotSent:
      if (found->second.mHadNoAnswer) {
        found->second.mPhase = order_phase::Unanswered;
        return; // the earlier order may still take effect
      }
      break;
  }
  // An earlier order for the machine that got no answer may have made it busy.
  found->second.mPhase = order_phase::Refused;
}

upkeep_actions
upkeep_planner::Plan(const upkeep_input& aInput)
{
  upkeep_actions actions;
  LearnWaves(aInput);
  LearnFromList(aInput.mNow);
  Settle(aInput, actions);
  for (auto& [machine, drain] : mDrains) {
    drain.mIsDraining = false;
  }
  for (const auto& [number, view] : mWaves) {
    PlanWave(aInput, aInput.mWaves->at(number), actions);
  }
  std::erase_if(mDrains,
                [](const auto& aEntry) { return !aEntry.second.mIsDraining; });
  for (const auto& [machine, order] : mOrders) {
    actions.mDown.insert(order.mWorker);
  }
  actions.mDown.erase(worker_id());
  if (!mWaves.empty()) {
    ReadList(aInput.mNow, actions);
  }
  std::ranges::move(std::exchange(mNotes, {}),
                    std::back_inserter(actions.mNotes));
  return actions;
}

void
upkeep_planner::LearnWaves(const upkeep_input& aInput)
{
  std::set<machine_id> machines;
  for (const auto& [number, wave] : *aInput.mWaves) {
    if (wave.IsDone()) {
      mWaves.erase(number);
      continue;
    }
    mWaves.try_emplace(number, wave_view{ aInput.mNow, false });
    for (const machine_id& machine : wave.mOrder.mMachines) {
      if (wave.IsOpen(machine)) {
        machines.insert(machine);
      }
    }
  }
  std::erase_if(mHolds, [&](const auto& aEntry) {
    return !machines.contains(aEntry.first);
  });
  mList.Watch(std::move(machines));
  if (mWaves.empty()) {
    mOrders.clear(); // the list isn't read any more, so none would end
  }
}

void
upkeep_planner::LearnFromList(time_point aNow)
{
  for (auto& [machine, order] : mOrders) {
    const listed_row* row = mList.Find(machine);
    if (order.mPhase == order_phase::Unanswered && row != nullptr &&
        row->mAskedAt > order.mChangedAt &&
        row->mState == machine_state::Upkeep) {
      order.mPhase = order_phase::Begun;
      order.mChangedAt = aNow;
    }
  }
  std::erase_if(mOrders, [this](const auto& aEntry) {
    return IsOver(aEntry.first, aEntry.second);
  });
}

bool
upkeep_planner::IsOver(const machine_id& aMachine,
                       const order_view& aOrder) const
{
  if (aOrder.mPhase == order_phase::InFlight || !mList.IsKnown()) {
    return false;
  }
  const listed_row* row = mList.Find(aMachine);
  if (row == nullptr) {
    return *mList.BeganAt() > aOrder.mChangedAt; // it has left
  }
  if (row->mAskedAt <= aOrder.mChangedAt) {
    return false;
  }
  switch (aOrder.mPhase) {
    case order_phase::Refused:
      return true; // an upkeep counts by the list
    case order_phase::Begun:
      // The service answers in the same way if the upkeep was over before, so
      // the worker need not have changed.
      return row->mState == machine_state::Up &&
             (row->mWorker != aOrder.mWorker ||
              row->mAskedAt >= aOrder.mChangedAt + mOptions.mMaintenance);
    case order_phase::InFlight:
    case order_phase::Unanswered:
      break;
  }
  return false;
}

void
upkeep_planner::Settle(const upkeep_input& aInput, upkeep_actions& aActions)
{
  for (const auto& [number, view] : mWaves) {
    const wave_record& wave = aInput.mWaves->at(number);
    for (const machine_id& machine : wave.mOrder.mMachines) {
      if (!wave.IsOpen(machine)) {
        continue;
      }
      if (HasBegun(aInput, wave, machine)) {
        aActions.mRecords.push_back({ number, machine, false });
      } else if (!mOrders.contains(machine) && mList.HasLeft(machine)) {
        aActions.mRecords.push_back({ number, machine, true });
      }
    }
  }
}

bool
upkeep_planner::HasBegun(const upkeep_input& aInput,
                         const wave_record& aWave,
                         const machine_id& aMachine) const
{
  const std::uint64_t number = aWave.mOrder.mNumber;
  if (const auto order = mOrders.find(aMachine); order != mOrders.end()) {
    return order->second.mWave == number &&
           order->second.mPhase == order_phase::Begun;
  }
  const listed_row* row = mList.Find(aMachine);
  if (row == nullptr || row->mState != machine_state::Upkeep ||
      row->mAskedAt < mWaves.at(number).mFirstSeenAt) {
    return false;
  }
  // The upkeep that the list shows may be another wave's, if there is another.
  return std::ranges::none_of(*aInput.mWaves, [&](const auto& aEntry) {
    const auto& machines = aEntry.second.mOrder.mMachines;
    return aEntry.first != number &&
           std::ranges::find(machines, aMachine) != machines.end();
  });
}

bool
upkeep_planner::IsDown(const wave_record& aWave,
                       const machine_id& aMachine) const
{
  if (mOrders.contains(aMachine)) {
    return true;
  }
  const listed_row* row = mList.Find(aMachine);
  return row != nullptr && (row->mState == machine_state::Upkeep ||
                            (row->mState == machine_state::Down &&
                             aWave.mBegun.contains(aMachine)));
}

upkeep_planner::wave_plan
upkeep_planner::Summarize(const upkeep_input& aInput,
                          const wave_record& aWave) const
{
  wave_plan plan;
  plan.mRecord = &aWave;
  for (const machine_id& machine : aWave.mOrder.mMachines) {
    if (IsDown(aWave, machine)) {
      ++plan.mDown;
      const auto order = mOrders.find(machine);
      const bool soonUp = order == mOrders.end() ||
                          (order->second.mPhase == order_phase::Begun &&
                           aInput.mNow + kDrainLead >=
                             order->second.mChangedAt + mOptions.mMaintenance);
      plan.mReturning += soonUp ? 1 : 0;
    }
    if (aWave.IsOpen(machine)) {
      plan.mOpen.push_back(machine);
    }
  }
  const auto open = static_cast<std::int64_t>(plan.mOpen.size());
  const std::int64_t atOnce = std::max(1U, aWave.mOrder.mMaxCount);
  const std::int64_t laterRounds =
    std::max<std::int64_t>(0, (open + atOnce - 1) / atOnce - 1);
  const duration needed = std::max<duration>(
    laterRounds * (mOptions.mMaintenance + kRoundOverhead),
    std::max<std::int64_t>(0, open - 1) * mOrderPacer.Interval());
  plan.mLatestBegin = aInput.mNow +
                      milliseconds(aWave.DeadlineWallMs() - aInput.mWallMs) -
                      needed;
  return plan;
}

void
upkeep_planner::NoteIfLate(const upkeep_input& aInput,
                           const wave_plan& aPlan,
                           upkeep_actions& aActions)
{
  const wave_order& order = aPlan.mRecord->mOrder;
  wave_view& view = mWaves.at(order.mNumber);
  if (view.mLateNoted || aPlan.mOpen.empty() ||
      aInput.mNow <= aPlan.mLatestBegin) {
    return;
  }
  view.mLateNoted = true;
  aActions.mNotes.push_back(
    { "upkeep.late",
      { { "wave", std::to_string(order.mNumber) },
        { "left", std::to_string(aPlan.mOpen.size()) },
        { "down", std::to_string(aPlan.mDown) },
        { "max_down", std::to_string(order.mMaxCount) },
        { "maintenance_ms", std::to_string(mOptions.mMaintenance.count()) },
        { "remaining_ms",
          std::to_string(aPlan.mRecord->DeadlineWallMs() -
                         aInput.mWallMs) } } });
}

void
upkeep_planner::PlanWave(const upkeep_input& aInput,
                         const wave_record& aWave,
                         upkeep_actions& aActions)
{
  wave_plan plan = Summarize(aInput, aWave);
  NoteIfLate(aInput, plan, aActions);
  for (const machine_id& machine : SelectDrains(aInput, plan)) {
    if (Drain(aInput, plan, machine, aActions) &&
        MayOrder(aInput, plan, machine)) {
      plan.mDown += mOrders.contains(machine) ? 0 : 1;
      Order(aInput, plan, machine, aActions);
    }
  }
}

std::vector<machine_id>
upkeep_planner::SelectDrains(const upkeep_input& aInput,
                             const wave_plan& aPlan) const
{
  struct candidate
  {
    bool mIsRetry = false;
    bool mIsBlocked = false;
    bool mIsDraining = false;
    std::size_t mRuns = 0;
    machine_id mMachine;
  };
  std::vector<candidate> candidates;
  std::size_t retries = 0;
  for (const machine_id& machine : aPlan.mOpen) {
    const listed_row* row = mList.Find(machine);
    const auto order = mOrders.find(machine);
    const bool isRetry = order != mOrders.end() &&
                         order->second.mPhase == order_phase::Unanswered &&
                         order->second.mWave == aPlan.mRecord->mOrder.mNumber;
    if (row == nullptr || row->mState != machine_state::Up ||
        (order != mOrders.end() && !isRetry)) {
      continue;
    }
    const auto drain = mDrains.find(machine);
    const bool known = drain != mDrains.end();
    retries += isRetry ? 1 : 0;
    candidates.push_back(
      { isRetry,
        mHolds.contains(machine) || (known && drain->second.mIsBlocked),
        known,
        aInput.mRunsAt(row->mWorker).size(),
        machine });
  }
  std::ranges::stable_sort(candidates, {}, [](const candidate& aOne) {
    return std::tuple(
      !aOne.mIsRetry, aOne.mIsBlocked, !aOne.mIsDraining, aOne.mRuns);
  });
  const std::size_t maxCount = aPlan.mRecord->mOrder.mMaxCount;
  const std::size_t free =
    maxCount - std::min<std::size_t>(maxCount, aPlan.mDown);
  const std::size_t count =
    std::min(candidates.size(), retries + free + aPlan.mReturning);
  std::vector<machine_id> selected;
  std::ranges::transform(candidates.begin(),
                         candidates.begin() +
                           static_cast<std::ptrdiff_t>(count),
                         std::back_inserter(selected),
                         &candidate::mMachine);
  return selected;
}

bool
upkeep_planner::Drain(const upkeep_input& aInput,
                      const wave_plan& aPlan,
                      const machine_id& aMachine,
                      upkeep_actions& aActions)
{
  const listed_row& row = *mList.Find(aMachine);
  const std::vector<machine_run> runs = aInput.mRunsAt(row.mWorker);
  const auto count = [&](run_kind aKind) {
    return std::ranges::count(runs, aKind, &machine_run::mKind);
  };
  const auto [found, isNew] =
    mDrains.try_emplace(aMachine, drain_view{ runs.size(), aInput.mNow });
  drain_view& drain = found->second;
  drain.mIsDraining = true;
  if (drain.mRuns != runs.size()) {
    drain.mRuns = runs.size();
    drain.mRunsChangedAt = aInput.mNow;
  }
  drain.mIsBlocked = !runs.empty() &&
                     std::ranges::ssize(runs) == count(run_kind::LongRunning) &&
                     aInput.mNow >= drain.mRunsChangedAt + kBlockedAfter;
  if (!row.mWorker.Value().empty()) {
    aActions.mDraining.insert(row.mWorker);
  }
  if (isNew) {
    aActions.mNotes.push_back(
      { "upkeep.draining",
        { { "wave", std::to_string(aPlan.mRecord->mOrder.mNumber) },
          { "machine", aMachine.Value() },
          { "worker", row.mWorker.Value() },
          { "saved", std::to_string(count(run_kind::Saved)) },
          { "unsaved", std::to_string(count(run_kind::Unsaved)) },
          { "lasting", std::to_string(count(run_kind::LongRunning)) },
          { "down", std::to_string(aPlan.mDown) },
          { "latest_begin_ms",
            std::to_string(
              Milliseconds(aPlan.mLatestBegin - aInput.mNow)) } } });
  }
  StopRuns(aInput, aPlan, runs, aActions);
  return runs.empty();
}

void
upkeep_planner::StopRuns(const upkeep_input& aInput,
                         const wave_plan& aPlan,
                         const std::vector<machine_run>& aRuns,
                         upkeep_actions& aActions)
{
  const bool isPressed = aInput.mNow + kStopTime >= aPlan.mLatestBegin;
  std::vector<std::uint64_t> lasting;
  for (const machine_run& run : aRuns) {
    switch (run.mKind) {
      case run_kind::Saved:
        aActions.mStops.push_back(run.mKey);
        break;
      case run_kind::Unsaved:
        if (isPressed) {
          aActions.mStops.push_back(run.mKey);
        }
        break;
      case run_kind::LongRunning:
        lasting.push_back(run.mKey);
        break;
      case run_kind::Starting:
        break;
    }
  }
  if (!lasting.empty()) {
    std::ranges::copy(aInput.mGrant(lasting),
                      std::back_inserter(aActions.mStops));
  }
}

bool
upkeep_planner::MayOrder(const upkeep_input& aInput,
                         const wave_plan& aPlan,
                         const machine_id& aMachine) const
{
  const time_point now = aInput.mNow;
  const listed_row& row = *mList.Find(aMachine);
  const wave_record& wave = *aPlan.mRecord;
  const auto order = mOrders.find(aMachine);
  const bool isRetry = order != mOrders.end();
  // A retry takes the place that the machine has among those that are down.
  if (!mOrderPacer.MayCall(now) ||
      (!isRetry && aPlan.mDown >= wave.mOrder.mMaxCount) ||
      (isRetry && row.mAskedAt <= order->second.mChangedAt)) {
    return false;
  }
  const duration maxAge =
    std::max<duration>(kMaxRowAge, 2 * mList.ReadingTime());
  const time_point listAfter = mInherited.contains(wave.mOrder.mNumber)
                                 ? mLeadingSince + kOrderTimeout
                                 : time_point::min();
  if (now > row.mAskedAt + maxAge || row.mAskedAt < listAfter) {
    return false;
  }
  const auto held = mHolds.find(aMachine);
  return held == mHolds.end() ||
         (now >= held->second.mUntil && row.mAskedAt > held->second.mListAfter);
}

void
upkeep_planner::Order(const upkeep_input& aInput,
                      const wave_plan& aPlan,
                      const machine_id& aMachine,
                      upkeep_actions& aActions)
{
  const wave_order& order = aPlan.mRecord->mOrder;
  const worker_id worker = mList.Find(aMachine)->mWorker;
  const auto earlier = mOrders.find(aMachine);
  const bool hadNoAnswer =
    earlier != mOrders.end() && earlier->second.mHadNoAnswer;
  mOrders.insert_or_assign(
    aMachine,
    order_view{
      order.mNumber, worker, order_phase::InFlight, aInput.mNow, hadNoAnswer });
  mHolds.erase(aMachine);
  mOrderPacer.OnCall(aInput.mNow);
  Call(upkeep_request{ order.mNumber, aMachine, mTerm }, aInput.mNow, aActions);
  aActions.mNotes.push_back(
    { "upkeep.ordered",
      { { "wave", std::to_string(order.mNumber) },
        { "machine", aMachine.Value() },
        { "worker", worker.Value() },
        { "down", std::to_string(aPlan.mDown) },
        { "max_down", std::to_string(order.mMaxCount) },
        { "left", std::to_string(aPlan.mOpen.size()) },
        { "remaining_ms",
          std::to_string(aPlan.mRecord->DeadlineWallMs() -
                         aInput.mWallMs) } } });
}

void
upkeep_planner::ReadList(time_point aNow, upkeep_actions& aActions)
{
  const bool isAsking = std::ranges::any_of(mOpenCalls, [](const auto& aCall) {
    return std::holds_alternative<list_request>(aCall.second.mBody);
  });
  if (isAsking || !mPagePacer.MayCall(aNow)) {
    return;
  }
  if (!mList.IsReading()) {
    if (mList.IsKnown() && aNow < *mList.BeganAt() + kListInterval) {
      return;
    }
    mList.Begin(aNow);
  }
  mPagePacer.OnCall(aNow);
  Call(list_request{ mList.NextToken() }, aNow, aActions);
}

void
upkeep_planner::Call(call_body aBody, time_point aNow, upkeep_actions& aActions)
{
  ++mLastCall;
  aActions.mCalls.push_back({ mLastCall, aBody });
  mOpenCalls.emplace(mLastCall, open_call{ std::move(aBody), aNow });
}

} // namespace oriolewalk::machines
