#include <catch2/catch.hpp>

#include <string>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/ledger/request_ledger.h"

namespace oriolewalk::ledger {
namespace {

constexpr std::int64_t kStart = 1'000'000;
constexpr std::uint64_t kWork = 77;

request_ref
Ref(const std::string& aKey)
{
  return { organisation_id("taksa"), request_key(aKey) };
}

claim
Claim(const std::string& aKey,
      std::uint64_t aToken = 1,
      const std::string& aInstance = "e1")
{
  claim made;
  made.mRef = Ref(aKey);
  made.mFingerprint = kWork;
  made.mPlacement.mOwner = { instance_id(aInstance), 1 };
  made.mToken = aToken;
  made.mPlacement.mTarget = target_id("t-" + aInstance);
  return made;
}

finish
Finish(const std::string& aKey,
       attempt_result aResult,
       std::uint64_t aToken = 1)
{
  finish made;
  made.mRef = Ref(aKey);
  made.mToken = aToken;
  made.mResult = aResult;
  made.mStatus = 200;
  made.mAnswerKept = aResult == attempt_result::Answered;
  made.mAnswer = made.mAnswerKept ? "paid" : "";
  return made;
}

TEST_CASE("one key runs once at a time and its answer is kept")
{
  request_ledger ledger;
  CHECK(ledger.Apply(Claim("k"), kStart).mVerdict == verdict::Granted);
  CHECK(ledger.Apply(Claim("k", 2, "e2"), kStart).mVerdict ==
        verdict::InProgress);
  CHECK(ledger.Apply(Finish("k", attempt_result::Answered), kStart).mVerdict ==
        verdict::Recorded);
  const auto again = ledger.Apply(Claim("k", 3, "e2"), kStart);
  REQUIRE(again.mVerdict == verdict::Known);
  CHECK(again.mRecord->mState == request_state::Completed);
  CHECK(*again.mRecord->mAnswer == "paid");
}

TEST_CASE("a claim that is sent again after a lost grant gets the same grant")
{
  // The owner claims a key, the leader commits the claim, and the answer is
  // lost with the leader. The owner sends the same claim to the next leader,
  // which may propose another target. Unless the recorded target is used, the
  // work could be sent to two targets.
  request_ledger ledger;
  const auto first = ledger.Apply(Claim("k"), kStart);
  claim resent = Claim("k");
  resent.mPlacement.mTarget = target_id("another");
  const auto second = ledger.Apply(resent, kStart);
  CHECK(second.mVerdict == verdict::Granted);
  CHECK(second.mAttempt == first.mAttempt);
  CHECK(second.mRecord.value_or(request_record{}).mPlacement->mTarget ==
        target_id("t-e1"));
}

TEST_CASE("not run is final: a late claim of the same key is never granted")
{
  // A caller is told "not-run" while an earlier copy of its request is still
  // in transit through another entry. When that copy arrives, it must not run.
  request_ledger ledger;
  const refusal tombstone{ Ref("k"), kWork };
  CHECK(ledger.Apply(tombstone, kStart).mVerdict == verdict::Recorded);
  const auto late = ledger.Apply(Claim("k", 9, "e2"), kStart + 1);
  REQUIRE(late.mVerdict == verdict::Known);
  CHECK(late.mRecord->mState == request_state::NotRun);
  CHECK(ledger.Apply(tombstone, kStart).mVerdict == verdict::Recorded);
}

TEST_CASE("a tombstone is rejected while an attempt runs or after it has run")
{
  request_ledger ledger;
  ledger.Apply(Claim("k"), kStart);
  const refusal tombstone{ Ref("k"), kWork };
  CHECK(ledger.Apply(tombstone, kStart).mVerdict == verdict::InProgress);
  ledger.Apply(Finish("k", attempt_result::Answered), kStart);
  CHECK(ledger.Apply(tombstone, kStart).mVerdict == verdict::Known);
}

TEST_CASE("an attempt that surely did not start may be claimed again")
{
  request_ledger ledger;
  ledger.Apply(Claim("k"), kStart);
  ledger.Apply(Finish("k", attempt_result::NotStarted), kStart);
  const auto second = ledger.Apply(Claim("k", 2), kStart);
  CHECK(second.mVerdict == verdict::Granted);
  CHECK(second.mAttempt == 2);
  // A late duplicate of the first attempt's report must not end the second
  // attempt.
  CHECK(
    ledger.Apply(Finish("k", attempt_result::NotStarted), kStart).mVerdict ==
    verdict::Ignored);
  CHECK(ledger.Find(Ref("k"))->mState == request_state::Running);
}

TEST_CASE("a lost carrier makes unknown, never a second run")
{
  // An entry fails between claim and answer. A resend through another entry
  // must be told "unknown". If the entry was only paused and has the answer,
  // the answer replaces "unknown".
  request_ledger ledger;
  ledger.Apply(Claim("k"), kStart);
  ledger.Apply(Claim("other", 1, "e2"), kStart);
  ledger.Apply(owner_lost{ { instance_id("e1"), 1 } }, kStart);
  const auto resend = ledger.Apply(Claim("k", 5, "e2"), kStart);
  REQUIRE(resend.mVerdict == verdict::Known);
  CHECK(resend.mRecord->mState == request_state::Unknown);
  CHECK(ledger.Find(Ref("other"))->mState == request_state::Running);
  ledger.Apply(Finish("k", attempt_result::Answered), kStart);
  CHECK(ledger.Find(Ref("k"))->mState == request_state::Completed);
}

TEST_CASE("one key with other work is refused and changes nothing")
{
  request_ledger ledger;
  ledger.Apply(Claim("k"), kStart);
  claim other = Claim("k", 2);
  other.mFingerprint = kWork + 1;
  CHECK(ledger.Apply(other, kStart).mVerdict == verdict::Mismatch);
  CHECK(ledger.Apply(refusal{ Ref("k"), kWork + 1 }, kStart).mVerdict ==
        verdict::Mismatch);
  CHECK(ledger.Find(Ref("k"))->mState == request_state::Running);
}

TEST_CASE("a full ledger grants nothing new instead of evicting a payment")
{
  // If it evicted the key, a payment that the caller sends again within the
  // window would have an unknown key and the citizen would pay twice.
  ledger_options options;
  options.mMaxRecords = 2;
  request_ledger ledger(options);
  for (const char* key : { "a", "b" }) {
    ledger.Apply(Claim(key), kStart);
    ledger.Apply(Finish(key, attempt_result::Answered), kStart);
  }
  CHECK(ledger.Apply(Claim("c"), kStart).mVerdict == verdict::Full);
  CHECK(ledger.Apply(Claim("a", 2), kStart).mVerdict == verdict::Known);
  const std::int64_t later = kStart + options.mMinimumWindowMs;
  CHECK(ledger.Apply(Claim("c"), later).mVerdict == verdict::Granted);
}

TEST_CASE("a full ledger evicts repeatable keys after their own minimum window")
{
  ledger_options options;
  options.mMaxRecords = 2;
  request_ledger ledger(options);
  claim repeatable = Claim("r");
  repeatable.mRepeatable = true;
  ledger.Apply(Claim("payment"), kStart);
  ledger.Apply(Finish("payment", attempt_result::Answered), kStart);
  ledger.Apply(repeatable, kStart);
  ledger.Apply(Finish("r", attempt_result::Answered), kStart);
  const std::int64_t later = kStart + options.mRepeatableMinimumMs;
  CHECK(ledger.Apply(Claim("new"), later).mVerdict == verdict::Granted);
  CHECK(ledger.Find(Ref("payment")));
  CHECK_FALSE(ledger.Find(Ref("r")));
}

TEST_CASE("ended records are evicted after their window, running ones never")
{
  const ledger_options options;
  request_ledger ledger(options);
  ledger.Apply(Claim("runs"), kStart);
  ledger.Apply(Claim("ended"), kStart);
  ledger.Apply(Finish("ended", attempt_result::Answered), kStart);
  ledger.Apply(Claim("x"), kStart + options.mWindowMs - 1);
  CHECK(ledger.Find(Ref("ended")));
  ledger.Apply(Claim("y"), kStart + options.mWindowMs);
  CHECK_FALSE(ledger.Find(Ref("ended")));
  CHECK(ledger.Find(Ref("runs")));
}

TEST_CASE("a snapshot contains records, running requests and stored answers")
{
  request_ledger ledger;
  ledger.Apply(Claim("runs"), kStart);
  ledger.Apply(Claim("ended"), kStart);
  ledger.Apply(Finish("ended", attempt_result::Answered), kStart);
  auto copy = Decode<request_ledger>(Encode(ledger), "test");
  REQUIRE(copy);
  CHECK(copy->AnswerBytes() == ledger.AnswerBytes());
  CHECK(copy->Running().size() == 1);
  copy->Apply(owner_lost{ { instance_id("e1"), 1 } }, kStart);
  CHECK(copy->Find(Ref("runs"))->mState == request_state::Unknown);
}

} // namespace
} // namespace oriolewalk::ledger
