#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {
namespace {

job_spec
Spec(job_kind aKind, std::uint32_t aTasks, resources aEach)
{
  job_spec spec;
  spec.mOrganisation = organisation_id("taksa");
  spec.mKind = aKind;
  spec.mTasks = aTasks;
  spec.mEach = aEach;
  return spec;
}

// A cell_state with workers w0, w1, … and its own wall clock.
struct small_cell
{
  explicit small_cell(int aWorkers, resources aCapacity = { 4000, 4096, 0 })
  {
    for (int at = 0; at < aWorkers; ++at) {
      Do(register_worker{ worker_id("w" + std::to_string(at)),
                          boot_id("1"),
                          data_centre_id("a"),
                          rack_id("a1"),
                          aCapacity });
    }
  }

  apply_outcome Do(const cell_command& aCommand)
  {
    apply_outcome outcome = mState.Apply(aCommand, mWallMs);
    REQUIRE(mState.Audit().empty());
    return outcome;
  }
  job_number Submit(const std::string& aKey, const job_spec& aSpec)
  {
    return Do(submit_job{ request_key(aKey), aSpec })
      .mJob.value_or(job_number());
  }
  apply_outcome Start(job_number aJob,
                      std::uint32_t aIndex,
                      std::uint32_t aAttempt,
                      const std::string& aWorker)
  {
    return Do(start_tasks{
      { { { aJob, aIndex }, aAttempt, worker_id(aWorker), boot_id("1") } } });
  }
  apply_outcome End(job_number aJob,
                    std::uint32_t aIndex,
                    std::uint32_t aAttempt,
                    const std::string& aWorker,
                    attempt_result aResult)
  {
    return Do(task_ended{
      { aJob, aIndex }, aAttempt, worker_id(aWorker), boot_id("1"), aResult });
  }
  task_state State(job_number aJob, std::uint32_t aIndex = 0) const
  {
    return mState.FindTask({ aJob, aIndex })->mState;
  }

