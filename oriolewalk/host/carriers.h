#pragma once

// Who carries a leader's orders to workers: the leader itself while there are
// few workers, else the other control processes, each a share of the workers.
//
//   carriers carry({});
//   const std::string& by = carry.For(worker, members, workers);
//   carry.Sent(order, by, now);
//   if (carry.Answered(id, answer.mResult)) { ... }
//   for (std::uint64_t id : carry.TakeLost(now)) { /* no answer will come */ }
//
// The load it answers: 600 starts a second over 350 workers are 1,400 calls,
// and each call costs the process that makes it about a quarter of a
// millisecond, while the followers are idle. Without this the leader's share of
// a processor is used up by its calls, and every decision waits behind them.
//
// Safe, since an order has the leader's fence and a lease that ends at a point
// of the worker's clock: one that a carrier delays or loses is no worse than
// one that is late on the network.
//
// Pure but for its own memory; no clock, no I/O.

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/options.h"
#include "oriolewalk/flow/worker_order.h"

namespace oriolewalk::host {

// From a leader to a carrier.
struct order_batch
{
  std::string mReplyTo; // the leader's RPC address
  std::uint64_t mTerm = 0;
  std::vector<flow::worker_order> mOrders;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mReplyTo, mTerm, mOrders);
  }
};

struct carried_answer
{
  std::uint64_t mOrder = 0;
  flow::order_answer mAnswer;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOrder, mAnswer);
  }
};

// And back.
struct answer_batch
{
  std::uint64_t mTerm = 0;
  std::vector<carried_answer> mAnswers;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mTerm, mAnswers);
  }
};

class carriers
{
public:
  // Above so many workers the leader's calls are carried by others. 48 workers
  // cost it 0.12 of a core; 100 are half of a small instance's share.
  static constexpr std::size_t kLeastWorkers = 100000;

  explicit carriers(flow::flow_options aOptions)
    : mOptions(aOptions)
  {
  }

  // The RPC address of who carries orders to that worker; empty: the leader.
  // aOthers: the other control processes that are heard, in any stable order.
  [[nodiscard]] std::string For(flow::worker_number aWorker,
                                std::span<const std::string> aOthers,
                                std::size_t aWorkers) const;
  void Sent(const flow::worker_order& aOrder, time_point aNow);
  // False: nobody waits for this answer (any more).
  bool Answered(std::uint64_t aOrder, flow::order_result aResult);
  // Orders of which no answer can be expected any more.
  std::vector<std::uint64_t> TakeLost(time_point aNow);
  // A new term: nothing of an older one is waited for.
  void Clear();

private:
  struct open_order
  {
    flow::worker_number mWorker = 0;
    time_point mDue;
  };

  flow::flow_options mOptions;
  std::map<std::uint64_t, open_order> mOpen;
  // After an order without an answer the worker's next ones go another way: it
  // may be the carrier that can't reach it.
  std::map<flow::worker_number, std::size_t> mShift;
};

} // namespace oriolewalk::host
