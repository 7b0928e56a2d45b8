// Decisions about new jobs in cells that are full, each under the load that it
// is for.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/admission.h"
#include "oriolewalk/flow/freed_rate.h"
#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::Queue;
using testing::Step;

constexpr std::int64_t kCapacity = 100'000; // thousandths of a processor
constexpr time_point kStart{ seconds(1'000) };
// The figures of a leader are filled by then.
constexpr time_point kLater = kStart + seconds(10);

// With learned durations of one second. The objective of a job of one step is
// 1,750 ms; its value ends after 5,250 ms.
arrival
Job(const std::string& aId, const std::string& aOwner, const step_spec& aStep)
{
  const std::vector<duration_estimate> durations{ { 1'000, 1'500, true } };
  return DescribeArrival({ "", { aStep }, {} },
                         Queue("fees", 0),
                         organisation_id(aOwner),
                         job_id(aId),
                         durations);
}

arrival
Job(const std::string& aId, const std::string& aOwner = {})
{
  return Job(aId, aOwner, Step(4, 2'000));
}

// Tasks of one second whose work takes the whole cell this long, by durations
// that are low already.
waiting_load
Waiting(double aSeconds)
{
  return { aSeconds * 1'000 * kCapacity,
           static_cast<std::int64_t>(aSeconds * kCapacity) };
}

// A job of this size takes the workers of the group seconds, while its value
// ends after about one.
job_submission
LargeSubmission(const std::string& aId)
{
  step_spec step = Step(100, 2'000);
  step.mEstimateMs = 100;
  return { { "jobs.example", "/fees/" + aId }, { "", { step }, {} } };
}

std::string
IdOf(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return std::string(16 - number.size(), '0') + number;
}

std::optional<job_answer>
Submit(fake_group& aGroup, const std::string& aId)
{
  const auto answer = aGroup.SendRequest(LargeSubmission(aId));
  const auto* job = answer ? std::get_if<job_answer>(&*answer) : nullptr;
  return job == nullptr ? std::nullopt : std::optional(*job);
}

// Nothing is free.
cell_load
FullCell(double aWaitingSeconds, time_point aNow = kLater)
{
  cell_load load;
  load.mCapacity = { kCapacity, 1'000'000, 0 };
  load.mWorkerSizes = { { 8'000, 10'000, 0 } };
  load.mPriorities[0].mWithinShare = Waiting(aWaitingSeconds);
  load.mMadeAt = aNow;
  return load;
}

admission
Filled(const cell_load& aLoad)
{
  admission admit(kStart);
  admit.OnLoad(service_id("pay"), aLoad);
  return admit;
}

} // namespace

TEST_CASE("a job that can't be done while it has value is refused")
{
  // Guards against work that is accepted and ends without value.
  const cell_load load = FullCell(20);
  admission admit = Filled(load);
  const admission_verdict verdict = admit.Decide(Job("a"), load, kLater);
  CHECK_FALSE(verdict.mIsAccepted);
  CHECK(verdict.mRetryAfterMs >= 1'000);
  CHECK(verdict.mExpectedEndMs > verdict.mEndOfValueMs);
  CHECK(verdict.mEndOfValueMs == 5'250);
}

TEST_CASE("a job that will be late but has value is accepted")
{
  // Guards against refusals of jobs that still earn a part of their value: the
  // objective is 1,750 ms, the wait 4 s.
  const cell_load load = FullCell(4);
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a"), load, kLater).mIsAccepted);
}

TEST_CASE("estimates that may be four times too long don't refuse a job")
{
  // Guards against refusals by callers' estimates alone, without learned
  // durations.
  const double low = LowDurationMs({ 1'000, 1'000, false });
  CHECK(low == 250);
  const step_spec step = Step(4, 2'000);
  const std::vector<duration_estimate> unlearned{ { 1'000, 1'000, false } };
  const arrival job = DescribeArrival(
    { "", { step }, {} }, Queue("fees", 0), {}, job_id("a"), unlearned);
  CHECK(job.mChainMs == low);
  CHECK(job.mDemand.mWork == 4 * 2'000 * low);
}

TEST_CASE("a cell with room accepts a job whatever waits elsewhere")
{
  // Guards against refusals where the cell isn't full.
  cell_load load = FullCell(0);
  load.mFree = { 8'000, 400, 0 };
  load.mPriorities[2].mWithinShare = Waiting(100);
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a"), load, kLater).mReason == "room");
}

TEST_CASE("a burst into a full cell is accepted up to what can be done in time")
{
  // Guards against a burst that arrives between two plans: each plan's figures
  // are the same for all of it.
  cell_load load = FullCell(0);
  admission admit = Filled(load);
  int accepted = 0;
  std::vector<std::int64_t> retries;
  for (int number = 0; number < 300; ++number) {
    // Each is two thirds of a second of a twelfth of the cell.
    const arrival job = Job(std::to_string(number), {}, Step(4, 2'000));
    const admission_verdict verdict = admit.Decide(job, load, kLater);
    if (verdict.mIsAccepted) {
      ++accepted;
    } else {
      retries.push_back(verdict.mRetryAfterMs);
    }
  }
  CHECK(accepted > 60);
  CHECK(accepted < 120);
  // Callers return over the time in which room becomes free.
  REQUIRE(retries.size() > 100);
  const auto [least, most] = std::ranges::minmax(retries);
  CHECK(least >= 1'000);
  CHECK(most - least >= 3'000);
  CHECK(most <= 5'250);
}

TEST_CASE("a job is accepted if room becomes free much faster than planned")
{
  // Guards against a refusal by durations that are far too long.
  cell_load load = FullCell(20);
  load.mPriorities[0].mFreedPerMs = kCapacity / 200.0; // runs of 200 ms
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a"), load, kLater).mReason == "in time");
}

TEST_CASE("runs that take long and free nothing for seconds refuse no job")
{
  // Guards against taking a rate of 0 for a cell that never has room.
  const cell_load load = FullCell(3);
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a"), load, kLater).mIsAccepted);
}

TEST_CASE("less urgent work that waits doesn't refuse an urgent job")
{
  // Guards against a batch backlog that shuts out urgent callers.
  cell_load load = FullCell(0);
  load.mPriorities[2].mWithinShare = Waiting(1'000);
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a"), load, kLater).mIsAccepted);
}

TEST_CASE("beside a hot organisation the others' own shares are served")
{
  // Guards against refusals of everybody for one organisation's burst.
  cell_load load = FullCell(1);
  load.mPriorities[0].mBeyondShare = Waiting(20);
  load.mOrganisations[organisation_id("hot")] = { { kCapacity * 9 / 10, 0, 0 },
                                                  { 20 * kCapacity, 0, 0 },
                                                  1 };
  load.mOrganisations[organisation_id("calm")] = { { kCapacity / 10, 0, 0 },
                                                   { kCapacity / 10, 0, 0 },
                                                   1 };
  load.mWaitingWeights = 2;
  admission admit = Filled(load);
  const auto hot = admit.Decide(Job("a", "hot"), load, kLater);
  CHECK_FALSE(hot.mIsAccepted);
  CHECK(hot.mReason == "beyond share");
  CHECK(admit.Decide(Job("b", "calm"), load, kLater).mReason == "share");
  CHECK(admit.Decide(Job("c", "new"), load, kLater).mReason == "share");
  // Nobody's jobs come before the excess.
  CHECK(admit.Decide(Job("d"), load, kLater).mIsAccepted);
}

TEST_CASE("an organisation's excess that can be done in time is accepted")
{
  // Guards against refusals by the share alone.
  cell_load load = FullCell(1);
  load.mPriorities[0].mBeyondShare = Waiting(2);
  load.mOrganisations[organisation_id("hot")] = { { kCapacity * 9 / 10, 0, 0 },
                                                  { 2 * kCapacity, 0, 0 },
                                                  1 };
  load.mOrganisations[organisation_id("calm")] = { {}, { kCapacity, 0, 0 }, 1 };
  load.mWaitingWeights = 2;
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a", "hot"), load, kLater).mReason == "in time");
}

TEST_CASE("an organisation that got little over the last seconds comes first")
{
  // Guards against counting a short peak of its runs as its share of the cell.
  cell_load load = FullCell(20);
  load.mOrganisations[organisation_id("late")] = { { kCapacity * 6 / 10, 0, 0 },
                                                   { kCapacity / 10, 0, 0 },
                                                   1 };
  load.mOrganisations[organisation_id("other")] = { {},
                                                    { kCapacity, 0, 0 },
                                                    1 };
  load.mWaitingWeights = 2;
  const cell_load idle = FullCell(0);
  const auto decide = [&](milliseconds aSince) {
    admission admit(kStart);
    cell_load first = load;
    first.mOrganisations.at(organisation_id("late")).mRunning = {};
    first.mMadeAt = kLater - aSince;
    admit.OnLoad(service_id("pay"), first);
    admit.OnLoad(service_id("pay"), load);
    return admit.Decide(Job("a", "late"), load, kLater);
  };
  CHECK(decide(milliseconds(300)).mIsAccepted);
  CHECK_FALSE(decide(milliseconds(5'000)).mIsAccepted);
}

TEST_CASE("a delayed copy of a refused request is refused, whatever is free")
{
  // Guards against a job that runs after its caller was told that it doesn't.
  const cell_load load = FullCell(20);
  admission admit = Filled(load);
  const auto refused = admit.Decide(Job("a"), load, kLater);
  REQUIRE_FALSE(refused.mIsAccepted);
  const auto at = [&](std::int64_t aMs) { return kLater + milliseconds(aMs); };
  cell_load empty = FullCell(0, at(refused.mRetryAfterMs - 1'200));
  empty.mFree = empty.mCapacity;
  admit.OnLoad(service_id("pay"), empty);
  const auto copy =
    admit.Decide(Job("a"), empty, at(refused.mRetryAfterMs - 1'200));
  CHECK_FALSE(copy.mIsAccepted);
  CHECK(copy.mRetryAfterMs == 1'200);
  CHECK(copy.mReason == "early");
  // Once that is over the same id is a new attempt.
  CHECK(admit.Decide(Job("a"), empty, at(refused.mRetryAfterMs)).mIsAccepted);
  CHECK(admit.Refusals() == 0);
}

TEST_CASE("a copy shortly before the end of its Retry-After extends it")
{
  // Guards against an answer that names a time at which the id isn't
  // remembered.
  const cell_load load = FullCell(20);
  admission admit = Filled(load);
  const auto refused = admit.Decide(Job("a"), load, kLater);
  const time_point end = kLater + milliseconds(refused.mRetryAfterMs);
  const auto copy = admit.Decide(Job("a"), load, end - milliseconds(1));
  CHECK(copy.mRetryAfterMs == 1'000);
  cell_load empty = FullCell(0, end + milliseconds(998));
  empty.mFree = empty.mCapacity;
  CHECK_FALSE(
    admit.Decide(Job("a"), empty, end + milliseconds(998)).mIsAccepted);
}

TEST_CASE("a job whose submission is in flight isn't refused")
{
  // Guards against a refusal of a job that another copy of the request starts.
  const cell_load load = FullCell(20);
  admission admit = Filled(load);
  admit.OnProposed(job_id("a"));
  admit.OnProposed(job_id("a"));
  admit.OnSettled(job_id("a"));
  CHECK(admit.Decide(Job("a"), load, kLater).mIsAccepted);
  admit.OnSettled(job_id("a"));
  CHECK_FALSE(admit.Decide(Job("a"), load, kLater).mIsAccepted);
}

TEST_CASE("a leader accepts everything in its first seconds")
{
  // Guards against refusals by figures that aren't filled yet.
  const time_point now = kStart + milliseconds(2'999);
  const cell_load load = FullCell(100, now);
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a"), load, now).mReason == "new leader");
  CHECK_FALSE(admit.Decide(Job("b"), load, now + milliseconds(1)).mIsAccepted);
}

TEST_CASE("figures that are old refuse no job")
{
  // Guards against refusals by a leader that has no time to plan.
  const cell_load load = FullCell(100, kLater - milliseconds(1'001));
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a"), load, kLater).mReason == "old figures");
  CHECK(admit.Decide(Job("b"), cell_load{}, kLater).mIsAccepted);
}

TEST_CASE("workers that fall silent for seconds refuse no job")
{
  // Guards against refusals while most workers are cut off for a short time.
  admission admit = Filled(FullCell(4, kLater - seconds(1)));
  cell_load cut = FullCell(4);
  cut.mCapacity = { kCapacity / 10, 1'000, 0 };
  admit.OnLoad(service_id("pay"), cut);
  CHECK(admit.Decide(Job("a"), cut, kLater).mIsAccepted);
}

TEST_CASE("jobs that end with their cancellation or at no known time are kept")
{
  // Guards against refusals of kinds of jobs that have no end of value.
  const cell_load load = FullCell(1'000);
  admission admit = Filled(load);
  const auto decide = [&](const job_spec& aSpec, double aMeanMs) {
    const std::vector<duration_estimate> durations(aSpec.mSteps.size(),
                                                   { aMeanMs, aMeanMs, true });
    return admit
      .Decide(
        DescribeArrival(aSpec, Queue("fees", 0), {}, job_id("a"), durations),
        load,
        kLater)
      .mIsAccepted;
  };
  step_spec longRunning = Step(1, 2'000);
  longRunning.mLongRunning = true;
  CHECK(decide({ "", { longRunning }, {} }, 1'000));
  CHECK(decide({ "", { Step(1, 2'000), longRunning }, {} }, 1'000));
  CHECK(decide({ "", { Step(1, 2'000) }, { 3, 0, 1'000 } }, 1'000));
  CHECK(decide({ "", { Step(1, 2'000) }, {} }, 0));
  CHECK_FALSE(decide({ "", { Step(1, 2'000) }, {} }, 1'000));
}

TEST_CASE("a job that fits on no present worker is accepted")
{
  // Guards against refusals where workers of another kind may join.
  const cell_load load = FullCell(1'000);
  admission admit = Filled(load);
  CHECK(admit.Decide(Job("a", {}, Step(1, 8'001)), load, kLater).mReason ==
        "no such worker");
}

TEST_CASE("a job refused before is preferred to a newcomer of its size")
{
  // Guards against starvation of the largest jobs: without it, newcomers that
  // come at the right time keep those waiting that were refused before.
  const step_spec large = Step(20, 4'000);
  const cell_load full = FullCell(6);
  admission admit = Filled(full);
  const auto refused = admit.Decide(Job("a", {}, large), full, kLater);
  REQUIRE_FALSE(refused.mIsAccepted);
  // There is time for one of the two.
  const time_point back = kLater + milliseconds(refused.mRetryAfterMs);
  const cell_load less = FullCell(4.3, back);
  admit.OnLoad(service_id("pay"), less);
  CHECK_FALSE(admit.Decide(Job("b", {}, large), less, back).mIsAccepted);
  CHECK(admit.Decide(Job("a", {}, large), less, back).mIsAccepted);
}

TEST_CASE("callers that never return delay others for a short time only")
{
  // Guards against capacity that is kept for callers that gave up.
  const cell_load full = FullCell(20);
  admission admit = Filled(full);
  for (int number = 0; number < 100; ++number) {
    const std::string id = "x" + std::to_string(number);
    REQUIRE_FALSE(admit.Decide(Job(id), full, kLater).mIsAccepted);
  }
  // They hold back no more than a quarter of the time.
  const cell_load less = FullCell(3, kLater + seconds(1));
  admit.OnLoad(service_id("pay"), less);
  CHECK(admit.Decide(Job("a"), less, kLater + seconds(1)).mIsAccepted);
  const cell_load later = FullCell(4.5, kLater + seconds(20));
  admit.OnLoad(service_id("pay"), later);
  CHECK(admit.Decide(Job("b"), later, kLater + seconds(20)).mIsAccepted);
  CHECK(admit.Refusals() == 0);
}

TEST_CASE("a leader that can't remember a refusal accepts the job")
{
  // Guards against memory that grows with refusals, and against refusals that
  // a delayed copy of the request breaks.
  const cell_load load = FullCell(20);
  admission admit = Filled(load);
  for (std::size_t number = 0; number < admission::kMaxRefusals; ++number) {
    REQUIRE_FALSE(
      admit.Decide(Job(std::to_string(number)), load, kLater).mIsAccepted);
  }
  CHECK(admit.Decide(Job("more"), load, kLater).mIsAccepted);
  CHECK(admit.Refusals() == admission::kMaxRefusals);
}

TEST_CASE("the rate at which runs free processors is that of the last seconds")
{
  // Guards against a rate that still counts runs of a burst that is over.
  const service_id service("pay");
  freed_rate rate(kStart);
  for (int at = 0; at < 50; ++at) {
    rate.OnEnded(service, 2, 1'000, kStart + milliseconds(100 * at));
  }
  const time_point full = kStart + milliseconds(4'999);
  CHECK(rate.RatesOf(service, full).at(2) == Approx(10).epsilon(0.01));
  CHECK(rate.RatesOf(service, full + seconds(2)).at(2) ==
        Approx(6).epsilon(0.01));
  CHECK(rate.RatesOf(service, full + seconds(20)).at(2) == 0);
  rate.OnEnded(service, 2, 1'000, full + seconds(20));
  CHECK(rate.RatesOf(service, full + seconds(20)).at(2) ==
        Approx(0.2).epsilon(0.01));
  CHECK(rate.RatesOf(service_id("other"), full).empty());
}

TEST_CASE("a refused job never runs, and runs once if it is accepted later")
{
  // Guards against a refusal after which the job runs all the same, or twice.
  fake_group group(3, 3, 7);
  for (int worker = 0; worker < 3; ++worker) {
    group.Worker(group.AddWorker("w" + std::to_string(worker))).mWorkTime =
      milliseconds(600);
  }
  group.Run(seconds(5));
  std::map<std::string, int> starts;
  group.Oracle().mOnStart = [&](const run_ref& aRun) {
    ++starts[aRun.mTask.mJob.Value()];
  };
  std::optional<job_answer> refused;
  std::string id;
  constexpr int kMostJobs = 200;
  for (int number = 0; number < kMostJobs && !refused; ++number) {
    id = IdOf(number);
    const auto answer = Submit(group, id);
    REQUIRE(answer);
    if (answer->mReply == job_reply::Refused) {
      refused = answer;
    }
  }
  REQUIRE(refused);
  CHECK(refused->mRetryAfterMs >= 1'000);
  CHECK(group.Count("job.refused") == 1);
  // A copy of the request that was delayed on its way.
  CHECK(Submit(group, id)->mReply == job_reply::Refused);
  group.Run(seconds(200));
  CHECK(starts[id] == 0);
  CHECK(group.StateOf(id).empty());

  CHECK(Submit(group, id)->mReply == job_reply::Accepted);
  CHECK(Submit(group, id)->mReply == job_reply::Accepted);
  group.Run(seconds(20));
  CHECK(starts[id] == 100);
  CHECK(group.StateOf(id) == "done");
  CHECK(group.Oracle().Violations().empty());
}

TEST_CASE("jobs are accepted as before where the policy doesn't refuse them")
{
  // Guards against refusals where they are turned off.
  flow_options options;
  options.mPlan.mRefusesHopeless = false;
  fake_group group(3, 3, 7, 9, options);
  group.AddWorker("w0");
  group.Run(seconds(5));
  for (int number = 0; number < 50; ++number) {
    CHECK(Submit(group, IdOf(number))->mReply == job_reply::Accepted);
  }
}

} // namespace oriolewalk::flow
