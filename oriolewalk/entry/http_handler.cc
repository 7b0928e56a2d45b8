#include "oriolewalk/entry/http_handler.h"

#include <chrono>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/entry/answers.h"
#include "oriolewalk/entry/platform_api.h"

namespace oriolewalk::entry {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
// A renewal that takes longer than the lease it renews is useless.
constexpr seconds kRenewTimeout{ 2 };
// An operator's change waits up to 4 s until it is in force everywhere.
constexpr seconds kOperatorTimeout{ 8 };

// Removes the quotes of an ETag.
std::string
WithoutQuotes(std::string_view aText)
{
  const bool quoted =
    aText.size() >= 2 && aText.front() == '"' && aText.back() == '"';
  return std::string(quoted ? aText.substr(1, aText.size() - 2) : aText);
}

http::response
ControlErrorResponse(const error& aError)
{
  // After a timeout the change may or may not have been executed.
  const unsigned status =
    aError.mCode == error_code::Timeout ? kGatewayTimeout : kUnavailable;
  http::response answer = ErrorAnswer(status, aError);
  answer.mHeaders.push_back({ "Retry-After", "1" });
  return answer;
}

http::response
OperatorResponse(const protocol::operator_answer& aAnswer)
{
  http::response response;
  response.mStatus = aAnswer.mStatus;
  response.mHeaders = { { "Content-Type", aAnswer.mContentType } };
  if (!aAnswer.mETag.empty()) {
    response.mHeaders.push_back({ "ETag", '"' + aAnswer.mETag + '"' });
  }
  if (aAnswer.mStatus == kUnavailable) {
    response.mHeaders.push_back({ "Retry-After", "1" });
  }
  response.mBody = aAnswer.mBody;
  return response;
}

http::response
ToResponse(const protocol::answer_body& aBody)
{
  return std::visit(
    overloaded{
      [](const protocol::target_answer& aAnswer) {
        return TargetResponse(aAnswer);
      },
      [](const protocol::worker_answer& aAnswer) {
        return WorkerResponse(aAnswer);
      },
      [](const protocol::operator_answer& aAnswer) {
        return OperatorResponse(aAnswer);
      },
      [](const auto&) {
        return ErrorAnswer(
          kUnavailable,
          { error_code::Internal, "answer", {}, "a strange answer" });
      },
    },
    aBody);
}

} // namespace

http_handler::http_handler(entry_identity aIdentity,
                           call_services& aServices,
                           serving_state& aServing,
                           observe::metric_registry& aMetrics,
                           std::uint64_t aSeed)
  : mIdentity(std::move(aIdentity))
  , mServices(aServices)
  , mServing(aServing)
  , mMetrics(aMetrics)
  , mSeed(aSeed)
  , mCalls(aMetrics.Counter("oriole_entry_calls_total",
                            "callers' requests that arrived"))
  , mRefusedByEntry(
      aMetrics.Counter("oriole_entry_refused_total",
                       "callers' requests that the entry refused by itself"))
{
}

void
http_handler::Handle(http::request aRequest, const http::responder& aResponder)
{
  if (IsServicePath(aRequest.mTarget)) {
    HandleCaller(std::move(aRequest), aResponder);
    return;
  }
  const std::string path(aRequest.Path());
  if (path == "/healthz") {
    HandleHealth(aResponder);
    return;
  }
  if (path == "/metrics") {
    http::response page;
    page.mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } };
    page.mBody = mMetrics.Render();
    aResponder.Send(std::move(page));
    return;
  }
  const std::vector<std::string> parts = http::SplitParts(path, '/');
  const bool api = parts.size() >= 2 && parts[0] == "v1";
  const std::string& method = aRequest.mMethod;
  if (!api) {
    aResponder.Send(ErrorAnswer(
      kNotFound, { error_code::NotFound, "route", {}, "no such path" }));
  } else if (parts[1] == "targets" && parts.size() == 3 && method != "GET") {
    HandleTarget(aRequest, parts[2], aResponder);
  } else if (parts[1] == "workers" && parts.size() == 3 && method == "PUT") {
    HandleWorker(aRequest, parts[2], false, aResponder);
  } else if (parts[1] == "workers" && parts.size() == 4 && parts[3] == "poll") {
    HandleWorker(aRequest, parts[2], true, aResponder);
  } else {
    HandleOperator(aRequest, aResponder);
  }
}

