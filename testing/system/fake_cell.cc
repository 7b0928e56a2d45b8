// The control processes of the fake cell, their network, disks and faults.

#include "testing/system/fake_cell.h"

#include <algorithm>
#include <utility>

#include "oriolewalk/entry/answers.h"

namespace oriolewalk::testing {

namespace {

std::string
Address(std::size_t aControl)
{
  return "control-" + std::to_string(aControl);
}

} // namespace

fake_cell::fake_cell(std::size_t aControls, std::uint64_t aSeed)
  : mRandom(aSeed)
  , mSeed(aSeed)
  , mControls(aControls)
{
  for (std::size_t control = 0; control < aControls; ++control) {
    Start(control);
  }
}

fake_cell::~fake_cell() = default;

consensus::membership
fake_cell::Founders() const
{
  consensus::membership founders;
  for (std::size_t control = 0; control < mControls.size(); ++control) {
    founders.PutVoter({ consensus::node_id(control + 1),
                        Address(control),
                        0,
                        false,
                        std::nullopt });
  }
  return founders;
}

void
fake_cell::Start(std::size_t aControl)
{
  fake_control& made = mControls[aControl];
  control::control_config config;
  config.mSelf = consensus::node_id(aControl + 1);
  config.mSnapshotEvery = 50;
  if (made.mDisk.mInitialised) {
    config.mFounders = Founders();
  }
  made.mDisk.mState.mMayVote = made.mDisk.mInitialised;
  auto core =
    control::control_core::Make(config,
                                made.mDisk.mState,
                                mSeed * 1000 + aControl * 100 + made.mLives++,
                                mNow);
  if (!core) {
    mEvents.push_back("cannot start: " + core.error().Describe());
    return;
  }
  made.mCore = std::move(*core);
}

void
fake_cell::AddEntry(const std::string& aName)
{
  fake_entry& made = mEntries[aName];
  made = {};
  made.mOwner = { instance_id(aName),
                  static_cast<std::uint64_t>(mNow.time_since_epoch().count()) };
}

void
fake_cell::AddTarget(const std::string& aName, std::uint32_t aSlots)
{
  mTargets[aName].mSlots = aSlots;
}

void
fake_cell::Run(duration aFor)
{
  RunUntil([]() { return false; }, aFor);
}

bool
fake_cell::RunUntil(const std::function<bool()>& aDone, duration aFor)
{
  const time_point end = mNow + aFor;
  while (!aDone()) {
    if (mNow >= end) {
      return false;
    }
    Step();
  }
  return true;
}

void
fake_cell::Step()
{
  mNow += kStep;
  mWallMs += kStep.count();
  while (!mDelayed.empty() && mDelayed.begin()->first <= mNow) {
    const auto next = mDelayed.extract(mDelayed.begin());
    next.mapped()();
  }
  for (std::size_t control = 0; control < mControls.size(); ++control) {
    StepControl(control);
  }
  StepQuestions();
  StepEntries();
  StepTargets();
}

void
fake_cell::Later(duration aAfter, std::function<void()> aDo)
{
  mDelayed.emplace(mNow + aAfter, std::move(aDo));
}

bool
fake_cell::Reaches(std::size_t aControl) const
{
  const fake_control& control = mControls[aControl];
  return control.mCore && !control.mCut;
}

// One tick, one sync of what was written in the last step, one batch of
// effects.
void
fake_cell::StepControl(std::size_t aControl)
{
  constexpr int kTickEvery = 10;
  fake_control& control = mControls[aControl];
  if (!control.mCore || control.mPaused) {
    return;
  }
  if (mNow.time_since_epoch() / kStep % kTickEvery == 0) {
    control.mCore->Tick(mNow, mWallMs);
  }
  Store(control);
  control::control_effects out = control.mCore->TakeEffects(mNow, mWallMs);
  if (out.mBroken) {
    mEvents.push_back("broken: " + out.mBroken->Describe());
  }
  Transmit(aControl, out.mMessages);
  if (!out.mWrites.IsEmpty()) {
    control.mWrites.push_back(std::move(out.mWrites));
  }
  for (control::call_reply& reply : out.mReplies) {
    Later(kNetwork, [this, aControl, reply]() {
      if (Reaches(aControl)) {
        OnReply(reply.mCall.Value(), aControl, reply.mAnswer);
      }
    });
  }
  for (const observe::event& event : out.mEvents) {
    mEvents.push_back(event.mKind + " " + event.mRequest);
  }
}

void
fake_cell::Transmit(std::size_t aFrom,
                    std::span<const consensus::message> aMessages)
{
  for (const consensus::message& message : aMessages) {
    if (mLoseOneIn != 0 && mRandom.Below(mLoseOneIn) == 0) {
      continue;
    }
    const bool twice = mDoubleOneIn != 0 && mRandom.Below(mDoubleOneIn) == 0;
    const std::size_t to = message.mTo.Value() - 1;
    for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
      const duration delay = kNetwork * (copy == 0 ? 1 : 30);
      Later(delay, [this, aFrom, to, message]() {
        if (Reaches(aFrom) && Reaches(to) && !mControls[to].mPaused) {
          mControls[to].mCore->Receive(message, mNow);
        }
      });
    }
  }
}

