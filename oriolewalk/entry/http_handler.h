#pragma once

// Dispatches the entry's HTTP requests: callers' requests become live calls,
// all others are forwarded to the leader.
//
// Owned by the entry process; called on any traffic thread.

#include <atomic>
#include <cstdint>
#include <string>

#include "oriolewalk/entry/live_call.h"
#include "oriolewalk/entry/serving_state.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/observe/metrics.h"

namespace oriolewalk::entry {

struct entry_identity
{
  ledger::owning_entry mOwner;
  data_centre_id mDataCentre;
};

class http_handler
{
public:
  http_handler(entry_identity aIdentity,
               call_services& aServices,
               serving_state& aServing,
               observe::metric_registry& aMetrics,
               std::uint64_t aSeed);

  void Handle(http::request aRequest, const http::responder& aResponder);

private:
  void HandleCaller(http::request aRequest, const http::responder& aResponder);
  void HandleTarget(const http::request& aRequest,
                    const std::string& aTarget,
                    const http::responder& aResponder);
  void HandleWorker(const http::request& aRequest,
                    const std::string& aWorker,
                    bool aPoll,
                    const http::responder& aResponder);
  void HandleOperator(const http::request& aRequest,
                      const http::responder& aResponder);
  void HandleHealth(const http::responder& aResponder) const;
  // Sends the request to the leader and converts its answer to HTTP.
  void ForwardToLeader(protocol::request_body aBody,
                       duration aTimeout,
                       const http::responder& aResponder);

  entry_identity mIdentity;
  call_services& mServices;
  serving_state& mServing;
  observe::metric_registry& mMetrics;
  std::uint64_t mSeed;
  std::atomic<std::uint64_t> mCallCount = 0;
  observe::counter& mCalls;
  observe::counter& mRefusedByEntry;
};

} // namespace oriolewalk::entry
