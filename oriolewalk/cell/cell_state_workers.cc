// Implements the worker commands (register, lose, drain, remove) and Audit().

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {
namespace {

// The number of earlier incarnations whose late registrations are refused. An
// older registration would have to be delayed across several restarts.
constexpr std::size_t kMaxFormerBoots = 8;
constexpr std::int64_t kMaxCapacity = 1'000'000'000'000;

error
Refusal(error_code aCode, std::string aStep, std::string aMessage)
{
  return { aCode, std::move(aStep), {}, std::move(aMessage) };
}

bool
IsValid(const register_worker& aCommand)
{
  return !aCommand.mWorker.Value().empty() && !aCommand.mBoot.Value().empty() &&
         std::ranges::all_of(aCommand.mCapacity.Amounts(),
                             [](std::int64_t aAmount) {
                               return aAmount >= 0 && aAmount <= kMaxCapacity;
                             });
}

bool
IsNumber(std::string_view aText)
{
  return std::ranges::all_of(
    aText, [](char aEach) { return aEach >= '0' && aEach <= '9'; });
}

// Numeric boot ids increase with each incarnation, so any late registration is
// detected, including one from an incarnation that never registered. Other boot
// ids are detected only if they registered before.
bool
IsEarlierIncarnation(const boot_id& aBoot, const worker_record& aWorker)
{
  std::string_view boot = aBoot.Value();
  std::string_view current = aWorker.mBoot.Value();
  if (IsNumber(boot) && IsNumber(current)) {
    boot.remove_prefix(std::min(boot.find_first_not_of('0'), boot.size()));
    current.remove_prefix(
      std::min(current.find_first_not_of('0'), current.size()));
    return std::pair(boot.size(), boot) < std::pair(current.size(), current);
  }
  return std::ranges::find(aWorker.mFormerBoots, aBoot) !=
         aWorker.mFormerBoots.end();
}

} // namespace

worker_slot
cell_state::FreeSlot()
{
  const auto free = std::ranges::find(mWorkers, false, &worker_record::mKnown);
  if (free != mWorkers.end()) {
    return static_cast<worker_slot>(free - mWorkers.begin());
  }
  mWorkers.emplace_back();
  return static_cast<worker_slot>(mWorkers.size() - 1);
}

void
cell_state::Do(const register_worker& aCommand, apply_outcome& aOutcome)
{
  constexpr const char* kStep = "register worker";
  if (!IsValid(aCommand)) {
    aOutcome.mRefusal = Refusal(error_code::InvalidArgument,
                                kStep,
                                "worker, boot or capacity is not valid");
    return;
  }
  auto slot = FindSlot(aCommand.mWorker);
  if (!slot) {
    slot = FreeSlot();
    mWorkers[*slot] = {};
    mWorkers[*slot].mId = aCommand.mWorker;
    mWorkers[*slot].mBoot = aCommand.mBoot;
    mWorkers[*slot].mPresent = false;
    mSlots.emplace(aCommand.mWorker, *slot);
  }
  worker_record& worker = mWorkers[*slot];
  const bool isNewIncarnation = worker.mBoot != aCommand.mBoot;
  // A delayed registration of an earlier incarnation would mark the attempts of
  // the current one as lost while they still run, so tasks would run twice.
  if (isNewIncarnation && IsEarlierIncarnation(aCommand.mBoot, worker)) {
    aOutcome.mRefusal =
      Refusal(error_code::Conflict, kStep, "this life of the worker is over");
    return;
  }
  if (!isNewIncarnation && !worker.mBooked.FitsIn(aCommand.mCapacity)) {
    aOutcome.mRefusal = Refusal(
      error_code::Conflict, kStep, "the capacity is less than what is booked");
    return;
  }
  if (isNewIncarnation) {
    EndAllAttempts(worker, aOutcome);
    worker.mFormerBoots.push_back(worker.mBoot);
    if (worker.mFormerBoots.size() > kMaxFormerBoots) {
      worker.mFormerBoots.erase(worker.mFormerBoots.begin());
    }
    worker.mBoot = aCommand.mBoot;
    worker.mDraining = false;
    worker.mDrainDeadlineMs = 0;
  }
  if (worker.mPresent) {
    mCapacity -= worker.mCapacity;
  }
  worker.mPresent = true;
  worker.mDataCentre = aCommand.mDataCentre;
  worker.mRack = aCommand.mRack;
  worker.mCapacity = aCommand.mCapacity;
  mCapacity += worker.mCapacity;
  aOutcome.mChanged = true;
  aOutcome.mWorkers.push_back(*slot);
}

void
cell_state::EndAllAttempts(worker_record& aWorker, apply_outcome& aOutcome)
{
  const std::vector<task_id> tasks(aWorker.mTasks.begin(),
                                   aWorker.mTasks.end());
  for (const task_id& task : tasks) {
    EndAttempt(task, ending::Lost, aOutcome);
  }
}

void
cell_state::Do(const workers_lost& aCommand, apply_outcome& aOutcome)
{
  for (const worker_life& incarnation : aCommand.mLives) {
    const auto slot = FindSlot(incarnation.mWorker);
    if (!slot || mWorkers[*slot].mBoot != incarnation.mBoot ||
        !mWorkers[*slot].mPresent) {
      continue;
    }
    worker_record& worker = mWorkers[*slot];
    EndAllAttempts(worker, aOutcome);
    worker.mPresent = false;
    mCapacity -= worker.mCapacity;
    aOutcome.mChanged = true;
    aOutcome.mWorkers.push_back(*slot);
  }
}

void
cell_state::Do(const drain_worker& aCommand, apply_outcome& aOutcome)
{
  const auto slot = FindSlot(aCommand.mWorker);
  if (!slot) {
    aOutcome.mRefusal =
      Refusal(error_code::NotFound, "drain worker", "no such worker");
    return;
  }
  mWorkers[*slot].mDraining = aCommand.mDrain;
  mWorkers[*slot].mDrainDeadlineMs = aCommand.mDrain ? aCommand.mDeadlineMs : 0;
  aOutcome.mChanged = true;
  aOutcome.mWorkers.push_back(*slot);
}

void
cell_state::Do(const remove_worker& aCommand, apply_outcome& aOutcome)
{
  constexpr const char* kStep = "remove worker";
  const auto slot = FindSlot(aCommand.mWorker);
  if (!slot) {
    aOutcome.mRefusal = Refusal(error_code::NotFound, kStep, "no such worker");
    return;
  }
  worker_record& worker = mWorkers[*slot];
  if (worker.mPresent && (!worker.mDraining || !worker.mTasks.empty())) {
    aOutcome.mRefusal =
      Refusal(error_code::Conflict, kStep, "drain the worker first");
    return;
  }
  if (worker.mPresent) {
    mCapacity -= worker.mCapacity;
  }
  worker.mKnown = false;
  worker.mPresent = false;
  mSlots.erase(aCommand.mWorker);
  aOutcome.mChanged = true;
  aOutcome.mWorkers.push_back(*slot);
}

std::string
cell_state::AuditJob(const job_record& aJob) const
{
  std::uint32_t placed = 0;
  std::uint32_t waiting = 0;
  for (std::uint32_t at = 0; at < aJob.mTasks.size(); ++at) {
    const task_record& task = aJob.mTasks[at];
    const task_id id{ aJob.mNumber, at };
    waiting += task.mState == task_state::Waiting ? 1 : 0;
    if (task.mState == task_state::Placed) {
      ++placed;
      if (!mWorkers.at(task.mWorker).mTasks.contains(id)) {
        return ToString(id) + " is not on its worker";
      }
    }
  }
  if (placed != aJob.mPlaced || waiting != aJob.mWaiting) {
    return ToString(aJob.mNumber) + " counts its tasks wrongly";
  }
  const bool part = placed > 0 && waiting > 0;
  if (aJob.mSpec.mKind == job_kind::Gang && part && !aJob.mGangBroken) {
    return ToString(aJob.mNumber) + " is a gang that runs in part";
  }
  return {};
}

std::string
cell_state::AuditWorker(const worker_record& aWorker) const
{
  resources booked;
  for (const task_id& id : aWorker.mTasks) {
    const task_record* task = FindTask(id);
    if (task == nullptr || task->mState != task_state::Placed ||
        &mWorkers.at(task->mWorker) != &aWorker) {
      return aWorker.mId.Value() + " holds a task that is not placed there";
    }
    booked += Booking(FindJob(id.mJob)->mSpec, *task);
  }
  if (booked != aWorker.mBooked) {
    return aWorker.mId.Value() + " has another sum of bookings";
  }
  if (!aWorker.mBooked.FitsIn(aWorker.mCapacity)) {
    return aWorker.mId.Value() + " is booked above its capacity";
  }
  if (!aWorker.mPresent && !aWorker.mTasks.empty()) {
    return aWorker.mId.Value() + " is absent and holds tasks";
  }
  return {};
}

std::string
cell_state::Audit() const
{
  std::string broken;
  for (const auto& [number, job] : mJobs) {
    broken = broken.empty() ? AuditJob(job) : broken;
  }
  for (const worker_record& worker : mWorkers) {
    broken = broken.empty() ? AuditWorker(worker) : broken;
  }
  return broken;
}

} // namespace oriolewalk::cell
