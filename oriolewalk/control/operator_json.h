#pragma once

// The JSON of the operators' API: what comes in is checked field by field,
// what goes out is as docs/PROTOCOLS.md says. Pure functions.

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/scheduler.h"
#include "oriolewalk/consensus/raft_node.h"
#include "oriolewalk/protocol/messages.h"
#include "oriolewalk/traffic/stats.h"
#include "oriolewalk/weights/in_force.h"
#include "oriolewalk/weights/weights_register.h"

namespace oriolewalk::control {

protocol::operator_answer
JsonAnswer(std::uint16_t aStatus, const boost::json::value& aBody);
// {"error":…,"step":…,"peer":…} with the status that fits the code.
protocol::operator_answer
ErrorAnswer(const error& aError);
protocol::operator_answer
InForceAnswer(std::uint64_t aVersion, const weights::in_force_report& aReport);
// 200, 409, 400 or 422; an accepted edit is answered by InForceAnswer instead.
protocol::operator_answer
EditAnswer(const weights::edit_outcome& aOutcome);

boost::json::object
InForceJson(std::uint64_t aVersion, const weights::in_force_report& aReport);
boost::json::object
JobJson(const cell::cell_state& aState, const cell::job_record& aJob);
boost::json::object
ExplainJson(const cell::explanation& aExplanation);
boost::json::object
WorkerJson(const cell::worker_record& aWorker);
boost::json::object
TargetJson(const traffic::target_stats& aTarget, std::string_view aAddress);
boost::json::object
MembersJson(const consensus::raft_node& aNode);
boost::json::array
HistoryJson(const weights::weights_register& aRegister);
boost::json::object
DiffJson(const weights::table_diff& aDiff);

// Errors: InvalidArgument, naming the field.
result<cell::job_spec>
ParseJob(std::string_view aBody);

// When work that may run again is stopped on a draining worker, as the wall
// clock has it; 0: never. The body is empty or {"deadline_ms":N}, from now.
// Errors: InvalidArgument.
result<std::int64_t>
ParseDrainDeadline(std::string_view aBody, std::int64_t aWallMs);

struct member_change
{
  std::string mOp; // add, remove, replace, transfer
  std::uint64_t mId = 0;
  std::uint64_t mOld = 0;
  std::string mAddress;
};

result<member_change>
ParseMemberChange(std::string_view aBody);

} // namespace oriolewalk::control
