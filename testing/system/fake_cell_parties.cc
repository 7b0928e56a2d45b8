// The parties around the fake cell's control processes: the entries' link,
// request flows, targets and callers.

#include "testing/system/fake_cell.h"

#include <algorithm>
#include <utility>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/entry/answers.h"

namespace oriolewalk::testing {

namespace {

constexpr milliseconds kService{ 20 };
// A question that meets a dead, cut or paused process is asked elsewhere after
// the RPC's silence bound.
constexpr milliseconds kSilence{ 1000 };
constexpr milliseconds kRetry{ 30 };

// The number in "control-N".
std::size_t
Place(const std::string& aAddress)
{
  return std::stoul(aAddress.substr(aAddress.find('-') + 1));
}

} // namespace

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
  numbers.reserve(mQuestions.size());
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
    beat.mOwner = entry.mOwner;
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
  claim.mOwner = mEntries.at(aEntry).mOwner;
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
      [&](const entry::control_request& aAsk) {
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

} // namespace oriolewalk::testing