void
fake_cell::Store(fake_control& aControl)
{
  consensus::restored_state& disk = aControl.mDisk.mState;
  for (const voter::write_batch& batch : std::exchange(aControl.mWrites, {})) {
    aControl.mDisk.mInitialised = true;
    if (batch.mHardState) {
      disk.mHardState = *batch.mHardState;
    }
    if (batch.mInstalled) {
      disk.mSnapshot = batch.mInstalled;
      disk.mEntries.clear();
    }
    if (batch.mTruncateFrom) {
      std::erase_if(disk.mEntries, [&](const consensus::log_entry& aEntry) {
        return aEntry.mIndex >= *batch.mTruncateFrom;
      });
    }
    std::ranges::copy(batch.mAppend, std::back_inserter(disk.mEntries));
    if (batch.mSnapshot) {
      disk.mSnapshot = *batch.mSnapshot;
      std::erase_if(disk.mEntries, [&](const consensus::log_entry& aEntry) {
        return aEntry.mIndex <= batch.mSnapshot->mIndex;
      });
      aControl.mCore->SnapshotStored(*batch.mSnapshot);
    }
    if (batch.mTicket != 0) {
      aControl.mCore->Persisted(batch.mTicket, mNow);
    }
  }
}

std::optional<std::size_t>
fake_cell::Leader() const
{
  std::optional<std::size_t> leader;
  for (std::size_t control = 0; control < mControls.size(); ++control) {
    const auto& core = mControls[control].mCore;
    if (core && core->IsLeading() && core->Raft().MayServe(mNow)) {
      leader = control;
    }
  }
  return leader;
}

control::control_core&
fake_cell::Core(std::size_t aControl)
{
  return *mControls[aControl].mCore;
}

void
fake_cell::Crash(std::size_t aControl)
{
  mControls[aControl].mCore.reset();
  mControls[aControl].mWrites.clear();
}

void
fake_cell::Restart(std::size_t aControl)
{
  Start(aControl);
}

void
fake_cell::LoseDisk(std::size_t aControl)
{
  mControls[aControl].mDisk = { {}, false };
}

void
fake_cell::Pause(std::size_t aControl, bool aPaused)
{
  mControls[aControl].mPaused = aPaused;
}

void
fake_cell::Cut(std::size_t aControl, bool aCut)
{
  mControls[aControl].mCut = aCut;
}

void
fake_cell::CrashEntry(const std::string& aEntry)
{
  mEntries.at(aEntry).mUp = false;
}

void
fake_cell::PauseEntry(const std::string& aEntry, bool aPaused)
{
  fake_entry& entry = mEntries.at(aEntry);
  entry.mPaused = aPaused;
  while (!aPaused && !entry.mHeldBack.empty()) {
    const auto next = std::move(entry.mHeldBack.front());
    entry.mHeldBack.pop_front();
    next();
  }
}

void
fake_cell::SetMood(const std::string& aTarget, target_mood aMood)
{
  mTargets.at(aTarget).mMood = aMood;
}

void
fake_cell::LeaveTarget(const std::string& aTarget)
{
  mTargets.at(aTarget).mLeaving = true;
  mTargets.at(aTarget).mRenewAt = mNow;
}

void
fake_cell::DisturbNetwork(std::uint64_t aLoseOneIn, std::uint64_t aDoubleOneIn)
{
  mLoseOneIn = aLoseOneIn;
  mDoubleOneIn = aDoubleOneIn;
}

std::size_t
fake_cell::RunsOf(const std::string& aKey) const
{
  return static_cast<std::size_t>(
    std::ranges::count(mRuns, aKey, &target_run::mKey));
}

std::uint32_t
fake_cell::MostHeld(const std::string& aTarget) const
{
  return mTargets.at(aTarget).mMostHeld;
}

std::string
fake_cell::Audit() const
{
  for (const fake_call& call : mCalls) {
    const std::string& key = call.mRequest.mKey;
    const std::size_t runs = RunsOf(key);
    if (!call.mRequest.mRepeatable && runs > 1) {
      return key + " is not repeatable and ran " + std::to_string(runs) +
             " times";
    }
    if (mToldNotRun.contains(key) && runs != 0) {
      return key + " ran after or before \"not-run\" was told";
    }
    const auto outcome =
      call.mAnswer ? call.mAnswer->Find(entry::kOutcomeHeader) : std::nullopt;
    if (outcome == "completed" && call.mAnswer->mBody != call.mRequest.mBody) {
      return key + " got another request's answer";
    }
    if (outcome == "completed" && runs == 0) {
      return key + " is completed but never ran";
    }
  }
  for (const target_run& run : mRuns) {
    const bool overlaps =
      std::ranges::any_of(mRuns, [&](const target_run& aOther) {
        return &aOther != &run && aOther.mKey == run.mKey &&
               aOther.mFrom < run.mTo && run.mFrom < aOther.mTo;
      });
    if (overlaps) {
      return run.mKey + " ran in two places at once";
    }
  }
  for (const auto& [name, target] : mTargets) {
    if (target.mMostHeld > target.mSlots) {
      return name + " had more work than slots";
    }
  }
  return {};
}

} // namespace oriolewalk::testing
