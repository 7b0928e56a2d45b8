#pragma once

// One caller's request, from its arrival to its answer.
//
//   claim -> granted -> forward to the target -> report -> answer
//         -> known / busy / not run / mismatch -> answer
//
// A state machine without I/O: its user passes in each result and executes the
// step that is returned. It guarantees:
//  - Nothing is sent to a target without a grant or after the deadline.
//  - A further attempt is made only if the last one is known not to have
//    started.
//  - The end of every granted attempt is reported, and a claim whose grant was
//    lost is released, so that no slot stays occupied.
//  - The caller gets "completed" only after that is recorded, so that a retry
//    gets the same answer. If control can't be reached, a complete answer is
//    delayed by at most kReportTimeout.
//
// One thread at a time; owned by the live call.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::entry {

// Covers a leader change (under 1.5 s), after which the report goes through.
constexpr milliseconds kReportTimeout{ 2500 };
// A report that continues after the caller's answer is retried for this long.
// The leader itself records the attempt's end after the grace period of an
// owner.
constexpr seconds kBackgroundReportTimeout{ 15 };
constexpr std::uint32_t kMaxAttempts = 3;

// Send the request to control; time out at mUntil.
struct control_request
{
  protocol::request_body mBody;
  time_point mUntil;
};

// Send the request to the target; time out at mUntil.
struct forward
{
  std::string mAddress;
  std::uint32_t mAttempt = 0;
  time_point mUntil;
};

// Answer the caller. mReport is a report that continues in the background.
struct answer_caller
{
  http::response mResponse;
  std::optional<control_request> mReport;
};

using flow_step = std::variant<control_request, forward, answer_caller>;

class request_flow
{
public:
  // aClaim.mToken is the token of the first attempt. The tokens of later
  // attempts are derived from aSeed.
  request_flow(protocol::claim_request aClaim,
               time_point aDeadline,
               std::uint64_t aSeed);

  flow_step Start(time_point aNow);
  // Handles the answer to the last control_request.
  flow_step OnControl(const result<protocol::answer_body>& aAnswer,
                      time_point aNow);
  // aMayRetry: the retry budget allows another attempt if this one did not
  // start.
  flow_step OnTarget(http::send_outcome aOutcome,
                     bool aMayRetry,
                     time_point aNow);

  [[nodiscard]] const protocol::claim_request& Claim() const { return mClaim; }
  // Whether the last claim was granted and its attempt is in progress.
  [[nodiscard]] bool IsForwarding() const
  {
    return mStage == stage::Forwarding;
  }

private:
  enum class stage : std::uint8_t
  {
    Claiming,
    Forwarding,
    Reporting,
  };

  flow_step SendClaim(time_point aNow);
  flow_step OnClaimAnswer(const protocol::claim_answer& aAnswer,
                          time_point aNow);
  flow_step OnGranted(const protocol::claim_granted& aGranted, time_point aNow);
  flow_step ReleaseClaim(http::response aResponse, time_point aNow);
  flow_step Report(protocol::finish_request aReport,
                   http::response aCallerAnswer,
                   bool aShouldRetry,
                   time_point aNow);
  [[nodiscard]] protocol::finish_request MakeReport(
    ledger::attempt_result aResult,
    traffic::finish_result aQuality,
    time_point aNow) const;
  flow_step OnAnswered(http::response aResponse, time_point aNow);

  protocol::claim_request mClaim;
  time_point mDeadline;
  std::uint64_t mSeed;
  stage mStage = stage::Claiming;
  std::uint32_t mAttempts = 0;
  time_point mSentAt{};
  protocol::finish_request mReport;
  http::response mCallerAnswer; // sent once reported
  bool mShouldRetry = false;    // claim again once reported
};

} // namespace oriolewalk::entry
