#include "oriolewalk/entry/answers.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "oriolewalk/base/codec.h"

namespace oriolewalk::entry {

namespace {

constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
// Retry-After for a caller whose key is still running.
constexpr milliseconds kRunningRetryAfter{ 1000 };

// Headers that apply to one connection only (RFC 9110, section 7.6.1).
constexpr std::array<std::string_view, 8> kHopByHop = {
  "connection", "keep-alive",        "proxy-connection", "te",
  "trailer",    "transfer-encoding", "upgrade",          "content-length",
};

struct stored_answer
{
  unsigned mStatus = 0;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  bytes mBody;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mStatus, mHeaders, mBody);
  }
};

// Returns whole seconds, as HTTP requires, and at least 1: with 0 the caller
// would retry within the same burst.
std::string
RetryAfter(duration aAfter)
{
  const auto whole = std::chrono::ceil<seconds>(aAfter).count();
  return std::to_string(std::max<std::int64_t>(whole, 1));
}

http::response
OutcomeAnswer(unsigned aStatus,
              std::string_view aOutcome,
              std::string_view aReason)
{
  http::response answer;
  answer.mStatus = aStatus;
  answer.mHeaders = { { std::string(kOutcomeHeader), std::string(aOutcome) },
                      { "Content-Type", "application/json" } };
  answer.mBody = boost::json::serialize(boost::json::object{
                   { "outcome", aOutcome }, { "reason", aReason } }) +
                 "\n";
  return answer;
}

} // namespace

http::response
BusyAnswer(std::string_view aReason, duration aRetryAfter)
{
  http::response answer = OutcomeAnswer(kUnavailable, "busy", aReason);
  answer.mHeaders.push_back({ "Retry-After", RetryAfter(aRetryAfter) });
  return answer;
}

http::response
NotRunAnswer(std::string_view aReason)
{
  return OutcomeAnswer(kConflict, "not-run", aReason);
}

http::response
UnknownAnswer(const error& aError)
{
  return OutcomeAnswer(kBadGateway, "unknown", aError.Describe());
}

http::response
MismatchAnswer()
{
  return ErrorAnswer(kUnprocessable,
                     { error_code::Conflict,
                       "claim",
                       {},
                       "the idempotency key belongs to other work" });
}

http::response
KnownAnswer(const protocol::claim_known& aKnown)
{
  switch (aKnown.mState) {
    case ledger::request_state::Running:
    case ledger::request_state::Ready: {
      http::response answer =
        OutcomeAnswer(kConflict, "running", "an earlier copy is in progress");
      answer.mHeaders.push_back(
        { "Retry-After", RetryAfter(kRunningRetryAfter) });
      return answer;
    }
    case ledger::request_state::NotRun:
      return NotRunAnswer("recorded as not run");
    case ledger::request_state::Unknown:
      return OutcomeAnswer(
        kBadGateway, "unknown", "it may have run; its answer was lost");
    case ledger::request_state::Completed:
      break;
  }
  http::response answer;
  auto stored = DecodeAnswer(aKnown.mAnswer);
  if (aKnown.mAnswerKept && stored) {
    answer = CompletedAnswer(std::move(*stored));
  } else {
    answer.mStatus = kGone;
    answer.mHeaders = { { std::string(kOutcomeHeader), "completed" },
                        { "Oriole-Status", std::to_string(aKnown.mStatus) } };
  }
  answer.mHeaders.push_back({ "Oriole-Replayed", "yes" });
  return answer;
}

http::response
CompletedAnswer(http::response aResponse)
{
  std::erase_if(aResponse.mHeaders, [](const http::header& aHeader) {
    return boost::iequals(aHeader.mName, kOutcomeHeader) ||
           std::ranges::any_of(kHopByHop, [&](std::string_view aName) {
             return boost::iequals(aHeader.mName, aName);
           });
  });
  aResponse.mHeaders.push_back({ std::string(kOutcomeHeader), "completed" });
  return aResponse;
}

http::response
ErrorAnswer(unsigned aStatus, const error& aError)
{
  http::response answer;
  answer.mStatus = aStatus;
  answer.mHeaders = { { "Content-Type", "application/json" } };
  answer.mBody =
    boost::json::serialize(boost::json::object{ { "error", aError.mMessage },
                                                { "step", aError.mStep },
                                                { "peer", aError.mPeer } }) +
    "\n";
  return answer;
}

bytes
EncodeAnswer(const http::response& aResponse)
{
  stored_answer stored{ aResponse.mStatus, {}, aResponse.mBody };
  for (const http::header& header : aResponse.mHeaders) {
    stored.mHeaders.emplace_back(header.mName, header.mValue);
  }
  return Encode(stored);
}

result<http::response>
DecodeAnswer(std::string_view aBytes)
{
  auto stored = Decode<stored_answer>(aBytes, "reading a kept answer");
  if (!stored) {
    return Fail(stored.error());
  }
  http::response answer;
  answer.mStatus = stored->mStatus;
  answer.mBody = std::move(stored->mBody);
  for (auto& [name, value] : stored->mHeaders) {
    answer.mHeaders.push_back({ std::move(name), std::move(value) });
  }
  return answer;
}

} // namespace oriolewalk::entry
