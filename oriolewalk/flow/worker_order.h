#pragma once

// What a leader tells a worker, and what comes back. An adapter carries these
// to a real worker; it translates and decides nothing.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

struct start_order
{
  run_ref mRun;
  std::string mPayload;
  std::string mCheckpoint; // empty: from the beginning
  std::string mTicket;     // of the policy service; empty: none needed
};

struct stop_order
{
  run_ref mRun;
};

// Renews the lease of all that runs, and looks.
struct hold_order
{
  std::uint64_t mCursor = 0; // ends up to here may be forgotten
  std::int64_t mWaitMs = 0;  // for an end, at the worker
};

struct pace_order
{
  run_ref mRun;
  int mPercent = 100;
};

using order_body =
  std::variant<start_order, stop_order, hold_order, pace_order>;

struct worker_order
{
  std::uint64_t mId = 0;
  worker_number mWorker = 0;
  worker_id mLife; // any other life must refuse it
  std::string mAddress;
  std::uint64_t mFence = 0; // the leader's term
  // Until when all that runs there may run, on the worker's clock.
  std::optional<std::int64_t> mLeaseClockMs;
  order_body mBody;
};

enum class order_result : std::uint8_t
{
  Done,
  Superseded,    // it knows a higher fence
  Outlived,      // not higher than an attempt that was stopped or ended there
  Late,          // its lease is over already
  NoRoom,        // it doesn't fit
  TicketInvalid, // or out of date
  Malformed,     // it could not read the order
  Unhealthy,     // it has done nothing
  OtherLife,     // the life that was meant is over
  NoAnswer,      // it may have been done, or be done later
  NotSent,       // surely not delivered
};

struct listed_run
{
  run_ref mRun;
  std::string mCheckpoint;
  int mPercent = 100;
  // A serving task's tail in ms, or the processor use of any other; rough.
  std::int64_t mLoad = 0;
};

struct listed_end
{
  std::uint64_t mNumber = 0; // in the worker's own count, from 1
  run_end mEnd;
};

struct order_answer
{
  order_result mResult = order_result::NoAnswer;
  std::optional<std::int64_t> mClockMs; // the worker's clock
  // Of a hold.
  std::vector<listed_run> mRunning;
  std::vector<listed_end> mEnded;
};

} // namespace oriolewalk::flow
