#pragma once

// The messages of a worker's poll and the reply to it; see docs/PROTOCOLS.md.
//
//   worker_poll poll{ boot_id("17"), { { task, 1, { 900, 100, 0 } } }, {} };
//   worker_reply reply = scheduler.Poll(state, worker, poll, now);

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

struct running_task
{
  task_id mTask;
  std::uint32_t mAttempt = 0;
  resources mUsage; // May be late, missing or wrong; not used for bookings.
  // The limit that the worker enforces after a throttle command. Nullopt means
  // the size that the task was started with.
  std::optional<std::int64_t> mLimitMilliProcessors;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTask, mAttempt, mUsage, mLimitMilliProcessors);
  }
};

struct reported_end
{
  task_id mTask;
  std::uint32_t mAttempt = 0;
  attempt_result mResult = attempt_result::Failed;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTask, mAttempt, mResult);
  }
};

struct worker_poll
{
  boot_id mBoot;
  std::vector<running_task> mRunning;
  std::vector<reported_end> mEnded;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mBoot, mRunning, mEnded);
  }
};

enum class worker_command_kind : std::uint8_t
{
  // Start this attempt, unless it already runs or has ended on the worker.
  Start,
  // End the attempt and report `stopped`. An attempt that the worker doesn't
  // know is reported as stopped at once and never starts afterwards.
  Stop,
  Checkpoint, // Save a checkpoint, end and report `checkpointed`.
  Throttle,   // Limit it to mSize.mMilliProcessors; also lifts a limit.
  Forget,     // The end is recorded; stop reporting it.
};

std::string_view
ToString(worker_command_kind aKind);

struct worker_command
{
  worker_command_kind mKind = worker_command_kind::Forget;
  task_id mTask;
  std::uint32_t mAttempt = 0;
  resources mSize;
  std::int64_t mExpectedMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mKind, mTask, mAttempt, mSize, mExpectedMs);
  }
};

struct worker_reply
{
  // This incarnation of the worker isn't registered, or is being declared lost.
  // It gets no lease and must register again (404 on the wire).
  bool mAnnounceAgain = false;
  milliseconds mLease{ 0 };
  std::vector<worker_command> mCommands;
  std::vector<cell_command> mProposals; // For the log; not sent to the worker.
};

} // namespace oriolewalk::cell
