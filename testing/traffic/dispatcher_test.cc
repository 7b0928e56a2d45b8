#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/dispatcher.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {
namespace {

const service_id kFees("fees");
const organisation_id kTaksa("taksa");
const data_centre_id kNear("a");
constexpr std::uint64_t kSeed = 1;
const time_point kStart{ seconds(1000) };

target_state
Target(const std::string& aName, std::uint32_t aSlots)
{
  return { target_id(aName), kFees, kNear, aSlots, 60 };
}

arrival
Request(std::uint64_t aNumber, work_class aClass = work_class::Normal)
{
  return { request_id(aNumber), kFees, kTaksa, "caller", aClass, false, kNear,
           kStart + seconds(10) };
}

template<class Kind>
std::vector<Kind>
Only(const std::vector<decision>& aDecisions)
{
  std::vector<Kind> kept;
  for (const decision& each : aDecisions) {
    if (const Kind* found = std::get_if<Kind>(&each)) {
      kept.push_back(*found);
    }
  }
  return kept;
}

TEST_CASE("slots are never exceeded, and a finished attempt frees its slot")
{
  dispatcher traffic({}, kSeed);
  traffic.OnTargetUp(Target("t1", 2), kStart);
  for (std::uint64_t number = 1; number <= 3; ++number) {
    traffic.OnArrival(Request(number), kStart);
  }
  CHECK(Only<dispatch>(traffic.TakeDecisions()).size() == 2);
  traffic.OnFinished(request_id(1), { finish_result::Answered, {} }, kStart);
  const auto next = Only<dispatch>(traffic.TakeDecisions());
  REQUIRE(next.size() == 1);
  CHECK(next.front().mId == request_id(3));
}

TEST_CASE("a target gets no more attempts than it has connections")
{
  dispatcher traffic({}, kSeed);
  target_state target = Target("t1", 8);
  target.mConnections = 3;
  traffic.OnTargetUp(target, kStart);
  for (std::uint64_t number = 1; number <= 8; ++number) {
    traffic.OnArrival(Request(number), kStart);
  }
  CHECK(Only<dispatch>(traffic.TakeDecisions()).size() == 3);
}

TEST_CASE("a leaving target gets no new requests, even after a late renewal")
{
  // The target announces that it leaves, and a renewal that it sent before
  // arrives afterwards. If the renewal counted as a new announcement, requests
  // would go to a process that is about to end.
  dispatcher traffic({}, kSeed);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  traffic.OnTargetUp(Target("t2", 1), kStart);
  traffic.OnTargetLeaving(target_id("t1"), kStart);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  for (std::uint64_t number = 1; number <= 4; ++number) {
    traffic.OnArrival(Request(number), kStart);
  }
  for (const dispatch& each : Only<dispatch>(traffic.TakeDecisions())) {
    CHECK(each.mTarget == target_id("t2"));
  }
}

TEST_CASE("a new leader keeps the slots of attempts that already run")
{
  // The leader fails with an attempt in progress. The new leader learns of it
  // from the ledger before the target announces itself. If it gave the slot to
  // another request, nine attempts would run on eight slots.
  dispatcher traffic({}, kSeed);
  traffic.Restore(
    { request_id(1), kFees, target_id("t1"), kTaksa, work_class::Normal },
    kStart);
  traffic.OnTargetUp(Target("t1", 2), kStart);
  traffic.OnArrival(Request(2), kStart);
  traffic.OnArrival(Request(3), kStart);
  CHECK(Only<dispatch>(traffic.TakeDecisions()).size() == 1);
  traffic.OnFinished(
    request_id(1), { finish_result::Answered, milliseconds(1) }, kStart);
  CHECK(Only<dispatch>(traffic.TakeDecisions()).size() == 1);
}

TEST_CASE("a target that returns still holds the slots of its old attempts")
{
  dispatcher traffic({}, kSeed);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  traffic.OnArrival(Request(1), kStart);
  traffic.OnTargetGone(target_id("t1"), kStart);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  traffic.TakeDecisions();
  traffic.OnArrival(Request(2), kStart);
  CHECK(traffic.TakeDecisions().empty());
  traffic.OnFinished(request_id(1), { finish_result::Unknown, {} }, kStart);
  CHECK(Only<dispatch>(traffic.TakeDecisions()).size() == 1);
}

TEST_CASE("cancelling removes a waiting request but no running attempt")
{
  dispatcher traffic({}, kSeed);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  traffic.OnArrival(Request(1), kStart);
  traffic.OnArrival(Request(2), kStart);
  traffic.TakeDecisions();
  CHECK(traffic.Cancel(request_id(2), kStart));
  CHECK_FALSE(traffic.Cancel(request_id(1), kStart));
  traffic.OnFinished(request_id(1), { finish_result::Answered, {} }, kStart);
  CHECK(traffic.TakeDecisions().empty());
}

TEST_CASE("when the last target leaves, all waiting requests are refused")
{
  dispatcher traffic({}, kSeed);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  traffic.OnArrival(Request(1), kStart);
  traffic.OnArrival(Request(2), kStart);
  traffic.TakeDecisions();
  traffic.OnTargetLeaving(target_id("t1"), kStart);
  const auto refused = Only<refuse>(traffic.TakeDecisions());
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().mReason == refusal::NoTarget);
  CHECK(refused.front().mRetryAfter > duration::zero());
}

