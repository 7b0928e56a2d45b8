#pragma once

// The queue of one class of one service: organisations in weighted fair order,
// within each its callers in even fair order, within each caller first come,
// first served.
//
// Load pattern: a hot caller or key inside an organisation, a hot organisation
// inside a class. Without the two levels the sender with the longest queue
// gets the slots, and the others wait behind it. Slot time is charged at
// dispatch by the estimate and set right by the measured time.
//
// The root of its flows and callers: they change only through it. Owned by a
// service_pool; one thread. Cost: O(log flows + log callers) for each change.

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
  Deadline, // the answer would come too late
  MaxWait,  // the class allows no longer wait
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

// One organisation's work in the class.
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
  // nullptr if there are aMaxFlows already.
  flow* FindOrAddFlow(const organisation_id& aOrganisation,
                      const share_rule& aRule,
                      std::size_t aMaxFlows,
                      time_point aNow);
  // Gives each flow its rule of the new policy.
  void SetPolicy(const share_policy& aPolicy,
                 work_class aClass,
                 time_point aNow);

  queue_position Push(flow& aFlow, waiting_request aRequest);
  void Remove(const queue_position& aPosition);
  // The first request of the next flow for which aMayRun holds; a null flow if
  // there is none. It stays queued until Remove.
  template<class Predicate>
  queue_position Next(Predicate aMayRun) const
  {
    flow* next = mOrder.First(aMayRun);
    return next == nullptr ? queue_position{} : Front(*next);
  }

  // A slot was given to the flow: charged by the estimate; returns the charge.
  double Start(const queue_position& aPosition);
  // An attempt of an earlier leader: it holds a slot, and was charged there.
  void StartRestored(flow& aFlow);
  // aCharged is what Start gave (0 for restored ones).
  void Finish(flow& aFlow,
              std::string_view aCallerKey,
              double aCharged,
              duration aHeld,
              bool aMeasured);

  // Seconds that a further request of the caller would wait, if the class
  // drains by aDrain slots.
  [[nodiscard]] double ExpectedWait(const flow& aFlow,
                                    const std::string& aCallerKey,
                                    double aDrain) const;
  // The same for the last one of the caller's queue.
  [[nodiscard]] double ExpectedWaitOfLast(const flow& aFlow,
                                          const caller_queue& aCaller,
                                          double aDrain) const;
  [[nodiscard]] static std::size_t WaitingOf(const flow& aFlow,
                                             const std::string& aCallerKey);
  // Measured mean of the flow, else of the class, else a first guess.
  [[nodiscard]] double Estimate(const flow& aFlow) const;

  // By name, so that what is done to them is done in one order everywhere.
  // Linear in the flows: for reviews and new policies.
  [[nodiscard]] std::vector<flow*> WaitingFlows() const;
  [[nodiscard]] const auto& Flows() const { return mFlows; }
  [[nodiscard]] std::size_t Waiting() const { return mWaiting; }
  [[nodiscard]] std::uint32_t Held() const { return mHeld; }
  [[nodiscard]] const service_time& Time() const { return mTime; }

  // Forgets flows that neither wait nor run and have nothing to remember, if
  // there are many: organisations are named by callers.
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
