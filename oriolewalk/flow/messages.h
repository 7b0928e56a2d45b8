#pragma once

// The requests of entries and of the front ends of workers and operators to the
// leading control process, and its answers.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/types.h"
#include "oriolewalk/machines/wave.h"

namespace oriolewalk::flow {

// The kinds of RPC between the scheduler's processes.
inline constexpr std::uint16_t kFlowCall = 21;   // flow_request -> flow_answer
inline constexpr std::uint16_t kAdviceCall = 22; // advice_request -> approvals
inline constexpr std::uint16_t kLeaderNotice = 23; // leader_notice -> nothing
inline constexpr std::uint16_t kOrdersCall = 24;   // order_batch -> nothing
inline constexpr std::uint16_t kAnswersCall = 25;  // answer_batch -> nothing
// timed_order_batch -> nothing
inline constexpr std::uint16_t kTimedOrdersCall = 26;

// Tells the seeds outside the leader's group where the leader is.
struct leader_notice
{
  std::string mAddress; // RPC address

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mAddress);
  }
};

// The heartbeat of an entry, which makes it available for relaying calls to the
// policy service.
struct entry_heartbeat
{
  std::string mAddress; // RPC address

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mAddress);
  }
};

// Asks whether the receiver leads. A leader that may serve acknowledges it.
struct leader_probe
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/) // NOLINT(readability-identifier-naming)
  {
  }
};

// Asks the leader which workers it has heard recently. Control processes ask
// regularly, for the case that they lead next.
struct contact_query
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/) // NOLINT(readability-identifier-naming)
  {
  }
};

// The host and the path of a caller's request. They select a queue; the rest of
// the path may name a job.
struct caller_path
{
  std::string mHost;
  std::string mPath;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mHost, mPath);
  }
};

struct job_submission
{
  caller_path mPath;
  job_spec mSpec;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPath, mSpec);
  }
};

// Requests a job's state, or the number of the queue's pending jobs if the path
// names no job.
struct job_query
{
  caller_path mPath;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPath);
  }
};

struct job_cancellation
{
  caller_path mPath;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mPath);
  }
};

struct worker_heartbeat
{
  worker_description mDescription;
  bool mDraining = false;
  std::int64_t mRemainingMs = 0; // minimum, if it drains
  std::int64_t mClockMs = 0;     // the worker's clock
  std::int64_t mSequence = 0;    // increases with each heartbeat

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mDescription, mDraining, mRemainingMs, mClockMs, mSequence);
  }
};

// The content of a heartbeat that reports no change of the worker.
struct heartbeat_digest
{
  worker_id mId;
  std::int64_t mProcessStartMs = 0; // as in worker_description
  std::int64_t mSequence = 0;
  std::int64_t mClockMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId, mProcessStartMs, mSequence, mClockMs);
  }
};

// The heartbeats that a control process accepted on behalf of the leader since
// its last summary.
struct heartbeat_summary
{
  std::vector<heartbeat_digest> mDigests;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mDigests);
  }
};

struct worker_deregistration
{
  worker_id mId;
  std::int64_t mProcessStartMs = 0; // as in worker_description

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId, mProcessStartMs);
  }
};

struct table_change
{
  queue_table mTable;
  bytes mSource;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTable, mSource);
  }
};

// A table that says who may use its queues.
struct table_change_with_access
{
  table_change mChange;
  access_rules mAccess;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mChange, mAccess);
  }
};

struct table_read
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/) // NOLINT(readability-identifier-naming)
  {
  }
};

// A control process that isn't a member requests to become one.
struct join_request
{
  std::uint64_t mNode = 0;
  std::string mAddress;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mNode, mAddress);
  }
};

// A caller's request that came with a key. A request without one is sent by
// itself, so that a leader of an earlier version can read it.
struct keyed_request
{
  std::string mKey; // a secret
  std::variant<job_submission, job_query, job_cancellation> mRequest;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mKey, mRequest);
  }
};

// An operator orders the upkeep of machines.
struct wave_start
{
  machines::wave_order mOrder;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOrder);
  }
};

struct wave_query
{
  std::uint64_t mNumber = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mNumber);
  }
};

using flow_request = std::variant<entry_heartbeat,
                                  job_submission,
                                  job_query,
                                  job_cancellation,
                                  worker_heartbeat,
                                  worker_deregistration,
                                  table_change,
                                  table_read,
                                  join_request,
                                  leader_probe,
                                  heartbeat_summary,
                                  keyed_request,
                                  table_change_with_access,
                                  contact_query,
                                  wave_start,
                                  wave_query>;

struct entry_heartbeat_answer
{
  std::int64_t mTableVersion = 0; // 0: no table yet
  entry_limits mLimits;
  std::vector<std::string> mMembers; // RPC addresses of the control processes

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTableVersion, mLimits, mMembers);
  }
};

enum class job_reply : std::uint8_t
{
  Accepted,
  Refused, // never runs; the caller may retry after mRetryAfterMs
  NoQueue,
  NotConfigured, // there is no table yet
  NotFound,      // no such job
  State,
  Pending,
  Cancelled,
  Malformed,    // mText describes the error
  Unauthorized, // no key, or one that no organisation has
  Conflict,     // the id is that of another organisation's job
};

struct job_answer
{
  job_reply mReply = job_reply::NotFound;
  std::string mText; // the state's name, or the error
  std::uint64_t mPending = 0;
  std::int64_t mRetryAfterMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mReply, mText, mPending, mRetryAfterMs);
  }
};

struct acknowledgement
{
  // In the answer to a heartbeat: later heartbeats without changes may be sent
  // in summaries.
  bool mAcceptsSummaries = false;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mAcceptsSummaries);
  }
};

// The answer to a heartbeat summary: the workers that the leader doesn't know,
// or knows in another incarnation than the reported one.
struct unknown_workers
{
  std::vector<worker_id> mIds;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mIds);
  }
};

struct table_source
{
  bytes mSource; // empty: there is no table yet

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mSource);
  }
};

struct worker_contact
{
  worker_number mWorker = 0;
  // Since the last heartbeat that reported the capacity in the state.
  std::int64_t mAgeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mAgeMs);
  }
};

// The answer to a contact query.
struct worker_contacts
{
  std::vector<worker_contact> mWorkers;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorkers);
  }
};

enum class wave_reply : std::uint8_t
{
  Accepted,
  Conflict, // another wave has the number
  NotFound,
  Running,
  Done,
};

// The answer to an operator's order or query of a wave.
struct wave_answer
{
  wave_reply mReply = wave_reply::NotFound;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mReply);
  }
};

using flow_answer = std::variant<entry_heartbeat_answer,
                                 job_answer,
                                 acknowledgement,
                                 table_source,
                                 unknown_workers,
                                 worker_contacts,
                                 wave_answer>;

// A query to the policy service, which the receiver relays.
struct advice_request
{
  step_ref mStep;
  std::vector<worker_id> mWorkers;
  std::int64_t mTimeoutMs = 0; // for the whole call

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mStep, mWorkers, mTimeoutMs);
  }
};

using approvals = std::vector<approval>;

} // namespace oriolewalk::flow