TEST_CASE("a new leader waits a limited time for targets to be announced")
{
  // Callers' requests reach the new leader before the targets' next renewal.
  // Refusing them would turn each leader change into a wave of refusals.
  dispatcher traffic({}, kSeed);
  traffic.OnArrival(Request(1), kStart);
  CHECK(traffic.TakeDecisions().empty());
  traffic.OnTargetUp(Target("t1", 1), kStart + milliseconds(500));
  CHECK(Only<dispatch>(traffic.TakeDecisions()).size() == 1);

  dispatcher withoutTargets({}, kSeed);
  withoutTargets.OnArrival(Request(1), kStart);
  withoutTargets.Tick(kStart + seconds(2));
  CHECK(Only<refuse>(withoutTargets.TakeDecisions()).size() == 1);
}

TEST_CASE("an expired request is refused at its deadline and never dispatched")
{
  dispatcher traffic({}, kSeed);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  traffic.OnArrival(Request(1), kStart);
  arrival late = Request(2);
  late.mDeadline = kStart + milliseconds(30);
  traffic.OnArrival(late, kStart);
  traffic.TakeDecisions();
  REQUIRE(traffic.NextWake());
  traffic.OnFinished(request_id(1),
                     { finish_result::Answered, milliseconds(30) },
                     kStart + milliseconds(30));
  const auto decided = traffic.TakeDecisions();
  CHECK(Only<dispatch>(decided).empty());
  REQUIRE(Only<refuse>(decided).size() == 1);
  CHECK(Only<refuse>(decided).front().mReason == refusal::Expired);
}

TEST_CASE("an organisation's limits apply to it alone")
{
  dispatcher traffic({}, kSeed);
  share_policy policy;
  policy.Set(kTaksa, work_class::Normal, { .mMaxSlots = 2, .mMaxWaiting = 1 });
  traffic.SetPolicy(policy, kStart);
  traffic.OnTargetUp(Target("t1", 8), kStart);
  for (std::uint64_t number = 1; number <= 4; ++number) {
    traffic.OnArrival(Request(number), kStart);
  }
  auto decided = traffic.TakeDecisions();
  CHECK(Only<dispatch>(decided).size() == 2);
  REQUIRE(Only<refuse>(decided).size() == 1);
  CHECK(Only<refuse>(decided).front().mReason == refusal::LimitReached);
  arrival other = Request(5);
  other.mOrganisation = organisation_id("other");
  traffic.OnArrival(other, kStart);
  CHECK(Only<dispatch>(traffic.TakeDecisions()).size() == 1);

  policy.Set(
    kTaksa, work_class::Normal, { .mRequestsPerSecond = 10, .mBurst = 2 });
  traffic.SetPolicy(policy, kStart);
  traffic.TakeDecisions();
  for (std::uint64_t number = 10; number < 13; ++number) {
    traffic.OnArrival(Request(number), kStart);
  }
  decided = traffic.TakeDecisions();
  CHECK(Only<dispatch>(decided).size() == 2);
  CHECK(Only<refuse>(decided).size() == 1);
}

TEST_CASE("a limit of 0 refuses requests immediately with LimitReached")
{
  // An operator blocks an organisation with a 0 in the weights table. Its
  // requests must neither run nor wait for their deadline.
  const auto refusedBy = [](const share_rule& aRule) {
    dispatcher traffic({}, kSeed);
    share_policy policy;
    policy.Set(kTaksa, work_class::Normal, aRule);
    traffic.SetPolicy(policy, kStart);
    traffic.OnTargetUp(Target("t1", 8), kStart);
    traffic.OnArrival(Request(1), kStart);
    const auto refused = Only<refuse>(traffic.TakeDecisions());
    return refused.size() == 1 &&
           refused.front().mReason == refusal::LimitReached;
  };
  CHECK(refusedBy({ .mMaxSlots = 0 }));
  CHECK(refusedBy({ .mRequestsPerSecond = 0 }));
  CHECK_FALSE(refusedBy({ .mMaxWaiting = 0 }));
}

TEST_CASE("a policy that blocks an organisation refuses its waiting requests")
{
  dispatcher traffic({}, kSeed);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  traffic.OnArrival(Request(1), kStart);
  traffic.OnArrival(Request(2), kStart);
  traffic.TakeDecisions();
  share_policy policy;
  policy.Set(kTaksa, work_class::Normal, { .mMaxSlots = 0 });
  traffic.SetPolicy(policy, kStart);
  const auto refused = Only<refuse>(traffic.TakeDecisions());
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().mReason == refusal::LimitReached);
}

TEST_CASE("with a queue limit of 0, a request that cannot start is refused")
{
  dispatcher traffic({}, kSeed);
  share_policy policy;
  policy.Set(kTaksa, work_class::Normal, { .mMaxWaiting = 0 });
  traffic.SetPolicy(policy, kStart);
  traffic.OnTargetUp(Target("t1", 1), kStart);
  traffic.OnArrival(Request(1), kStart);
  traffic.OnArrival(Request(2), kStart);
  const auto decided = traffic.TakeDecisions();
  CHECK(Only<dispatch>(decided).size() == 1);
  CHECK(Only<refuse>(decided).size() == 1);
}

} // namespace
} // namespace oriolewalk::traffic
