#pragma once

// One caller's request in flight: executes the steps of its request_flow.
//
// It exists while a callback is pending (of the link, the client or the
// caller's connection). Callbacks come from several threads, but only one at a
// time, because each step waits for a single event.

#include <cstdint>
#include <memory>
#include <mutex>

#include "oriolewalk/entry/caller_api.h"
#include "oriolewalk/entry/control_link.h"
#include "oriolewalk/entry/request_flow.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/observe/metrics.h"
#include "oriolewalk/traffic/entry_limiter.h"
#include "oriolewalk/traffic/retry_budget.h"

namespace oriolewalk::entry {

// The entry's limiter and retry budgets, shared by all traffic threads. Each
// call holds a lock for O(1) work.
class shared_limits
{
public:
  explicit shared_limits(std::uint64_t aSeed);

  void SetPolicy(const traffic::share_policy& aPolicy);
  traffic::entry_verdict Admit(const protocol::claim_request& aClaim,
                               time_point aNow);
  void OnFinished(const protocol::claim_request& aClaim,
                  const traffic::control_call& aCall,
                  time_point aNow);
  void OnSuccess(const service_id& aService);
  bool TrySpendRetry(const service_id& aService, time_point aNow);
  [[nodiscard]] std::size_t InProgress();

private:
  std::mutex mMutex;
  traffic::entry_limiter mLimiter;
  std::map<service_id, traffic::retry_budget> mBudgets;
};

// One admitted call, which the limiter counts until its first claim ends. A
// request whose attempt did not start claims again. If each claim were reported
// to the limiter, it would subtract other calls from its count and admit more
// than control can handle.
class admission
{
public:
  explicit admission(shared_limits& aLimits)
    : mLimits(aLimits)
  {
  }

  void OnEnded(const protocol::claim_request& aClaim,
               const traffic::control_call& aCall,
               time_point aNow);

private:
  shared_limits& mLimits;
  bool mEnded = false;
};

// The services that all calls of an entry share.
struct call_services
{
  control_link& mLink;
  http::client& mClient;
  shared_limits& mLimits;
  observe::event_log& mEvents;
  observe::quantiles& mAddedMs; // entry and control, without the target
  observe::counter& mForwarded;
  observe::counter& mLateReports;
};

class live_call : public std::enable_shared_from_this<live_call>
{
public:
  live_call(call_services& aServices,
            http::request aRequest,
            parsed_call aCall,
            http::responder aResponder,
            std::uint64_t aSeed,
            time_point aNow);

  void Start();

private:
  void Execute(flow_step aStep);
  void SendToControl(const control_request& aRequest);
  void OnControl(const control_answer& aAnswer, time_point aSentAt);
  void Forward(const forward& aForward);
  void OnTarget(http::send_outcome aOutcome);
  void Answer(answer_caller aAnswer);
  void ReportClaim(const control_answer& aAnswer,
                   duration aElapsed,
                   time_point aNow);
  void OnCallerDisconnected();
  void WriteEvent(std::string_view aKind, std::string aDetail);

  call_services& mServices;
  http::request mRequest;
  parsed_call mCall;
  http::responder mResponder;
  request_flow mFlow;
  admission mAdmission;
  time_point mArrivedAt;
  time_point mSentAt{};
  duration mTargetTime{};
  bool mClaiming = false;
};

} // namespace oriolewalk::entry
