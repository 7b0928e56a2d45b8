#pragma once

// Orders from the leader to a worker, and the worker's answers. An adapter
// translates them for a real worker and makes no decisions. Both are also sent
// between control processes, in batches, where relays make the leader's calls.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/codec.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// The number before the first id that a leader uses in its term, so that ids
// keep rising from term to term. A process that leads twice within a second
// still receives answers to the orders of its first term. When ids restarted at
// 1, those answers were matched to other orders to other workers, and runs that
// were still executing were dropped.
constexpr std::uint64_t
OrderIdBase(std::uint64_t aTerm)
{
  constexpr unsigned kNumberBits = 32;
  return aTerm << kNumberBits;
}

// The fencing token of orders to a worker, which rejects an order with a lower
// fence than it has seen. The fence rises with the term and, within a term,
// with the worker's incarnation. If it were the term alone, a worker that
// restarts under its id would execute orders that were in flight to its former
// process, after its runs were dropped.
constexpr std::uint64_t
FenceOf(std::uint64_t aTerm, worker_number aWorker)
{
  constexpr unsigned kWorkerBits = 32;
  return (aTerm << kWorkerBits) | aWorker;
}

struct start_order
{
  run_ref mRun;
  std::string mPayload;
  std::string mCheckpoint; // empty: start from the beginning
  std::string mTicket;     // from the policy service; empty: none needed

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRun, mPayload, mCheckpoint, mTicket);
  }
};

struct stop_order
{
  run_ref mRun;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRun);
  }
};

// Renews the lease of all runs on the worker and polls its state.
struct poll_order
{
  std::uint64_t mCursor = 0; // the worker may forget ends up to it
  std::int64_t mWaitMs = 0;  // how long the worker may wait for an end

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mCursor, mWaitMs);
  }
};

struct pace_order
{
  run_ref mRun;
  int mPercent = 100;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRun, mPercent);
  }
};

using order_body =
  std::variant<start_order, stop_order, poll_order, pace_order>;

struct worker_order
{
  std::uint64_t mId = 0;
  worker_number mWorker = 0;
  worker_id mWorkerId; // a process with another id must refuse it
  // The start time of the only process that may receive the order, as in
  // worker_description. The order is sent only over a connection on which that
  // process has reported this time. 0: any process.
  std::int64_t mProcessStartMs = 0;
  std::string mAddress;
  std::string mRelay;       // RPC address; empty: the leader makes the call
  std::uint64_t mFence = 0; // FenceOf() the leader's term and mWorker
  // When the lease of all runs there ends, on the worker's clock.
  std::optional<std::int64_t> mLeaseClockMs;
  // The order may be sent to the worker only before this time, on the clock of
  // the process that holds the order: what the leader knew when it gave the
  // order is too old afterwards. None: at any time. A batch for a relay carries
  // the time that remains.
  std::optional<time_point> mSendBefore;
  order_body mBody;

  [[nodiscard]] bool IsExpired(time_point aNow) const
  {
    return mSendBefore && aNow >= *mSendBefore;
  }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mId,
             mWorker,
             mWorkerId,
             mProcessStartMs,
             mAddress,
             mFence,
             mLeaseClockMs,
             mBody);
  }
};

enum class order_result : std::uint8_t
{
  Done,
  Superseded,       // the worker has seen a higher fence
  StaleAttempt,     // not newer than an attempt that was stopped or ended there
  LeaseExpired,     // the order's lease is already over
  NoCapacity,       // the run doesn't fit
  TicketInvalid,    // or expired
  Malformed,        // the worker could not parse the order
  Unhealthy,        // the worker has done nothing
  OtherIncarnation, // the intended incarnation is over
  NoAnswer,         // the order may have been executed, or may be later
  NotSent,          // certainly not delivered; also if another process is there
};

struct listed_run
{
  run_ref mRun;
  std::string mCheckpoint;
  int mPercent = 100;
  // The tail latency in ms of a latency-sensitive task, or the processor use of
  // any other; approximate.
  std::int64_t mLoad = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRun, mCheckpoint, mPercent, mLoad);
  }
};

struct listed_end
{
  std::uint64_t mNumber = 0; // the worker's own sequence number, from 1
  run_end mEnd;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mNumber, mEnd);
  }
};

struct order_answer
{
  order_result mResult = order_result::NoAnswer;
  std::optional<std::int64_t> mClockMs; // the worker's clock
  // The start time of the process that the lists belong to, or of the process
  // that is there instead of the intended one; as in worker_description.
  std::int64_t mProcessStartMs = 0;
  // Only in the answer to a poll.
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnded;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mResult, mClockMs, mProcessStartMs, mRunning, mEnded);
  }
};

// Orders from one leader for a relay, and their answers. Two leaders never use
// the same fence, so it distinguishes the answers of one term from those of
// another.
struct order_batch
{
  std::string mLeader; // RPC address, to which the answers are sent
  std::vector<worker_order> mOrders;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mLeader, mOrders);
  }
};

// An order_batch with the times that its orders may still wait. A process of an
// earlier version doesn't know this message and takes none of the orders.
struct timed_order_batch
{
  order_batch mBatch;
  std::int64_t mSentAtNs = 0; // on the leader's steady clock
  // For each order, the nanoseconds from mSentAtNs to its mSendBefore.
  std::vector<std::optional<std::int64_t>> mRemainingNs;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mBatch, mSentAtNs, mRemainingNs);
  }
};

// aSentAt: the leader's time of sending.
timed_order_batch
MakeTimedBatch(order_batch aBatch, time_point aSentAt);

// Returns the batch's orders with mSendBefore on the relay's clock. aExcess:
// how much longer the batch was in transit than is usual, see transit_delay.
std::vector<worker_order>
TakeOrders(timed_order_batch aBatch, time_point aReceivedAt, duration aExcess);

struct answered_order
{
  std::uint64_t mFence = 0;
  std::uint64_t mId = 0;
  order_answer mAnswer;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mFence, mId, mAnswer);
  }
};

struct answer_batch
{
  std::vector<answered_order> mAnswers;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mAnswers);
  }
};

} // namespace oriolewalk::flow
