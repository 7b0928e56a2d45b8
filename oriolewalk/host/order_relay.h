#pragma once

// Orders on their way from the leader to workers: made here, or handed over to
// the control process that carries them; and answers on their way back.
//
//   order_relay relay(context, rpc, self, workers, options);
//   relay.Send(order, [](const order_answer& aAnswer) {...});   // leader
//   relay.Carry(std::move(batch));                              // carrier
//   relay.Answered(answers);                                    // leader
//
// Each order that was sent is answered exactly once: by its worker, or as
// NotSent or NoAnswer when its carrier can't be reached or says nothing within
// the order's own time and a margin. An answer that comes after that is
// dropped, as a worker's late answer always was.
//
// Batches: what is given within kGather goes in one message. At 1,200 starts a
// second each alone would cost two processes a wake-up of two threads. Answers
// also wait until the leader has received the batch before, so that the later
// it is, the fewer messages it gets.
//
// An order whose time to be sent is over (worker_order::mSendBefore) is dropped
// by whoever holds it and answered as NotSent: a suspended carrier drops it
// when it wakes, and also one that waited in the carrier's socket meanwhile.
//
// Owned by the control host; the io_context's thread.

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/flow/options.h"
#include "oriolewalk/flow/transit_delay.h"
#include "oriolewalk/flow/worker_order.h"
#include "oriolewalk/host/policy_port.h"
#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::host {

class order_relay
{
public:
  // aCarrierFailed: orders could not be handed over to this address.
  order_relay(boost::asio::io_context& aContext,
              wire::rpc_node& aRpc,
              std::string aSelf,
              worker_port aWorkers,
              flow::flow_options aOptions,
              std::function<void(const std::string&)> aCarrierFailed);

  void Send(const flow::worker_order& aOrder, order_callback aDone);
  void Carry(flow::timed_order_batch aBatch);
  // A batch from a leader of an earlier version, whose orders say no time.
  void Carry(const flow::order_batch& aBatch);
  void Answered(const flow::answer_batch& aBatch);
  // Ends what carriers left unanswered; every few milliseconds.
  void Tick(time_point aNow);
  // Handed over and not yet answered.
  [[nodiscard]] std::size_t Open() const { return mOpen.size(); }

private:
  // Fence and number: no other order has both.
  using order_key = std::pair<std::uint64_t, std::uint64_t>;

  [[nodiscard]] duration BoundOf(const flow::worker_order& aOrder) const;
  void SendToWorker(const flow::worker_order& aOrder, order_callback aDone);
  void CarryAll(const std::string& aLeader,
                const std::vector<flow::worker_order>& aOrders);
  void ArmFlush();
  void Flush();
  void HandOver(const std::string& aCarrier,
                std::vector<flow::worker_order> aOrders);
  void HandedOver(const std::string& aCarrier,
                  const std::vector<order_key>& aOrders,
                  const error& aProblem);
  void GiveBack(const std::string& aLeader);
  void End(const order_key& aKey, const flow::order_answer& aAnswer);

  boost::asio::io_context& mContext;
  wire::rpc_node& mRpc;
  std::string mSelf;
  worker_port mWorkers;
  flow::flow_options mOptions;
  std::function<void(const std::string&)> mCarrierFailed;
  runtime_timer mTimer;
  bool mFlushArmed = false;
  std::map<std::string, std::vector<flow::worker_order>> mToHandOver;
  std::map<std::string, std::vector<flow::answered_order>> mToGiveBack;
  std::set<std::string> mGivingBack; // leaders that a batch is on its way to
  std::map<order_key, order_callback> mOpen;
  // When orders are due, the next one first; answered ones too, until then.
  std::priority_queue<std::pair<time_point, order_key>,
                      std::vector<std::pair<time_point, order_key>>,
                      std::greater<>>
    mDue;
  std::map<std::string, flow::transit_delay> mTransitDelays; // by leader
};

} // namespace oriolewalk::host
