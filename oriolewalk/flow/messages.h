#pragma once

// What entries, workers' and operators' front ends ask of the leading control
// process, and its answers.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/flow/advice_cache.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// The kinds of call between our processes.
inline constexpr std::uint16_t kFlowCall = 21;   // flow_request -> flow_answer
inline constexpr std::uint16_t kAdviceCall = 22; // advice_request -> approvals
inline constexpr std::uint16_t kLeaderNotice = 23; // leader_notice -> nothing
inline constexpr std::uint16_t kOrdersCall = 24;   // order_batch -> nothing
inline constexpr std::uint16_t kAnswersCall = 25;  // answer_batch -> nothing

// A leader tells the seeds that aren't in its group where it is.
struct leader_notice
{
  std::string mAddress; // of its RPC

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mAddress);
  }
};

// "I am here and may carry calls to the policy service."
struct entry_heartbeat
{
  std::string mAddress; // of its RPC

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mAddress);
  }
};

// "Do you lead?" Answered by a leader that may serve.
struct leader_probe
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/) // NOLINT(readability-identifier-naming)
  {
  }
};

// What a caller named: a queue by its place, and the rest of the path.
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

// A job's state, or the queue's waiting jobs where the path names no job.
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
  std::int64_t mRemainingMs = 0; // of a worker that drains: at least
  std::int64_t mClockMs = 0;     // its own clock
  std::int64_t mSequence = 0;    // rises with each beat

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mDescription, mDraining, mRemainingMs, mClockMs, mSequence);
  }
};

// What a heartbeat said that changed nothing else.
struct heartbeat_digest
{
  worker_id mId;
  std::int64_t mProcessStartMs = 0; // as in worker_facts
  std::int64_t mSequence = 0;
  std::int64_t mClockMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId, mProcessStartMs, mSequence, mClockMs);
  }
};

// Heartbeats that a control process took for the leader since its last summary.
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
  std::int64_t mProcessStartMs = 0; // as in worker_facts

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

struct table_read
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/) // NOLINT(readability-identifier-naming)
  {
  }
};

// A control process that isn't a member asks to become one.
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
                                  heartbeat_summary>;

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
  Refused, // not taken and never run; mRetryAfterMs says when to come back
  NoQueue,
  NotConfigured, // there is no table yet
  NotFound,      // no such job
  State,
  Pending,
  Cancelled,
  Malformed, // mText says what is wrong
};

struct job_answer
{
  job_reply mReply = job_reply::NotFound;
  std::string mText; // the state's name, or the problem
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
  // Of a heartbeat: later ones that say the same may come in summaries.
  bool mAcceptsSummaries = false;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mAcceptsSummaries);
  }
};

// Of a summary: workers that the leader doesn't know (any more), or not in the
// life that was told of.
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

using flow_answer = std::variant<entry_heartbeat_answer,
                                 job_answer,
                                 acknowledgement,
                                 table_source,
                                 unknown_workers>;

// A question to the policy service, to be carried by the receiver.
struct advice_request
{
  step_ref mStep;
  std::vector<worker_id> mWorkers;
  std::int64_t mTimeoutMs = 0; // for the whole answer

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mStep, mWorkers, mTimeoutMs);
  }
};

using approvals = std::vector<approval>;

} // namespace oriolewalk::flow