  cell_state mState;
  std::int64_t mWallMs = 1'000'000;
};

TEST_CASE("a job sent again by key is the same job")
{
  // A submit whose response was lost is sent again. It must return the same job
  // and not create a second one. A different spec under the key is a conflict.
  small_cell cell(1);
  const job_spec spec = Spec(job_kind::Batch, 1, { 1000, 100, 0 });
  const job_number job = cell.Submit("k", spec);
  const auto again = cell.Do(submit_job{ request_key("k"), spec });
  CHECK(again.mReplayed);
  CHECK(again.mJob == job);
  auto other = spec;
  other.mEach.mMemoryMb = 200;
  const auto conflict = cell.Do(submit_job{ request_key("k"), other });
  REQUIRE(conflict.mRefusal);
  CHECK(conflict.mRefusal->mCode == error_code::Conflict);
  other.mOrganisation = organisation_id("tamarin");
  CHECK(cell.Submit("k", other) != job);
}

TEST_CASE("a start above the capacity is refused when it is applied")
{
  small_cell cell(1);
  const auto job = cell.Submit("k", Spec(job_kind::Batch, 3, { 1500, 100, 0 }));
  CHECK_FALSE(cell.Start(job, 0, 1, "w0").mRefusal);
  CHECK_FALSE(cell.Start(job, 1, 1, "w0").mRefusal);
  CHECK(cell.Start(job, 2, 1, "w0").mRefusal);
  CHECK(cell.State(job, 2) == task_state::Waiting);
}

TEST_CASE("a placed task isn't started a second time")
{
  small_cell cell(2);
  const auto job = cell.Submit("k", Spec(job_kind::Batch, 1, { 1000, 100, 0 }));
  CHECK_FALSE(cell.Start(job, 0, 1, "w0").mRefusal);
  CHECK(cell.Start(job, 0, 1, "w1").mRefusal);
  CHECK(cell.Start(job, 0, 2, "w1").mRefusal);
}

TEST_CASE("a start for another attempt than the next is refused")
{
  // A start from a stale leader arrives after the attempt ended and the task
  // waits again. If it were accepted, the late report of the first attempt
  // would end the second.
  small_cell cell(2);
  auto spec = Spec(job_kind::Batch, 1, { 1000, 100, 0 });
  spec.mRepeatable = true;
  const auto job = cell.Submit("k", spec);
  CHECK(cell.Start(job, 0, 0, "w0").mRefusal);
  CHECK(cell.Start(job, 0, 2, "w0").mRefusal);
  cell.Start(job, 0, 1, "w0");
  cell.End(job, 0, 1, "w0", attempt_result::Failed);
  CHECK(cell.Start(job, 0, 1, "w1").mRefusal);
  CHECK_FALSE(cell.Start(job, 0, 2, "w1").mRefusal);
  CHECK(cell.End(job, 0, 1, "w1", attempt_result::Failed).mRefusal);
}

TEST_CASE("an end counts only from the incarnation that runs the attempt")
{
  small_cell cell(2);
  const auto job = cell.Submit("k", Spec(job_kind::Batch, 1, { 1000, 100, 0 }));
  cell.Start(job, 0, 1, "w0");
  CHECK(cell.End(job, 0, 1, "w1", attempt_result::Succeeded).mRefusal);
  CHECK(cell
          .Do(task_ended{ { job, 0 },
                          1,
                          worker_id("w0"),
                          boot_id("2"),
                          attempt_result::Succeeded })
          .mRefusal);
  CHECK(cell.State(job) == task_state::Placed);
}

TEST_CASE("a stale preemption of work that must not run twice is refused")
{
  small_cell cell(1);
  const auto job = cell.Submit("k", Spec(job_kind::Batch, 1, { 1000, 100, 0 }));
  cell.Start(job, 0, 1, "w0");
  const auto stop = [&](stop_mode aMode) {
    return cell.Do(stop_task{ { job, 0 }, 1, aMode, stop_reason::Preempted });
  };
  CHECK(stop(stop_mode::Stop).mRefusal);
  CHECK(stop(stop_mode::Checkpoint).mRefusal);
  CHECK_FALSE(stop(stop_mode::Throttle).mRefusal);
}

TEST_CASE("a throttle is confirmed, and lifted only into free capacity")
{
  small_cell cell(1);
  const auto job = cell.Submit("k", Spec(job_kind::Batch, 1, { 4000, 100, 0 }));
  const auto other =
    cell.Submit("l", Spec(job_kind::Batch, 1, { 3000, 100, 0 }));
  cell.Start(job, 0, 1, "w0");
  cell.Do(
    stop_task{ { job, 0 }, 1, stop_mode::Throttle, stop_reason::Preempted });
  // The capacity stays booked until the worker confirms the throttle.
  CHECK(cell.Start(other, 0, 1, "w0").mRefusal);
  cell.Do(task_throttled{ { job, 0 }, 1, worker_id("w0"), boot_id("1") });
  CHECK_FALSE(cell.Start(other, 0, 1, "w0").mRefusal);
  CHECK(cell.Do(resume_task{ { job, 0 }, 1 }).mRefusal);
  cell.End(other, 0, 1, "w0", attempt_result::Succeeded);
  CHECK_FALSE(cell.Do(resume_task{ { job, 0 }, 1 }).mRefusal);
}

TEST_CASE("work that is not repeatable ends as unknown with its worker")
{
  // The worker of a non-repeatable task is lost and the task's progress is
  // unknown. The caller sees unknown, and the task never runs again.
  small_cell cell(2);
  const auto job = cell.Submit("k", Spec(job_kind::Batch, 1, { 1000, 100, 0 }));
  cell.Start(job, 0, 1, "w0");
  cell.Do(workers_lost{ { { worker_id("w0"), boot_id("1") } } });
  CHECK(cell.mState.FindJob(job)->State() == job_state::Unknown);
  CHECK(cell.Start(job, 0, 2, "w1").mRefusal);
  // A late report of the lost worker doesn't change the final state.
  CHECK(cell.End(job, 0, 1, "w0", attempt_result::Succeeded).mRefusal);
  CHECK(cell.mState.FindJob(job)->State() == job_state::Unknown);
}

TEST_CASE("a gang starts whole or not at all")
{
  small_cell cell(2);
  const auto job = cell.Submit("k", Spec(job_kind::Gang, 3, { 2000, 100, 0 }));
  const auto member = [&](std::uint32_t aIndex, const char* aWorker) {
    return placement{ { job, aIndex }, 1, worker_id(aWorker), boot_id("1") };
  };
  CHECK(cell.Do(start_tasks{ { member(0, "w0"), member(1, "w0") } }).mRefusal);
  // The third doesn't fit, so the first two are withdrawn.
  CHECK(
    cell
      .Do(start_tasks{ { member(0, "w0"), member(1, "w0"), member(2, "w0") } })
      .mRefusal);
  CHECK(cell.mState.FindWorker(worker_id("w0"))->mBooked == resources{});
  CHECK_FALSE(
    cell
      .Do(start_tasks{ { member(0, "w0"), member(1, "w0"), member(2, "w1") } })
      .mRefusal);
  CHECK(cell.mState.FindJob(job)->mPlaced == 3);
}

TEST_CASE("a cancel that meets a start keeps the booking until the end")
{
  // The start may be in flight to the worker when the cancel is applied. The
  // capacity is freed only when the worker confirms that nothing runs.
  small_cell cell(1);
  const auto job = cell.Submit("k", Spec(job_kind::Batch, 2, { 4000, 100, 0 }));
  cell.Start(job, 0, 1, "w0");
  cell.Do(cancel_job{ job });
  CHECK(cell.State(job, 1) == task_state::Cancelled);
  CHECK(cell.mState.FindJob(job)->State() == job_state::Cancelling);
  CHECK(cell.mState.FindWorker(worker_id("w0"))->Free().mMilliProcessors == 0);
  cell.End(job, 0, 1, "w0", attempt_result::Stopped);
  CHECK(cell.mState.FindJob(job)->State() == job_state::Stopped);
  CHECK(cell.Start(job, 1, 1, "w0").mRefusal);
}

TEST_CASE("a late registration of an earlier incarnation is refused")
{
  // An old PUT arrives after the worker restarted. Accepting it would mark the
  // new incarnation's attempts as lost and start them elsewhere a second time.
  small_cell cell(1);
  register_worker registration{ worker_id("w0"),
                                boot_id("2"),
                                data_centre_id("a"),
                                rack_id("a1"),
                                { 2000, 2048, 0 } };
  CHECK_FALSE(cell.Do(registration).mRefusal);
  registration.mBoot = boot_id("1");
  CHECK(cell.Do(registration).mRefusal);
  CHECK(cell.mState.FindWorker(worker_id("w0"))->mBoot == boot_id("2"));
}

TEST_CASE(
  "a late registration of an incarnation that was never seen is refused")
{
  // Incarnation 2 restarts before its registration arrives, and that of
  // incarnation 3 arrives first. The late registration of incarnation 2 must
  // not end the attempts of incarnation 3 nor lock it out.
  small_cell cell(1);
  register_worker registration{ worker_id("w0"),
                                boot_id("10"),
                                data_centre_id("a"),
                                rack_id("a1"),
                                { 2000, 2048, 0 } };
  CHECK_FALSE(cell.Do(registration).mRefusal);
  registration.mBoot = boot_id("9");
  CHECK(cell.Do(registration).mRefusal);
  CHECK(cell.mState.FindWorker(worker_id("w0"))->mBoot == boot_id("10"));
}

TEST_CASE("a job that can never fit is refused with the dimension")
{
  small_cell cell(2);
  const auto job =
    cell.Submit("k", Spec(job_kind::Batch, 1, { 1000, 5000, 0 }));
  const job_record& record = *cell.mState.FindJob(job);
  REQUIRE(record.State() == job_state::Refused);
  CHECK(record.mRefusal->mDimension == dimension::Memory);
  CHECK(record.mRefusal->mLargest == 4096);
}

TEST_CASE("a snapshot brings back the same state")
{
  small_cell cell(2);
  const auto job = cell.Submit("k", Spec(job_kind::Batch, 2, { 1000, 100, 0 }));
  cell.Start(job, 0, 1, "w1");
  const bytes image = Encode(cell.mState);
  auto copy = Decode<cell_state>(image, "test");
  REQUIRE(copy);
  CHECK(copy->Audit().empty());
  CHECK(Encode(*copy) == image);
  CHECK(copy->FindKey(organisation_id("taksa"), request_key("k")) == job);
  CHECK(copy->Waiting(job_class::Normal).size() == 1);
}

TEST_CASE("task ids are printed and read back")
{
  CHECK(ToString(task_id{ job_number(12), 3 }) == "job-12/3");
  CHECK(ParseTask("job-12/3") == task_id{ job_number(12), 3 });
  CHECK_FALSE(ParseTask("job-12"));
  CHECK_FALSE(ParseTask("job-12/"));
  CHECK_FALSE(ParseTask("job-1x/3"));
  CHECK_FALSE(ParseJob("12"));
}

} // namespace
} // namespace oriolewalk::cell
