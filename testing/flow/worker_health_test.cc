#include <catch2/catch.hpp>

#include "oriolewalk/flow/straggler_detector.h"
#include "oriolewalk/flow/worker_health.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::state_builder;

constexpr time_point kStart{ seconds(100) };

} // namespace

TEST_CASE("a worker that fails its tasks is avoided for a while")
{
  // A worker that fails everything at once looks free and would attract every
  // retry.
  worker_health health;
  health.OnRunEnded(1, run_outcome::Failed, kStart);
  CHECK_FALSE(
    health.Standing(1, kStart).mAvoided); // it may be the task's own fault
  health.OnRunEnded(1, run_outcome::Failed, kStart);
  CHECK(health.Standing(1, kStart).mAvoided);
  CHECK_FALSE(health.Standing(2, kStart).mAvoided);
  CHECK_FALSE(health.Standing(1, kStart + seconds(10)).mAvoided);
  // It fails again when it is tried again: avoided at once, and for longer.
  health.OnRunEnded(1, run_outcome::Failed, kStart + seconds(10));
  CHECK(health.Standing(1, kStart + seconds(12)).mAvoided);
  health.OnRunEnded(1, run_outcome::Done, kStart + seconds(20));
  health.OnRunEnded(1, run_outcome::Failed, kStart + seconds(21));
  CHECK_FALSE(health.Standing(1, kStart + seconds(21)).mAvoided);
}

TEST_CASE("the estimated speed of a worker stays within bounds")
{
  worker_health health;
  for (int end = 0; end < 50; ++end) {
    health.OnTaskTime(1, 0.8);
    health.OnTaskTime(2, 100);
  }
  CHECK(health.Standing(1, kStart).mSpeed == Approx(1.25).margin(0.01));
  CHECK(health.Standing(2, kStart).mSpeed == Approx(0.2).margin(0.01));
  CHECK(health.Standing(3, kStart).mSpeed == 1);
}

TEST_CASE("a run far behind its siblings is stopped, at most twice per task")
{
  // Tasks stall on one worker although their siblings ended long ago: the step,
  // and the job's caller, would wait for them.
  straggler_detector detector;
  const job_id job("00");
  const run_ref quick = state_builder::Run(job, 1, 0);
  const run_ref slow = state_builder::Run(job, 1, 1);
  detector.OnRunStarted(quick, kStart);
  detector.OnRunStarted(slow, kStart);
  CHECK_FALSE(
    detector.MarkIfStraggler(slow, kStart + seconds(60))); // no sibling ended
  CHECK_FALSE(
    detector.OnRunEnded(quick, run_outcome::Done, kStart + seconds(1)));
  CHECK_FALSE(detector.MarkIfStraggler(slow, kStart + seconds(4)));
  CHECK(detector.MarkIfStraggler(slow, kStart + seconds(6)));
  for (attempt_t attempt = 2; attempt <= 4; ++attempt) {
    const run_ref again = state_builder::Run(job, attempt, 1);
    detector.OnRunStarted(again, kStart);
    CHECK(detector.MarkIfStraggler(again, kStart + seconds(30)) ==
          (attempt == 2));
  }
}

TEST_CASE("a run's duration is compared with its siblings'")
{
  straggler_detector detector;
  const job_id job("00");
  for (std::uint32_t index = 0; index < 3; ++index) {
    detector.OnRunStarted(state_builder::Run(job, 1, index), kStart);
  }
  CHECK_FALSE(detector.OnRunEnded(
    state_builder::Run(job, 1, 0), run_outcome::Done, kStart + seconds(1)));
  CHECK_FALSE(detector.OnRunEnded(
    state_builder::Run(job, 1, 1), run_outcome::Failed, kStart + seconds(1)));
  const auto ratio = detector.OnRunEnded(
    state_builder::Run(job, 1, 2), run_outcome::Done, kStart + seconds(2));
  REQUIRE(ratio);
  CHECK(*ratio == Approx(2));
}

} // namespace oriolewalk::flow
