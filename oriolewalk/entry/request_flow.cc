#include "oriolewalk/entry/request_flow.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/entry/answers.h"

namespace oriolewalk::entry {

namespace {

constexpr unsigned kServerError = 500;
constexpr milliseconds kRetryAfter{ 500 };

std::uint32_t
TimeLeftMs(time_point aDeadline, time_point aNow)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aDeadline - aNow).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
}

} // namespace

request_flow::request_flow(protocol::claim_request aClaim,
                           time_point aDeadline,
                           std::uint64_t aSeed)
  : mClaim(std::move(aClaim))
  , mDeadline(aDeadline)
  , mSeed(aSeed)
{
}

flow_step
request_flow::Start(time_point aNow)
{
  return SendClaim(aNow);
}

// The leader answers by the deadline. The grace period lets its refusal arrive,
// which is more specific than a timeout of the entry.
flow_step
request_flow::SendClaim(time_point aNow)
{
  constexpr milliseconds kGrace{ 100 };
  mStage = stage::Claiming;
  mClaim.mDeadlineMs = TimeLeftMs(mDeadline, aNow);
  return control_request{ mClaim, mDeadline + kGrace };
}

flow_step
request_flow::OnControl(const result<protocol::answer_body>& aAnswer,
                        time_point aNow)
{
  if (mStage == stage::Reporting) {
    const bool recorded =
      aAnswer && std::holds_alternative<protocol::done>(*aAnswer);
    if (recorded && mShouldRetry && aNow < mDeadline) {
      mClaim.mToken = random_source(mSeed + mAttempts).Bits();
      return SendClaim(aNow);
    }
    answer_caller last{ std::move(mCallerAnswer), std::nullopt };
    if (!recorded) {
      last.mReport =
        control_request{ mReport, aNow + kBackgroundReportTimeout };
    }
    return last;
  }
  if (!aAnswer) {
    return ReleaseClaim(
      BusyAnswer("control did not answer: " + aAnswer.error().Describe(),
                 kRetryAfter),
      aNow);
  }
  const auto* claimed = std::get_if<protocol::claim_answer>(&*aAnswer);
  if (claimed == nullptr) {
    return ReleaseClaim(
      BusyAnswer("control gave a strange answer", kRetryAfter), aNow);
  }
  return OnClaimAnswer(*claimed, aNow);
}

flow_step
request_flow::OnClaimAnswer(const protocol::claim_answer& aAnswer,
                            time_point aNow)
{
  return std::visit(
    overloaded{
      [&](const protocol::claim_granted& aGranted) {
        return OnGranted(aGranted, aNow);
      },
      [](const protocol::claim_known& aKnown) -> flow_step {
        return answer_caller{ KnownAnswer(aKnown), std::nullopt };
      },
      [](const protocol::claim_busy& aBusy) -> flow_step {
        return answer_caller{ BusyAnswer(aBusy.mReason,
                                         milliseconds(aBusy.mRetryAfterMs)),
                              std::nullopt };
      },
      [](const protocol::claim_not_run& aNotRun) -> flow_step {
        return answer_caller{ NotRunAnswer(aNotRun.mReason), std::nullopt };
      },
      [](const protocol::claim_mismatch&) -> flow_step {
        return answer_caller{ MismatchAnswer(), std::nullopt };
      },
    },
    aAnswer);
}

// A pause between the grant and the sending may outlast the deadline. By then
// the leader may have declared this entry lost and freed the slot.
flow_step
request_flow::OnGranted(const protocol::claim_granted& aGranted,
                        time_point aNow)
{
  if (aNow >= mDeadline) {
    return ReleaseClaim(
      BusyAnswer("the deadline passed before the start", kRetryAfter), aNow);
  }
  mStage = stage::Forwarding;
  ++mAttempts;
  mSentAt = aNow;
  return forward{ aGranted.mAddress, aGranted.mAttempt, mDeadline };
}

// It is not known whether the claim was granted, but nothing was sent to a
// target. The report releases the key.
flow_step
request_flow::ReleaseClaim(http::response aResponse, time_point aNow)
{
  return answer_caller{ std::move(aResponse),
                        control_request{
                          MakeReport(ledger::attempt_result::NotStarted,
                                     traffic::finish_result::NeverStarted,
                                     aNow),
                          aNow + kBackgroundReportTimeout } };
}

protocol::finish_request
request_flow::MakeReport(ledger::attempt_result aResult,
                         traffic::finish_result aQuality,
                         time_point aNow) const
{
  protocol::finish_request report;
  report.mFinish.mRef = mClaim.mRef;
  report.mFinish.mToken = mClaim.mToken;
  report.mFinish.mResult = aResult;
  report.mQuality = aQuality;
  if (mSentAt != time_point{}) {
    report.mLatencyUs = static_cast<std::uint32_t>(
      std::chrono::duration_cast<microseconds>(aNow - mSentAt).count());
  }
  return report;
}

flow_step
request_flow::Report(protocol::finish_request aReport,
                     http::response aCallerAnswer,
                     bool aShouldRetry,
                     time_point aNow)
{
  mStage = stage::Reporting;
  mReport = std::move(aReport);
  mCallerAnswer = std::move(aCallerAnswer);
  mShouldRetry = aShouldRetry;
  return control_request{ mReport, aNow + kReportTimeout };
}

flow_step
request_flow::OnTarget(http::send_outcome aOutcome,
                       bool aMayRetry,
                       time_point aNow)
{
  return std::visit(
    overloaded{
      [&](http::answered& aAnswered) {
        return OnAnswered(std::move(aAnswered.mResponse), aNow);
      },
      [&](const http::never_started& aNone) {
        return Report(MakeReport(ledger::attempt_result::NotStarted,
                                 traffic::finish_result::NeverStarted,
                                 aNow),
                      BusyAnswer(aNone.mError.Describe(), kRetryAfter),
                      aMayRetry && mAttempts < kMaxAttempts,
                      aNow);
      },
      [&](const http::unknown_outcome& aLost) {
        const bool late = aLost.mError.mCode == error_code::Timeout;
        return Report(MakeReport(ledger::attempt_result::Unknown,
                                 late ? traffic::finish_result::TimedOut
                                      : traffic::finish_result::Unknown,
                                 aNow),
                      UnknownAnswer(aLost.mError),
                      false,
                      aNow);
      },
    },
    aOutcome);
}

flow_step
request_flow::OnAnswered(http::response aResponse, time_point aNow)
{
  const bool failed = aResponse.mStatus >= kServerError;
  protocol::finish_request report =
    MakeReport(ledger::attempt_result::Answered,
               failed ? traffic::finish_result::FailedFast
                      : traffic::finish_result::Answered,
               aNow);
  http::response answer = CompletedAnswer(std::move(aResponse));
  report.mFinish.mStatus = static_cast<std::uint16_t>(answer.mStatus);
  bytes stored = EncodeAnswer(answer);
  report.mFinish.mAnswerKept = stored.size() <= protocol::kMaxStoredAnswerBytes;
  if (report.mFinish.mAnswerKept) {
    report.mFinish.mAnswer = std::move(stored);
  }
  return Report(std::move(report), std::move(answer), false, aNow);
}

} // namespace oriolewalk::entry
