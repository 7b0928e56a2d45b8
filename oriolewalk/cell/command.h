#pragma once

// The commands in the replicated log that change a cell_state. A command is a
// proposal: cell_state validates it when it is applied and refuses it if its
// preconditions no longer hold.

#include <cstdint>
#include <variant>
#include <vector>

#include <cereal/types/map.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <map>

#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

// Idempotent by (organisation, key): a resend with the same spec returns the
// same job, and a different spec is a conflict.
struct submit_job
{
  request_key mKey;
  job_spec mSpec;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mKey, mSpec);
  }
};

struct cancel_job
{
  job_number mJob;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mJob);
  }
};

// Registers a worker incarnation. A new boot id means that no attempt of an
// earlier incarnation still runs. Boot ids should be decimal numbers that
// increase with each incarnation, such as its start time: a lower number is
// then a delayed duplicate and is refused.
struct register_worker
{
  worker_id mWorker;
  boot_id mBoot;
  data_centre_id mDataCentre;
  rack_id mRack;
  resources mCapacity;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mBoot, mDataCentre, mRack, mCapacity);
  }
};

struct placement
{
  task_id mTask;
  std::uint32_t mAttempt = 0;
  worker_id mWorker;
  boot_id mBoot;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTask, mAttempt, mWorker, mBoot);
  }
};

// Batch tasks and replicas are accepted individually. The tasks of a gang are
// accepted all together or not at all.
struct start_tasks
{
  std::vector<placement> mPlacements;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPlacements);
  }
};

// Requests the end of an attempt or, with Throttle, a lower processor limit.
// The booking stays unchanged until the worker confirms.
struct stop_task
{
  task_id mTask;
  std::uint32_t mAttempt = 0;
  stop_mode mMode = stop_mode::Stop;
  stop_reason mReason = stop_reason::Preempted;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTask, mAttempt, mMode, mReason);
  }
};

// The worker confirmed the throttle, so the booking shrinks.
struct task_throttled
{
  task_id mTask;
  std::uint32_t mAttempt = 0;
  worker_id mWorker;
  boot_id mBoot;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTask, mAttempt, mWorker, mBoot);
  }
};

// Lifts the throttle: the full size is booked again if it fits.
struct resume_task
{
  task_id mTask;
  std::uint32_t mAttempt = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTask, mAttempt);
  }
};

struct task_ended
{
  task_id mTask;
  std::uint32_t mAttempt = 0;
  worker_id mWorker;
  boot_id mBoot;
  attempt_result mResult = attempt_result::Failed;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTask, mAttempt, mWorker, mBoot, mResult);
  }
};

// One incarnation of a worker.
struct worker_life
{
  worker_id mWorker;
  boot_id mBoot;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mBoot);
  }
};

// Proposed only after the workers' leases have expired. The workers of a rack
// or data centre that fail together are lost in one command.
struct workers_lost
{
  std::vector<worker_life> mLives;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mLives);
  }
};

// The worker accepts no new tasks. Repeatable tasks that still run there at
// mDeadlineMs (wall clock, 0: no deadline) are stopped.
struct drain_worker
{
  worker_id mWorker;
  bool mDrain = true; // False ends the drain.
  std::int64_t mDeadlineMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mDrain, mDeadlineMs);
  }
};

// Removes a worker that is absent, or drained and empty.
struct remove_worker
{
  worker_id mWorker;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker);
  }
};

using quota_map = std::map<organisation_id, resources>;

// Replaces all quotas. An organisation above its new quota keeps its running
// tasks but starts no more.
struct quotas_changed
{
  quota_map mQuotas;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mQuotas);
  }
};

// Removes the jobs, and their keys, that finished before mBeforeMs (wall
// clock).
struct forget_jobs
{
  std::int64_t mBeforeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mBeforeMs);
  }
};

using cell_command = std::variant<submit_job,
                                  cancel_job,
                                  register_worker,
                                  start_tasks,
                                  stop_task,
                                  task_throttled,
                                  resume_task,
                                  task_ended,
                                  workers_lost,
                                  drain_worker,
                                  remove_worker,
                                  quotas_changed,
                                  forget_jobs>;

} // namespace oriolewalk::cell
