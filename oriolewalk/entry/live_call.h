#pragma once

// One caller's request in flight: carries out the steps of its request_flow.
//
// Lives as long as something will call it back (the link, the client or the
// caller's connection). Callbacks come from several threads, but one at a
// time: each step waits for one thing.

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

// The entry's limiter and retry budgets, shared by all traffic threads; a short
// lock around O(1) work.
class shared_limits
{
public:
  explicit shared_limits(std::uint64_t aSeed);

  void SetPolicy(const traffic::share_policy& aPolicy);
  traffic::entry_verdict Admit(const protocol::claim_request& aClaim,
                               time_point aNow);
  void Finished(const protocol::claim_request& aClaim,
                const traffic::control_call& aCall,
                time_point aNow);
  void Succeeded(const service_id& aService);
  bool SpendRetry(const service_id& aService, time_point aNow);
  [[nodiscard]] std::size_t InProgress();

private:
  std::mutex mMutex;
  traffic::entry_limiter mLimiter;
  std::map<service_id, traffic::retry_budget> mBudgets;
};

// One admitted call. It ends once: a request whose attempt did not start claims
// again, and each of its claims would otherwise take another call's place out
// of the limiter's count, which then admits more than control can take.
class admission
{
public:
  explicit admission(shared_limits& aLimits)
    : mLimits(aLimits)
  {
  }

  void Ended(const protocol::claim_request& aClaim,
             const traffic::control_call& aCall,
             time_point aNow);

private:
  shared_limits& mLimits;
  bool mEnded = false;
};

// What all calls of an entry use.
struct call_services
{
  control_link& mLink;
  http::client& mClient;
  shared_limits& mLimits;
  observe::event_log& mEvents;
  observe::quantiles& mAdded; // milliseconds by us, over what the target took
  observe::counter& mForwarded;
  observe::counter& mGivenBack;
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
  void Do(flow_step aStep);
  void Ask(const ask_control& aAsk);
  void OnControl(const control_answer& aAnswer, time_point aAskedAt);
  void Forward(const forward& aForward);
  void OnTarget(http::send_outcome aOutcome);
  void Answer(answer_caller aAnswer);
  void NoteClaim(const control_answer& aAnswer,
                 duration aTook,
                 time_point aNow);
  void OnHangUp();
  void NoteEvent(std::string_view aKind, std::string aDetail);

  call_services& mServices;
  http::request mRequest;
  parsed_call mCall;
  http::responder mResponder;
  request_flow mFlow;
  admission mAdmission;
  time_point mArrivedAt;
  time_point mSentAt{};
  duration mTargetTook{};
  bool mClaiming = false;
};

} // namespace oriolewalk::entry
