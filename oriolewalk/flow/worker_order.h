#pragma once

// What a leader tells a worker, and what comes back. An adapter carries these
// to a real worker; it translates and decides nothing. Both also travel between
// control processes, in batches, where others carry the leader's orders.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// Before the first number of what a leader sends in its term: numbers go on
// from term to term. A process that leads twice within a second still gets
// answers to what it sent the first time; numbered from 1 again, they were
// taken for answers of other workers to other orders, and runs were given up
// that went on.
constexpr std::uint64_t
OrderIdBase(std::uint64_t aTerm)
{
  constexpr unsigned kNumberBits = 32;
  return aTerm << kNumberBits;
}

// What a worker compares orders by: it does nothing for a lower one than it has
// seen. A later term's is higher, and within a term a later life's. Were it the
// term alone, a worker that starts again under its id would carry out what was
// on its way to the former process, after its runs were given up.
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
  std::string mCheckpoint; // empty: from the beginning
  std::string mTicket;     // of the policy service; empty: none needed

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

// Renews the lease of all that runs, and looks.
struct poll_order
{
  std::uint64_t mCursor = 0; // ends up to here may be forgotten
  std::int64_t mWaitMs = 0;  // for an end, at the worker

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
  worker_id mWorkerId; // any other life must refuse it
  // The one process of that life that may get it, as in worker_facts: it goes
  // only over a connection on which that process has told its start. 0: any.
  std::int64_t mProcessStartMs = 0;
  std::string mAddress;
  std::string mRelay;       // RPC address of who makes the call; empty: leader
  std::uint64_t mFence = 0; // FenceOf the leader's term and mWorker
  // Until when all that runs there may run, on the worker's clock.
  std::optional<std::int64_t> mLeaseClockMs;
  order_body mBody;

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
  Superseded,    // it knows a higher fence
  StaleAttempt,  // not higher than an attempt that was stopped or ended there
  LeaseExpired,  // its lease is over already
  NoCapacity,    // it doesn't fit
  TicketInvalid, // or out of date
  Malformed,     // it could not read the order
  Unhealthy,     // it has done nothing
  OtherIncarnation, // the life that was meant is over
  NoAnswer,         // it may have been done, or be done later
  NotSent,          // surely not delivered; also if another process is there
};

struct listed_run
{
  run_ref mRun;
  std::string mCheckpoint;
  int mPercent = 100;
  // A serving task's tail in ms, or the processor use of any other; rough.
  std::int64_t mLoad = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRun, mCheckpoint, mPercent, mLoad);
  }
};

struct listed_end
{
  std::uint64_t mNumber = 0; // in the worker's own count, from 1
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
  // Whose lists these are, or which process is there instead of the one that
  // the order was meant for; as in worker_facts.
  std::int64_t mProcessStartMs = 0;
  // Of a hold.
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnded;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mResult, mClockMs, mProcessStartMs, mRunning, mEnded);
  }
};

// Orders of one leader for a carrier, and their answers. A fence is never used
// by two leaders, so it tells the answers of one term from those of another.
struct order_batch
{
  std::string mLeader; // RPC address; the answers go there
  std::vector<worker_order> mOrders;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mLeader, mOrders);
  }
};

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
