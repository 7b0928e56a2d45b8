#include "testing/system/fake_cell.h"

#include <algorithm>
#include <utility>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/entry/answers.h"

namespace oriolewalk::testing {

namespace {

constexpr milliseconds kNetwork{ 1 };
constexpr milliseconds kService{ 20 };
// A question that meets a dead, cut or paused process is asked elsewhere after
// the RPC's silence bound.
constexpr milliseconds kSilence{ 1000 };
constexpr milliseconds kRetry{ 30 };

std::string
Address(std::size_t aControl)
{
  return "control-" + std::to_string(aControl);
}

std::size_t
Place(const std::string& aAddress)
{
  return std::stoul(aAddress.substr(aAddress.find('-') + 1));
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
  made.mCarrier = { instance_id(aName),
                    static_cast<std::uint64_t>(
                      mNow.time_since_epoch().count()) };
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
  Transmit(aControl, std::move(out.mMessages));
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
                    std::vector<consensus::message> aMessages)
{
  for (consensus::message& message : aMessages) {
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
  for (const control::write_batch& batch :
       std::exchange(aControl.mWrites, {})) {
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

void
fake_cell::Ask(protocol::request_body aBody,
               time_point aUntil,
               std::function<void(const result<protocol::answer_body>&)> aDone)
{
  mQuestions.emplace(
    ++mLastQuestion,
    question{
      std::move(aBody), aUntil, mNow, mGuess, false, 0, std::move(aDone) });
}

void
fake_cell::StepQuestions()
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, asked] : mQuestions) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    const auto found = mQuestions.find(number);
    if (found == mQuestions.end()) {
      continue;
    }
    question& asked = found->second;
    if (mNow >= asked.mUntil) {
      if (asked.mSent && asked.mPeer == mGuess && !IsOpen(asked)) {
        mGuess = (mGuess + 1) % mControls.size();
      }
      EndQuestion(number, Fail(error_code::Timeout, "ask", "too late"));
      continue;
    }
    if (asked.mSent && mNow >= asked.mRetryAt) {
      if (IsOpen(asked)) {
        asked.mRetryAt = mNow + kSilence;
      } else {
        asked.mSent = false;
        mGuess =
          mGuess == asked.mPeer ? (mGuess + 1) % mControls.size() : mGuess;
      }
    }
    if (!asked.mSent && mNow >= asked.mRetryAt) {
      SendQuestion(number, asked);
    }
  }
}

// A peer that answers other calls keeps this one open; a silent or restarted
// one is given up, as the RPC does.
bool
fake_cell::IsOpen(const question& aQuestion) const
{
  const fake_control& peer = mControls[aQuestion.mPeer];
  return Reaches(aQuestion.mPeer) && !peer.mPaused &&
         aQuestion.mHeardBy == peer.mLives;
}

void
fake_cell::SendQuestion(std::uint64_t aNumber, question& aQuestion)
{
  aQuestion.mSent = true;
  aQuestion.mPeer = mGuess;
  aQuestion.mRetryAt = mNow + kSilence;
  aQuestion.mHeardBy = 0;
  if (auto* claim = std::get_if<protocol::claim_request>(&aQuestion.mBody)) {
    const auto left =
      std::chrono::duration_cast<milliseconds>(aQuestion.mUntil - mNow);
    claim->mDeadlineMs =
      std::min(claim->mDeadlineMs, static_cast<std::uint32_t>(left.count()));
  }
  // A copy may still be on its way when the question is asked elsewhere.
  Later(kNetwork, [this, aNumber, peer = mGuess, body = aQuestion.mBody]() {
    if (Reaches(peer) && !mControls[peer].mPaused) {
      mControls[peer].mCore->Ask(
        control::call_id(aNumber), body, mNow, mWallMs);
    }
  });
}

void
fake_cell::OnReply(std::uint64_t aNumber,
                   std::size_t aPeer,
                   const result<protocol::answer_body>& aAnswer)
{
  const auto found = mQuestions.find(aNumber);
  if (found == mQuestions.end() || found->second.mPeer != aPeer) {
    return;
  }
  if (aAnswer || aAnswer.error().mCode != error_code::NotLeader) {
    EndQuestion(aNumber, aAnswer);
    return;
  }
  const std::string& leader = aAnswer.error().mMessage;
  if (mGuess == aPeer) {
    mGuess = leader.empty() ? (mGuess + 1) % mControls.size() : Place(leader);
  }
  found->second.mSent = false;
  found->second.mRetryAt = mNow + kRetry;
}

void
fake_cell::EndQuestion(std::uint64_t aNumber,
                       const result<protocol::answer_body>& aAnswer)
{
  auto ended = mQuestions.extract(aNumber);
  ended.mapped().mDone(aAnswer);
}

void
fake_cell::OnEntry(const std::string& aEntry, std::function<void()> aDo)
{
  fake_entry& entry = mEntries.at(aEntry);
  if (!entry.mUp) {
    return;
  }
  if (entry.mPaused) {
    entry.mHeldBack.push_back(std::move(aDo));
    return;
  }
  aDo();
}

void
fake_cell::StepEntries()
{
  for (auto& [name, entry] : mEntries) {
    if (!entry.mUp || entry.mPaused || entry.mBeating || mNow < entry.mBeatAt) {
      continue;
    }
    entry.mBeating = true;
    protocol::heartbeat beat;
    beat.mCarrier = entry.mCarrier;
    beat.mWeightsVersion = entry.mVersion;
    Ask(beat, mNow + seconds(1), [this, entryName = name](const auto& aAnswer) {
      fake_entry& heard = mEntries.at(entryName);
      heard.mBeating = false;
      heard.mBeatAt = mNow + milliseconds(10);
      if (aAnswer) {
        const auto* told = std::get_if<protocol::heartbeat_answer>(&*aAnswer);
        heard.mVersion = std::max(heard.mVersion, told->mVersion);
      }
    });
  }
}

void
fake_cell::StepTargets()
{
  for (auto& [name, target] : mTargets) {
    if (mNow < target.mRenewAt) {
      continue;
    }
    target.mRenewAt = mNow + milliseconds(protocol::kTargetRenewMs);
    protocol::request_body body = protocol::target_announcement{
      target_id(name),     service_id("fees"), name,
      data_centre_id("a"), target.mSlots,      60
    };
    if (target.mLeaving) {
      body = protocol::target_leaving{ target_id(name) };
    }
    Ask(std::move(body), mNow + seconds(1), [](const auto&) {});
  }
}

std::size_t
fake_cell::Send(const std::string& aEntry, const send_request& aRequest)
{
  protocol::claim_request claim;
  claim.mRef = { organisation_id(aRequest.mOrganisation),
                 request_key(aRequest.mKey) };
  claim.mFingerprint = std::hash<std::string>{}(aRequest.mBody);
  claim.mCarrier = mEntries.at(aEntry).mCarrier;
  claim.mToken = ++mLastToken * 1000;
  claim.mService = service_id("fees");
  claim.mCallerKey = "caller";
  claim.mRepeatable = aRequest.mRepeatable;
  claim.mClass = aRequest.mClass;
  const std::size_t number = mCalls.size();
  fake_call& call = mCalls.emplace_back();
  call.mEntry = aEntry;
  call.mRequest = aRequest;
  call.mFlow = std::make_unique<entry::request_flow>(
    claim, mNow + aRequest.mDeadline, claim.mToken);
  Do(number, call.mFlow->Start(mNow));
  return number;
}

void
fake_cell::Do(std::size_t aCall, entry::flow_step aStep)
{
  fake_call& call = mCalls[aCall];
  std::visit(
    overloaded{
      [&](const entry::ask_control& aAsk) {
        const bool claims =
          std::holds_alternative<protocol::claim_request>(aAsk.mBody);
        call.mStep = claims ? "claiming" : "reporting";
        Ask(aAsk.mBody, aAsk.mUntil, [this, aCall](const auto& aAnswer) {
          OnEntry(mCalls[aCall].mEntry, [this, aCall, aAnswer]() {
            Do(aCall, mCalls[aCall].mFlow->OnControl(aAnswer, mNow));
          });
        });
      },
      [&](const entry::forward& aForward) {
        call.mStep = "forwarding";
        Forward(aCall, aForward);
      },
      [&](const entry::answer_caller& aAnswer) {
        call.mStep = "answered";
        call.mAnswer = aAnswer.mResponse;
        if (Outcome(aCall) == "not-run") {
          mToldNotRun.insert(call.mRequest.mKey);
        }
        if (aAnswer.mReport) {
          Ask(aAnswer.mReport->mBody, aAnswer.mReport->mUntil, [](const auto&) {
          });
        }
      },
    },
    aStep);
}

void
fake_cell::Forward(std::size_t aCall, const entry::forward& aForward)
{
  fake_target& target = mTargets.at(aForward.mAddress);
  if (target.mMood == target_mood::Refuses) {
    Later(kNetwork, [this, aCall]() {
      OnEntry(mCalls[aCall].mEntry, [this, aCall]() {
        Do(aCall,
           mCalls[aCall].mFlow->OnTarget(
             http::never_started{
               { error_code::Unavailable, "connect", {}, "" } },
             true,
             mNow));
      });
    });
    return;
  }
  const bool stalls = target.mMood == target_mood::Stalls;
  const duration service = stalls ? duration(aForward.mUntil - mNow) : kService;
  mRuns.push_back(
    { mCalls[aCall].mRequest.mKey, aForward.mAttempt, mNow, mNow + service });
  ++target.mHeld;
  target.mMostHeld = std::max(target.mMostHeld, target.mHeld);
  Later(service,
        [this, aCall, name = aForward.mAddress]() { EndRun(aCall, name); });
}

void
fake_cell::EndRun(std::size_t aCall, const std::string& aTarget)
{
  fake_target& target = mTargets.at(aTarget);
  --target.mHeld;
  http::send_outcome outcome;
  if (target.mMood == target_mood::Serves) {
    http::response answer;
    answer.mBody = mCalls[aCall].mRequest.mBody;
    outcome = http::answered{ answer };
  } else {
    outcome = http::unknown_outcome{
      { error_code::Unavailable, "answer", aTarget, "cut" }
    };
  }
  OnEntry(mCalls[aCall].mEntry, [this, aCall, outcome]() {
    Do(aCall, mCalls[aCall].mFlow->OnTarget(outcome, true, mNow));
  });
}

const std::optional<http::response>&
fake_cell::Answer(std::size_t aCall) const
{
  return mCalls[aCall].mAnswer;
}

std::string
fake_cell::Outcome(std::size_t aCall) const
{
  const auto& answer = mCalls[aCall].mAnswer;
  if (!answer) {
    return "none";
  }
  return std::string(answer->Find(entry::kOutcomeHeader).value_or("error"));
}

std::string
fake_cell::StepOf(std::size_t aCall) const
{
  return mCalls[aCall].mStep;
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
