#include <catch2/catch.hpp>

#include <string>

#include "oriolewalk/entry/caller_api.h"
#include "oriolewalk/entry/live_call.h"
#include "oriolewalk/entry/platform_api.h"
#include "oriolewalk/wire/leader_choice.h"

namespace oriolewalk::entry {
namespace {

const time_point kStart{ seconds(100) };

protocol::claim_request
Claim()
{
  protocol::claim_request claim;
  claim.mRef = { organisation_id("taksa"), request_key("k") };
  return claim;
}

TEST_CASE("a call that claims twice counts once against the limiter")
{
  // Two calls are admitted, and one of them claims again after an attempt that
  // did not start. If the end of its second claim counted as the end of the
  // other call, the entry would admit more calls than control can handle.
  shared_limits limits(1);
  REQUIRE_FALSE(limits.Admit(Claim(), kStart).mRefused);
  REQUIRE_FALSE(limits.Admit(Claim(), kStart).mRefused);
  admission first(limits);
  first.OnEnded(Claim(), {}, kStart);
  first.OnEnded(Claim(), {}, kStart);
  CHECK(limits.InProgress() == 1);
  admission second(limits);
  second.OnEnded(Claim(), {}, kStart);
  CHECK(limits.InProgress() == 0);
}

TEST_CASE(
  "a leader's failure advances the choice once, however often it is reported")
{
  wire::leader_choice choice({ "a:1", "b:1", "c:1" });
  choice.Failed("a:1");
  choice.Failed("a:1");
  CHECK(choice.Current() == "b:1");
  choice.Redirected("b:1", "c:1");
  choice.Redirected("b:1", "a:1");
  CHECK(choice.Current() == "c:1");
  choice.Redirected("c:1", "");
  CHECK(choice.Current() == "a:1");
  choice.Redirected("a:1", "new:1");
  CHECK(choice.Current() == "new:1");
}

http::request
Call(std::string aTarget, std::vector<http::header> aHeaders = {})
{
  http::request request;
  request.mMethod = "POST";
  request.mTarget = std::move(aTarget);
  request.mHeaders = std::move(aHeaders);
  request.mPeer = "127.0.0.1:5000";
  return request;
}

TEST_CASE("a caller's headers are read with their defaults")
{
  const auto call = ParseCall(Call("/services/fees/pay?x=1",
                                   { { "idempotency-key", "k" },
                                     { "Oriole-Class", "urgent" },
                                     { "Oriole-Repeatable", "yes" } }),
                              "made");
  REQUIRE(call);
  CHECK(call->mTargetPath == "/pay?x=1");
  CHECK(call->mClaim.mService == service_id("fees"));
  CHECK(call->mClaim.mRef.ToString() == "default/k");
  CHECK(call->mClaim.mRepeatable);
  CHECK(call->mClaim.mCallerKey == "127.0.0.1");
  CHECK(call->mDeadline == seconds(10));
  const auto bare = ParseCall(Call("/services/fees"), "made");
  REQUIRE(bare);
  CHECK(bare->mTargetPath == "/");
  CHECK(bare->mClaim.mRef.ToString() == "default/made");
}

TEST_CASE("an invalid header is rejected and named in the error")
{
  const auto problem = [](const http::header& aHeader) {
    const auto call = ParseCall(Call("/services/fees/", { aHeader }), "made");
    return call ? std::string() : call.error().mMessage;
  };
  CHECK(problem({ "Idempotency-Key", "a b" }).starts_with("Idempotency-Key"));
  CHECK(problem({ "Idempotency-Key", std::string(129, 'x') }).size() > 0);
  CHECK(problem({ "Oriole-Class", "vip" }).starts_with("Oriole-Class"));
  CHECK(problem({ "Oriole-Repeatable", "1" }).size() > 0);
  CHECK(problem({ "Oriole-Deadline-Ms", "0" }).size() > 0);
  CHECK(problem({ "Oriole-Deadline-Ms", "600001" }).size() > 0);
  CHECK(problem({ "Oriole-Organisation", "a/b" }).size() > 0);
  CHECK_FALSE(ParseCall(Call("/services/"), "made"));
}

TEST_CASE("the same key with another body has another fingerprint")
{
  http::request first = Call("/services/fees/pay");
  http::request second = first;
  second.mBody = "2 euro";
  const auto one = ParseCall(first, "k");
  const auto two = ParseCall(second, "k");
  REQUIRE((one && two));
  CHECK(one->mClaim.mFingerprint != two->mClaim.mFingerprint);
  CHECK(one->mClaim.mFingerprint == ParseCall(first, "k")->mClaim.mFingerprint);
}

TEST_CASE("requests of workers and targets are validated field by field")
{
  CHECK(ParseTarget("t1",
                    R"({"service":"fees","address":"127.0.0.1:9",)"
                    R"("data_centre":"a","slots":8,"connections":60})"));
  CHECK_FALSE(ParseTarget("t1", R"({"service":"fees"})"));
  CHECK_FALSE(ParseTarget("t1",
                          R"({"service":"fees","address":"host:9",)"
                          R"("data_centre":"a","slots":8,"connections":60})"));
  const auto poll = ParsePoll(
    "w1",
    R"({"boot":"7","wait_ms":500,"running":[{"task":"job-1/0","attempt":1}],)"
    R"("ended":[{"task":"job-2/1","attempt":2,"result":"failed"}]})");
  REQUIRE(poll);
  CHECK(poll->mPoll.mRunning.size() == 1);
  CHECK(poll->mPoll.mEnded.front().mResult == cell::attempt_result::Failed);
  CHECK_FALSE(ParsePoll("w1", R"({"boot":"7","running":[{"task":"x"}]})"));
  CHECK_FALSE(ParsePoll("w1", R"({"boot":"7","wait_ms":1001})"));
  CHECK_FALSE(ParsePoll("w1", "{"));
}

} // namespace
} // namespace oriolewalk::entry
