#pragma once

// The commands that change a cell_state, as they stand in the replicated log.
// A command is a proposal: the state judges it again when it is applied and
// refuses what is no longer true.

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

// Idempotent by (organisation, key): the same spec again gives the same job,
// another spec is a conflict.
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

// A new boot says that nothing of an earlier life still runs. Boots should be
// decimal numbers that rise with each life, such as the time of its start: a
// lower one is then a late copy, and is refused.
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

// Batch tasks and replicas are judged one by one; the tasks of one gang are
// taken together or not at all.
struct start_tasks
{
  std::vector<placement> mPlacements;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPlacements);
  }
};

// Asks for the end, or with Throttle for the slowing, of an attempt. The
// booking stays until the worker confirms.
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

// The worker confirmed the throttle: the booking shrinks.
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

// Takes the throttle back: the whole size is booked again, if it fits.
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

// Proposed only after the lease has surely lapsed. A rack or data centre that
// goes quiet at once is one command.
struct workers_lost
{
  std::vector<worker_life> mLives;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mLives);
  }
};

// No new work from now on. mDeadlineMs (wall clock, 0: none) is when
// repeatable work that still runs there is stopped.
struct drain_worker
{
  worker_id mWorker;
  bool mDrain = true; // False takes it back.
  std::int64_t mDeadlineMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mDrain, mDeadlineMs);
  }
};

// A worker that is absent, or drained and empty, leaves the state.
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

// Replaces all quotas. Who is above a new quota keeps what runs and starts
// nothing more.
struct quotas_changed
{
  quota_map mQuotas;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mQuotas);
  }
};

// Finished jobs, with their keys, that ended before mBeforeMs (wall clock).
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
