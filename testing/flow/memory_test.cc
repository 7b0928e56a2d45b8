#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/flow/flow_state.h"
#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::Step;

flow_options
SmallOptions()
{
  flow_options options;
  options.mMaxJobBytes = 1'000'000;
  options.mMaxWorkers = 3;
  options.mMaxWaveBytes = 100'000;
  options.mEndedJobRetention = milliseconds(1'000);
  options.mWallClockMargin = milliseconds(1'000);
  return options;
}

struct small_group
{
  explicit small_group(std::uint64_t aSeed)
    : mGroup(3, 3, aSeed, 9, SmallOptions())
  {
    mGroup.AddWorker("w0", 0.02);
    mGroup.Worker(0).mTaskSize = Step(1, 1'000).mSize;
    mGroup.Run(seconds(2));
  }

  std::optional<job_answer> Submit(std::uint64_t aNumber, job_spec aSpec)
  {
    std::string id = std::to_string(aNumber);
    id.insert(0, 16 - id.size(), '0');
    const auto answer = mGroup.SendRequest(
      job_submission{ { "jobs.example", "/fees/" + id }, std::move(aSpec) });
    const auto* job = answer ? std::get_if<job_answer>(&*answer) : nullptr;
    return job == nullptr ? std::nullopt : std::optional(*job);
  }

  fake_group mGroup;
};

job_spec
JobOf(std::uint32_t aTasks)
{
  job_spec job;
  job.mSteps = { Step(aTasks, 1'000) };
  return job;
}

} // namespace

TEST_CASE("jobs beyond the memory are refused, and accepted once it is free")
{
  // A few bytes asked for millions of tasks, which took the memory of all
  // control processes, and took it again at each start.
  small_group small(1);
  REQUIRE(small.Submit(1, JobOf(1))->mReply == job_reply::Accepted);
  REQUIRE(small.Submit(2, JobOf(10'000))->mReply == job_reply::Accepted);
  const auto refused = small.Submit(3, JobOf(10'000));
  REQUIRE(refused);
  CHECK(refused->mReply == job_reply::Refused);
  CHECK(refused->mRetryAfterMs > 0);
  CHECK(small.Submit(4, JobOf(1))->mReply == job_reply::Accepted);
  small.mGroup.SendRequest(
    job_cancellation{ { "jobs.example", "/fees/0000000000000002" } });
  small.mGroup.Run(seconds(6));
  CHECK(small.Submit(3, JobOf(10'000))->mReply == job_reply::Accepted);
}

TEST_CASE("the next leader knows what all jobs take")
{
  small_group small(2);
  REQUIRE(small.Submit(2, JobOf(10'000))->mReply == job_reply::Accepted);
  small.mGroup.Kill(*small.mGroup.Leader());
  small.mGroup.Run(seconds(3));
  CHECK(small.Submit(3, JobOf(10'000))->mReply == job_reply::Refused);
}

TEST_CASE("a job that recurs doesn't go beyond the memory")
{
  // Each time that it runs has records of its own.
  small_group small(3);
  job_spec often = JobOf(2'000);
  often.mSteps[0].mSize.mMilliProcessors = 1'000'000; // it fits nowhere
  often.mRecurrence = { 1'000, 0, 1 };
  REQUIRE(small.Submit(1, often)->mReply == job_reply::Accepted);
  small.mGroup.Run(seconds(2));
  const auto leader = small.mGroup.Leader();
  REQUIRE(leader);
  const std::size_t bytes = small.mGroup.Core(*leader).State().JobBytes();
  CHECK(bytes > OccurrenceBytes(often));
  // One more may have been under way.
  CHECK(bytes <= SmallOptions().mMaxJobBytes + OccurrenceBytes(often));
}

TEST_CASE("workers beyond the limit are not registered, known ones are heard")
{
  // Whoever reached the port could invent workers without end.
  small_group small(4);
  worker_heartbeat beat;
  for (int number = 1; number < 10; ++number) {
    beat.mDescription = testing::Worker("w" + std::to_string(number));
    beat.mSequence = 1;
    small.mGroup.SendRequest(beat);
    small.mGroup.Run(milliseconds(200));
  }
  CHECK(small.mGroup.Count("worker.refused") == 7);
  CHECK(small.mGroup.Core(*small.mGroup.Leader()).State().Workers().size() ==
        3);
  small.mGroup.Submit("00000000000000aa", { Step(1, 1'000) });
  CHECK(small.mGroup.RunUntil(
    [&]() { return small.mGroup.StateOf("00000000000000aa") == "done"; },
    seconds(8)));
}

TEST_CASE("waves beyond the memory are refused")
{
  small_group small(5);
  machines::wave_order order{ 1, {}, 20'000, 1 };
  for (int machine = 0; machine < 2'000; ++machine) {
    order.mMachines.emplace_back("m" + std::to_string(machine));
  }
  CHECK_FALSE(small.mGroup.SendRequest(wave_start{ order }));
  CHECK(small.mGroup.Count("wave.refused") == 1);
}

TEST_CASE("a job's parts have limits")
{
  const auto isSound = [](const std::function<void(job_spec&)>& aChange) {
    job_spec job = JobOf(1);
    job.mSteps.push_back(Step(1, 1'000));
    job.mSteps[1].mDependsOn = { 0 };
    aChange(job);
    return CheckJob(job).has_value();
  };
  CHECK(isSound([](job_spec&) {}));
  CHECK(isSound(
    [](job_spec& aJob) { aJob.mSteps.assign(kMaxJobSteps, Step(1, 1)); }));
  CHECK_FALSE(isSound(
    [](job_spec& aJob) { aJob.mSteps.assign(kMaxJobSteps + 1, Step(1, 1)); }));
  CHECK(
    isSound([](job_spec& aJob) { aJob.mSteps[0].mCount = kMaxJobTasks - 1; }));
  CHECK_FALSE(
    isSound([](job_spec& aJob) { aJob.mSteps[0].mCount = kMaxJobTasks; }));
  CHECK_FALSE(isSound([](job_spec& aJob) {
    aJob.mSteps[1].mDependsOn = { 0, 0 };
  }));
  // Sums of sizes and of times overflowed.
  constexpr std::int64_t kMost = std::numeric_limits<std::int64_t>::max();
  for (const std::int64_t wrong : { kMost, std::int64_t{ -1 } }) {
    CHECK_FALSE(isSound(
      [&](job_spec& aJob) { aJob.mSteps[0].mSize.mMilliProcessors = wrong; }));
    CHECK_FALSE(
      isSound([&](job_spec& aJob) { aJob.mSteps[0].mSize.mMemoryMb = wrong; }));
    CHECK_FALSE(isSound(
      [&](job_spec& aJob) { aJob.mSteps[0].mSize.mAccelerators = wrong; }));
    CHECK_FALSE(
      isSound([&](job_spec& aJob) { aJob.mSteps[0].mEstimateMs = wrong; }));
    CHECK_FALSE(
      isSound([&](job_spec& aJob) { aJob.mRecurrence.mPeriodMs = wrong; }));
  }
  CHECK_FALSE(isSound([](job_spec& aJob) {
    aJob.mSteps[0].mImage = std::string(kMaxNameBytes + 1, 'i');
  }));
}

} // namespace oriolewalk::flow
