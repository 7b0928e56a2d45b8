#pragma once

// Builds a replicated state with queues, workers and jobs by commands, as the
// leader would propose them.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/flow/flow_state.h"

namespace oriolewalk::flow::testing {

inline queue_row
Queue(std::string aName, int aPriority)
{
  queue_row row;
  row.mName = aName;
  row.mHost = "jobs.example";
  row.mPrefix = "/" + std::move(aName) + "/";
  row.mService = service_id("pay");
  row.mTimeoutMs = 3'000;
  row.mTargetMs = 250;
  row.mPriority = aPriority;
  row.mMaxAttempts = 2;
  row.mStretch = 1.5;
  return row;
}

inline organisations::organisation_row
Organisation(const std::string& aName,
             std::int64_t aMilliProcessors,
             double aWeight = 1)
{
  return { organisation_id(aName),
           { aName + "-key" },
           aWeight,
           { aMilliProcessors, 0, 0 } };
}

inline step_spec
Step(std::uint32_t aCount, std::int64_t aMilliProcessors)
{
  step_spec step;
  step.mCount = aCount;
  step.mSize = { aMilliProcessors, 100, 0 };
  step.mEstimateMs = 1'000;
  return step;
}

inline worker_description
Worker(const std::string& aId, std::int64_t aMilliProcessors = 8'000)
{
  worker_description description;
  description.mId = worker_id(aId);
  description.mAddress = "10.0.0." + std::to_string(aId.size()) + ":80";
  description.mService = service_id("pay");
  description.mRack = rack_id("r1");
  description.mCapacity = { aMilliProcessors, 10'000, 0 };
  return description;
}

// Applies commands, and offers short functions for those that tests need.
class state_builder
{
public:
  explicit state_builder(std::vector<queue_row> aQueues = { Queue("fees", 0),
                                                            Queue("runs", 2) })
  {
    queue_table table;
    table.mVersion = 1;
    table.mQueues = std::move(aQueues);
    table.mServices = { { service_id("pay"), false, false } };
    Apply(put_table{ table, "source" });
  }

  apply_outcome Apply(command_body aBody, std::int64_t aWallMs = 1'000)
  {
    return mState.Apply({ aWallMs, std::move(aBody) });
  }

  worker_number AddWorker(const worker_description& aDescription)
  {
    Apply(register_worker{ aDescription, false });
    return mState.NumberOf(aDescription.mId);
  }

  job_id AddJob(const std::string& aId,
                std::vector<step_spec> aSteps,
                const std::string& aQueue = "fees")
  {
    job_spec spec;
    spec.mPayload = "payload";
    spec.mSteps = std::move(aSteps);
    Apply(submit_job{ job_id(aId), *mState.Table().FindQueue(aQueue), spec });
    return job_id(aId);
  }

  // Puts a further table, in which only the organisations' callers may use the
  // queues that aPublicQueues doesn't name.
  void PutOrganisations(
    std::vector<organisations::organisation_row> aOrganisations,
    std::vector<std::string> aPublicQueues = {})
  {
    queue_table table = mState.Table();
    ++table.mVersion;
    Apply(put_table_with_access{
      { std::move(table), "source" },
      { std::move(aOrganisations), std::move(aPublicQueues) } });
  }

  job_id AddOwnedJob(const std::string& aId,
                     const std::string& aOwner,
                     std::vector<step_spec> aSteps,
                     const std::string& aQueue = "fees")
  {
    job_spec spec;
    spec.mSteps = std::move(aSteps);
    Apply(submit_owned_job{
      { job_id(aId), *mState.Table().FindQueue(aQueue), spec },
      organisation_id(aOwner) });
    return job_id(aId);
  }

  static run_ref Run(const job_id& aJob,
                     attempt_t aAttempt,
                     std::uint32_t aIndex = 0,
                     std::uint32_t aStep = 0)
  {
    return { { aJob, 0, aStep, aIndex }, aAttempt };
  }

  apply_outcome Start(const run_ref& aRun, worker_number aWorker)
  {
    return Apply(start_runs{ { { aRun, aWorker } } });
  }

  apply_outcome End(const run_ref& aRun,
                    worker_number aWorker,
                    run_outcome aOutcome,
                    std::uint64_t aCursor = 1,
                    std::string aCheckpoint = {})
  {
    return Apply(end_runs{
      aWorker, { { aRun, aOutcome, std::move(aCheckpoint) } }, aCursor });
  }

  flow_state mState;
};

} // namespace oriolewalk::flow::testing