void
http_handler::HandleCaller(http::request aRequest,
                           const http::responder& aResponder)
{
  mCalls.Add();
  const time_point now = runtime_clock::now();
  if (!mServing.HasLease(now)) {
    mRefusedByEntry.Add();
    aResponder.Send(BusyAnswer("no contact with the leader", seconds(1)));
    return;
  }
  random_source random(mSeed + mCallCount.fetch_add(1));
  const std::uint64_t token = random.Bits();
  const std::string generatedKey =
    mIdentity.mOwner.mInstance.Value() + "-" + std::to_string(token);
  auto call = ParseCall(aRequest, generatedKey);
  if (!call) {
    aResponder.Send(ErrorAnswer(kBadRequest, call.error()));
    return;
  }
  call->mClaim.mOwner = mIdentity.mOwner;
  call->mClaim.mOrigin = mIdentity.mDataCentre;
  call->mClaim.mToken = token;
  const traffic::entry_verdict verdict =
    mServices.mLimits.Admit(call->mClaim, now);
  if (verdict.mRefused) {
    mRefusedByEntry.Add();
    aResponder.Send(
      BusyAnswer(ToString(*verdict.mRefused), verdict.mRetryAfter));
    return;
  }
  std::make_shared<live_call>(mServices,
                              std::move(aRequest),
                              std::move(*call),
                              aResponder,
                              random.Bits(),
                              now)
    ->Start();
}

void
http_handler::HandleTarget(const http::request& aRequest,
                           const std::string& aTarget,
                           const http::responder& aResponder)
{
  if (aRequest.mMethod == "DELETE") {
    ForwardToLeader(protocol::target_leaving{ target_id(aTarget) },
                    kRenewTimeout,
                    aResponder);
    return;
  }
  auto announced = ParseTarget(aTarget, aRequest.mBody);
  if (!announced) {
    aResponder.Send(ErrorAnswer(kBadRequest, announced.error()));
    return;
  }
  ForwardToLeader(std::move(*announced), kRenewTimeout, aResponder);
}

void
http_handler::HandleWorker(const http::request& aRequest,
                           const std::string& aWorker,
                           bool aPoll,
                           const http::responder& aResponder)
{
  if (aPoll) {
    auto poll = ParsePoll(aWorker, aRequest.mBody);
    if (!poll) {
      aResponder.Send(ErrorAnswer(kBadRequest, poll.error()));
      return;
    }
    const duration timeout = kRenewTimeout + milliseconds(poll->mWaitMs);
    ForwardToLeader(std::move(*poll), timeout, aResponder);
    return;
  }
  auto announced = ParseWorker(aWorker, aRequest.mBody);
  if (!announced) {
    aResponder.Send(ErrorAnswer(kBadRequest, announced.error()));
    return;
  }
  ForwardToLeader(std::move(*announced), kRenewTimeout, aResponder);
}

void
http_handler::HandleOperator(const http::request& aRequest,
                             const http::responder& aResponder)
{
  protocol::operator_request request;
  request.mMethod = aRequest.mMethod;
  request.mPath = aRequest.mTarget;
  request.mBody = aRequest.mBody;
  request.mKey =
    std::string(aRequest.Find("Oriole-Change-Id")
                  .value_or(aRequest.Find("Idempotency-Key").value_or("")));
  request.mIfMatch = WithoutQuotes(aRequest.Find("If-Match").value_or(""));
  ForwardToLeader(std::move(request), kOperatorTimeout, aResponder);
}

void
http_handler::HandleHealth(const http::responder& aResponder) const
{
  const std::string_view unhealthy =
    mServing.UnhealthyReason(runtime_clock::now());
  http::response answer;
  answer.mStatus = unhealthy.empty() ? 200 : kUnavailable;
  answer.mBody = unhealthy.empty() ? "ok\n" : std::string(unhealthy) + "\n";
  aResponder.Send(std::move(answer));
}

void
http_handler::ForwardToLeader(protocol::request_body aBody,
                              duration aTimeout,
                              const http::responder& aResponder)
{
  mServices.mLink.Send(std::move(aBody),
                       runtime_clock::now() + aTimeout,
                       [aResponder](const control_answer& aAnswer) {
                         aResponder.Send(
                           aAnswer ? ToResponse(*aAnswer)
                                   : ControlErrorResponse(aAnswer.error()));
                       });
}

} // namespace oriolewalk::entry
