#pragma once

// The operators' API at the leader. Reads are answered at once; changes are
// proposed, and answered when they are committed.
//
// Every change is safe to send again: weights by change id, jobs by key,
// cancel and drain by what they ask for. Owned by the control core; no I/O.

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/control/call.h"
#include "oriolewalk/control/replicated_state.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::control {

class control_core;

// What a path and its query ask for.
struct parsed_path
{
  std::vector<std::string> mParts; // "v1", "jobs", "job-1"
  std::map<std::string, std::string> mQuery;
};

parsed_path
ParsePath(std::string_view aPath);

class operator_desk
{
public:
  explicit operator_desk(control_core& aCore)
    : mCore(aCore)
  {
  }

  void Handle(call_id aCall,
              const protocol::operator_request& aRequest,
              time_point aNow,
              std::int64_t aWallMs);

private:
  void Weights(call_id aCall,
               const protocol::operator_request& aRequest,
               const parsed_path& aPath,
               time_point aNow,
               std::int64_t aWallMs);
  void EditWeights(call_id aCall,
                   const protocol::operator_request& aRequest,
                   time_point aNow,
                   std::int64_t aWallMs);
  void Jobs(call_id aCall,
            const protocol::operator_request& aRequest,
            const parsed_path& aPath,
            time_point aNow,
            std::int64_t aWallMs);
  void SubmitJob(call_id aCall, const protocol::operator_request& aRequest);
  void CancelJob(call_id aCall, cell::job_number aJob);
  void Workers(call_id aCall,
               const protocol::operator_request& aRequest,
               const parsed_path& aPath,
               std::int64_t aWallMs);
  void Targets(call_id aCall,
               const protocol::operator_request& aRequest,
               const parsed_path& aPath,
               time_point aNow);
  void Members(call_id aCall,
               const protocol::operator_request& aRequest,
               time_point aNow);
  void Status(call_id aCall, time_point aNow);
  void Answer(call_id aCall, protocol::operator_answer aAnswer);
  void NotFound(call_id aCall, const protocol::operator_request& aRequest);

  control_core& mCore;
  std::size_t mProposedTasks = 0; // of jobs that aren't committed
};

} // namespace oriolewalk::control
