#pragma once

// The queue of one class of one service. Organisations are served in weighted
// fair order, the callers of an organisation in equal shares, and the requests
// of a caller in FIFO order.
//
// This handles a hot caller or key within an organisation and a hot
// organisation within a class. Without the two levels the sender with the
// longest queue gets the slots and all others wait behind it. Slot time is
// charged at dispatch by an estimate and corrected by the measured time.
//
// Owns its flows and callers, which change only through it. Owned by a
// service_pool; used by one thread. Each change costs O(log flows + log
// callers).

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/fair_order.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/service_time.h"
#include "oriolewalk/traffic/token_bucket.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

enum class latest_start_bound : std::uint8_t
{
  Deadline, // after it the answer would be too late
  MaxWait,  // the longest wait that the class allows
};

struct waiting_request
{
  arrival mArrival;
  time_point mArrivedAt{};
  time_point mLatestStart{};
  latest_start_bound mLatestStartBound = latest_start_bound::Deadline;
};

struct caller_queue
{
  std::string mKey;
  fair_tag mTag;
  std::list<waiting_request> mWaiting;
};

// The work of one organisation in the class.
struct flow
{
  organisation_id mOrganisation;
  share_rule mRule;
  fair_tag mTag;
  std::unordered_map<std::string, caller_queue> mCallers; // that wait
  fair_order<caller_queue> mOrder;
  std::size_t mWaiting = 0;
  std::uint32_t mHeld = 0;
  double mChargedSeconds = 0;
  service_time mTime;
  token_bucket mBucket;
};

struct queue_position
{
  flow* mFlow = nullptr;
  caller_queue* mCaller = nullptr;
  std::list<waiting_request>::iterator mRequest;
};

class class_queue
{
public:
  // Returns nullptr if the flow is new and there are aMaxFlows already.
  flow* FindOrAddFlow(const organisation_id& aOrganisation,
                      const share_rule& aRule,
                      std::size_t aMaxFlows,
                      time_point aNow);
  // Applies the rules of the new policy to all flows.
  void SetPolicy(const share_policy& aPolicy,
                 work_class aClass,
                 time_point aNow);

  queue_position Push(flow& aFlow, waiting_request aRequest);
  void Remove(const queue_position& aPosition);
  // The first request of the next flow for which aMayRun holds. The position
  // has a null flow if there is none. The request stays queued until Remove.
  template<class Predicate>
  queue_position Next(Predicate aMayRun) const
  {
    flow* next = mOrder.First(aMayRun);
    return next == nullptr ? queue_position{} : Front(*next);
  }

  // Takes a slot for the flow, charges the estimate and returns the charge.
  double Start(const queue_position& aPosition);
  // Takes a slot for an attempt that an earlier leader started and charged.
  void StartRestored(flow& aFlow);
  // aCharged is the value that Start returned, or 0 for a restored attempt.
  void Finish(flow& aFlow,
              std::string_view aCallerKey,
              double aCharged,
              duration aHeld,
              bool aMeasured);

  // Expected wait in seconds of another request of the caller if the class is
  // served by aDrain slots.
  [[nodiscard]] double ExpectedWait(const flow& aFlow,
                                    const std::string& aCallerKey,
                                    double aDrain) const;
  // The same for the last request in the caller's queue.
  [[nodiscard]] double ExpectedWaitOfLast(const flow& aFlow,
                                          const caller_queue& aCaller,
                                          double aDrain) const;
  [[nodiscard]] static std::size_t WaitingOf(const flow& aFlow,
                                             const std::string& aCallerKey);
  // Seconds: the measured mean of the flow, else that of the class, else an
  // initial estimate.
  [[nodiscard]] double Estimate(const flow& aFlow) const;

  // Sorted by organisation, so that the order of operations on them is
  // deterministic. Linear in the flows: meant for reviews and new policies.
  [[nodiscard]] std::vector<flow*> WaitingFlows() const;
  [[nodiscard]] const auto& Flows() const { return mFlows; }
  [[nodiscard]] std::size_t Waiting() const { return mWaiting; }
  [[nodiscard]] std::uint32_t Held() const { return mHeld; }
  [[nodiscard]] const service_time& Time() const { return mTime; }

  // Evicts flows that neither wait nor run and have no state to preserve, once
  // there are many. Organisations are named by callers, so that their number is
  // not bounded otherwise.
  void DropIdle(time_point aNow);

private:
  static queue_position Front(flow& aFlow);
  void UpdateActivation(flow& aFlow);
  [[nodiscard]] double WaitBehind(const flow& aFlow,
                                  double aInCaller,
                                  double aInFlow,
                                  double aDrain) const;

  std::unordered_map<organisation_id, std::unique_ptr<flow>> mFlows;
  fair_order<flow> mOrder;
  std::size_t mWaiting = 0;
  std::uint32_t mHeld = 0;
  service_time mTime;
};

} // namespace oriolewalk::traffic
