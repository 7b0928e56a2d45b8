#include "oriolewalk/machines/machine_list.h"

#include <utility>

namespace oriolewalk::machines {

namespace {

// A machine that changes its place between pages may be missing in one reading.
constexpr seconds kMinAbsence{ 2 };

} // namespace

void
machine_list::Begin(time_point aNow)
{
  mReading = reading{ aNow, {}, {}, 0 };
}

void
machine_list::OnPage(const list_page& aPage, time_point aAskedAt)
{
  if (!mReading) {
    return;
  }
  for (const listed_machine& machine : aPage.mMachines) {
    mReading->mRows.insert_or_assign(
      machine.mMachine,
      listed_row{ machine.mState, machine.mWorker, aAskedAt });
  }
  ++mReading->mPages;
  mReading->mNextToken = aPage.mNextToken;
  if (!aPage.mNextToken.empty()) {
    return;
  }
  const time_point began = mReading->mBeganAt;
  mRows = std::move(mReading->mRows);
  mReading.reset();
  mBeganAt = began;
  mReadingTime = aAskedAt - began;
  for (const machine_id& machine : mWatched) {
    if (mRows.contains(machine)) {
      mAbsences.erase(machine);
    } else {
      mAbsences.try_emplace(machine, began, began).first->second.mLast = began;
    }
  }
}

const listed_row*
machine_list::Find(const machine_id& aMachine) const
{
  const auto found = mRows.find(aMachine);
  return found == mRows.end() ? nullptr : &found->second;
}

bool
machine_list::HasLeft(const machine_id& aMachine) const
{
  const auto found = mAbsences.find(aMachine);
  return found != mAbsences.end() &&
         found->second.mLast >= found->second.mFirst + kMinAbsence;
}

void
machine_list::Watch(std::set<machine_id> aMachines)
{
  mWatched = std::move(aMachines);
  std::erase_if(mAbsences, [this](const auto& aEntry) {
    return !mWatched.contains(aEntry.first);
  });
}

} // namespace oriolewalk::machines
