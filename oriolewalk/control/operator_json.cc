#include "oriolewalk/control/operator_json.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/protocol/json_fields.h"
#include "oriolewalk/weights/weights_row.h"

namespace oriolewalk::control {

namespace json = boost::json;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kUnprocessable = 422;
constexpr std::uint16_t kServerError = 500;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;

std::uint16_t
StatusOf(error_code aCode)
{
  switch (aCode) {
    case error_code::InvalidArgument:
      return kBadRequest;
    case error_code::NotFound:
      return kNotFound;
    case error_code::Conflict:
      return kConflict;
    case error_code::NotLeader:
    case error_code::Unavailable:
    case error_code::Busy:
    case error_code::Full:
      return kUnavailable;
    case error_code::Timeout:
      return kGatewayTimeout;
    case error_code::Corrupt:
    case error_code::Io:
    case error_code::Internal:
      break;
  }
  return kServerError;
}

template<class Ids>
json::array
Names(const Ids& aIds)
{
  json::array names;
  std::ranges::for_each(
    aIds, [&](const auto& aId) { names.emplace_back(aId.Value()); });
  return names;
}

json::object
RowJson(const weights::weights_row& aRow)
{
  json::object object;
  object["organisation"] = aRow.mOrganisation.Value();
  object["class"] =
    aRow.mClass ? std::string(ToString(*aRow.mClass)) : std::string("*");
  object["weight"] = aRow.mWeight;
  const auto limit = [&object](std::string_view aName, const auto& aValue) {
    if (aValue) {
      object[aName] = *aValue;
    }
  };
  limit("max_slots", aRow.mMaxSlots);
  limit("max_waiting", aRow.mMaxWaiting);
  limit("requests_per_second", aRow.mRequestsPerSecond);
  limit("burst", aRow.mBurst);
  limit("milli_processors", aRow.mMilliProcessors);
  limit("memory_mb", aRow.mMemoryMb);
  limit("accelerators", aRow.mAccelerators);
  limit("max_running_tasks", aRow.mMaxRunningTasks);
  return object;
}

json::array
RowsJson(std::span<const weights::weights_row> aRows)
{
  json::array rows;
  std::ranges::transform(aRows, std::back_inserter(rows), RowJson);
  return rows;
}

json::object
ResourcesJson(const cell::resources& aResources)
{
  return { { "milli_processors", aResources.mMilliProcessors },
           { "memory_mb", aResources.mMemoryMb },
           { "accelerators", aResources.mAccelerators } };
}

} // namespace

protocol::operator_answer
JsonAnswer(std::uint16_t aStatus, const json::value& aBody)
{
  return { aStatus, "application/json", {}, json::serialize(aBody) + "\n" };
}

protocol::operator_answer
ErrorAnswer(const error& aError)
{
  return JsonAnswer(StatusOf(aError.mCode),
                    json::object{ { "error", aError.mMessage },
                                  { "step", aError.mStep },
                                  { "peer", aError.mPeer } });
}

json::object
InForceJson(std::uint64_t aVersion, const weights::in_force_report& aReport)
{
  return { { "version", aVersion },
           { "in_force", Names(aReport.mInForce) },
           { "pending", Names(aReport.mPending) },
           { "lapsed", Names(aReport.mLapsed) },
           { "everywhere", aReport.mEverywhere } };
}

protocol::operator_answer
InForceAnswer(std::uint64_t aVersion, const weights::in_force_report& aReport)
{
  return JsonAnswer(kOk, InForceJson(aVersion, aReport));
}

protocol::operator_answer
EditAnswer(const weights::edit_outcome& aOutcome)
{
  return std::visit(
    overloaded{
      [](const weights::edit_accepted& aAccepted) {
        return JsonAnswer(kOk,
                          json::object{ { "version", aAccepted.mVersion } });
      },
      [](const weights::edit_conflict& aConflict) {
        return JsonAnswer(
          kConflict,
          json::object{ { "error", "another change came first" },
                        { "version", aConflict.mCurrent } });
      },
      [](const weights::edit_rejected& aRejected) {
        json::array errors;
        for (const weights::table_error& one : aRejected.mErrors) {
          errors.push_back(json::object{ { "row", one.mRow },
                                         { "column", one.mColumn },
                                         { "message", one.mMessage } });
        }
        return JsonAnswer(kBadRequest,
                          json::object{ { "error", "the table has errors" },
                                        { "errors", std::move(errors) } });
      },
      [](const weights::edit_id_reused&) {
        return JsonAnswer(
          kUnprocessable,
          json::object{
            { "error", "the change id belongs to another change" } });
      },
    },
    aOutcome);
}

json::object
JobJson(const cell::cell_state& aState, const cell::job_record& aJob)
{
  json::array tasks;
  for (std::uint32_t index = 0; index < aJob.mTasks.size(); ++index) {
    const cell::task_record& task = aJob.mTasks[index];
    json::object one{ { "task",
                        ToString(cell::task_id{ aJob.mNumber, index }) },
                      { "state", std::string(ToString(task.mState)) },
                      { "attempt", task.mAttempt } };
    if (task.mWorker != cell::kNoWorker) {
      one["worker"] = aState.Workers()[task.mWorker].mId.Value();
    }
    tasks.push_back(std::move(one));
  }
  json::object object{ { "job", ToString(aJob.mNumber) },
                       { "state", std::string(ToString(aJob.State())) },
                       { "organisation", aJob.mSpec.mOrganisation.Value() },
                       { "kind", std::string(ToString(aJob.mSpec.mKind)) },
                       { "class", std::string(ToString(aJob.mSpec.mClass)) },
                       { "each", ResourcesJson(aJob.mSpec.mEach) },
                       { "repeatable", aJob.mSpec.mRepeatable },
                       { "family", aJob.mSpec.mFamily },
                       { "tasks", std::move(tasks) } };
  if (aJob.mRefusal) {
    const cell::refusal& refusal = *aJob.mRefusal;
    object["reason"] = "asks for " + std::to_string(refusal.mAsked) + " of " +
                       std::string(ToString(refusal.mDimension)) +
                       ", the largest worker " +
                       refusal.mLargestWorker.Value() + " has " +
                       std::to_string(refusal.mLargest);
  }
  return object;
}

json::object
ExplainJson(const cell::explanation& aExplanation)
{
  json::array groups;
  for (const cell::worker_group& group : aExplanation.mWorkers) {
    groups.push_back(json::object{ { "reason", group.mReason },
                                   { "workers", group.mCount },
                                   { "example", group.mExample.Value() } });
  }
  return { { "job", ToString(aExplanation.mJob) },
           { "state", std::string(ToString(aExplanation.mState)) },
           { "reason", aExplanation.mReason },
           { "groups", std::move(groups) } };
}

json::object
WorkerJson(const cell::worker_record& aWorker)
{
  return { { "worker", aWorker.mId.Value() },
           { "data_centre", aWorker.mDataCentre.Value() },
           { "rack", aWorker.mRack.Value() },
           { "present", aWorker.mPresent },
           { "draining", aWorker.mDraining },
           { "capacity", ResourcesJson(aWorker.mCapacity) },
           { "booked", ResourcesJson(aWorker.mBooked) },
           { "tasks", aWorker.mTasks.size() } };
}

json::object
TargetJson(const traffic::target_stats& aTarget, std::string_view aAddress)
{
  return { { "target", aTarget.mId.Value() },
           { "service", aTarget.mService.Value() },
           { "data_centre", aTarget.mDataCentre.Value() },
           { "address", aAddress },
           { "state", std::string(ToString(aTarget.mPhase)) },
           { "slots", aTarget.mSlots },
           { "allowed", aTarget.mAllowed },
           { "in_progress", aTarget.mHeld },
           { "slowness", aTarget.mSlowness },
           { "failure_rate", aTarget.mFailureRate } };
}

json::object
MembersJson(const consensus::raft_node& aNode)
{
  json::array members;
  const auto add = [&](const consensus::member& aMember, bool aVoter) {
    const auto peers = aNode.Peers();
    const auto status =
      std::ranges::find(peers, aMember.mId, &consensus::peer_status::mId);
    const bool self = aMember.mId == aNode.Self();
    json::object one{ { "id", aMember.mId.Value() },
                      { "address", aMember.mAddress },
                      { "voter", aVoter },
                      { "leader", aNode.Leader() == aMember.mId } };
    if (self) {
      one["match"] = aNode.LastIndex();
    } else if (status != peers.end()) {
      one["match"] = status->mMatch;
      one["counts"] = status->mCounts;
    }
    members.push_back(std::move(one));
  };
  std::ranges::for_each(aNode.Members().mVoters,
                        [&](const auto& aMember) { add(aMember, true); });
  std::ranges::for_each(aNode.Members().mLearners,
                        [&](const auto& aMember) { add(aMember, false); });
  return { { "term", aNode.Term() },
           { "commit", aNode.CommitIndex() },
           { "members", std::move(members) } };
}

json::array
HistoryJson(const weights::weights_register& aRegister)
{
  json::array versions;
  for (const weights::version_record& record : aRegister.History()) {
    versions.push_back(json::object{ { "version", record.mVersion },
                                     { "change_id", record.mChangeId },
                                     { "wall_ms", record.mWallMs } });
  }
  return versions;
}

json::object
DiffJson(const weights::table_diff& aDiff)
{
  json::array changed;
  for (const weights::changed_row& row : aDiff.mChanged) {
    changed.push_back(json::object{ { "before", RowJson(row.mBefore) },
                                    { "after", RowJson(row.mAfter) } });
  }
  return { { "added", RowsJson(aDiff.mAdded) },
           { "removed", RowsJson(aDiff.mRemoved) },
           { "changed", std::move(changed) } };
}

result<cell::job_spec>
ParseJob(std::string_view aBody)
{
  constexpr std::string_view kStep = "reading the job";
  constexpr std::int64_t kMostTasks = 10'000;
  constexpr std::int64_t kMostMilliProcessors = 1'000'000'000;
  constexpr std::int64_t kMostMemoryMb = 1'000'000'000;
  constexpr std::int64_t kMostAccelerators = 1'000'000;
  constexpr std::int64_t kMostExpectedMs = 366LL * 24 * 3600 * 1000;
  const auto body = protocol::ParseJson(aBody, kStep);
  if (!body) {
    return Fail(body.error());
  }
  protocol::json_fields fields(*body, kStep);
  cell::job_spec spec;
  spec.mOrganisation = organisation_id(fields.Text("organisation", "default"));
  const auto kind = cell::ParseKind(fields.Text("kind", "batch"));
  const auto jobClass = ParseWorkClass(fields.Text("class", "normal"));
  if (!kind) {
    fields.AddProblem("kind", "must be batch, service or gang");
  }
  if (!jobClass) {
    fields.AddProblem("class", "must be urgent, normal or heavy");
  }
  spec.mKind = kind.value_or(cell::job_kind::Batch);
  spec.mClass = jobClass.value_or(cell::job_class::Normal);
  spec.mTasks =
    static_cast<std::uint32_t>(fields.Number("tasks", 1, kMostTasks, 1));
  spec.mEach = { fields.Number("milli_processors", 0, kMostMilliProcessors, 0),
                 fields.Number("memory_mb", 0, kMostMemoryMb, 0),
                 fields.Number("accelerators", 0, kMostAccelerators, 0) };
  spec.mExpectedMs = fields.Number("expected_ms", 0, kMostExpectedMs, 0);
  spec.mRepeatable = fields.Flag("repeatable");
  spec.mCheckpointable = fields.Flag("checkpointable");
  spec.mFamily = fields.Text("family", "");
  fields.RejectUnknownFields();
  if (const auto& problem = fields.Problem()) {
    return Fail(*problem);
  }
  if (const auto sensible = cell::CheckSpec(spec); !sensible) {
    return Fail(sensible.error());
  }
  return spec;
}

result<std::int64_t>
ParseDrainDeadline(std::string_view aBody, std::int64_t aWallMs)
{
  constexpr std::string_view kStep = "reading the drain";
  constexpr std::int64_t kMostMs = 30LL * 24 * 3600 * 1000;
  if (aBody.empty()) {
    return 0;
  }
  const auto body = protocol::ParseJson(aBody, kStep);
  if (!body) {
    return Fail(body.error());
  }
  protocol::json_fields fields(*body, kStep);
  const std::int64_t deadline = fields.Number("deadline_ms", 0, kMostMs, 0);
  fields.RejectUnknownFields();
  if (const auto& problem = fields.Problem()) {
    return Fail(*problem);
  }
  return deadline == 0 ? 0 : aWallMs + deadline;
}

result<member_change>
ParseMemberChange(std::string_view aBody)
{
  constexpr std::string_view kStep = "reading the membership change";
  constexpr std::int64_t kMostId = 1'000'000;
  constexpr std::array<std::string_view, 5> kOps = {
    "add", "promote", "remove", "replace", "transfer"
  };
  const auto body = protocol::ParseJson(aBody, kStep);
  if (!body) {
    return Fail(body.error());
  }
  protocol::json_fields fields(*body, kStep);
  member_change change;
  change.mOp = fields.Text("op", "");
  change.mId = static_cast<std::uint64_t>(fields.Number("id", 0, kMostId, 0));
  change.mOld = static_cast<std::uint64_t>(fields.Number("old", 0, kMostId, 0));
  change.mAddress = fields.Text("address", "");
  if (std::ranges::find(kOps, change.mOp) == kOps.end()) {
    fields.AddProblem("op",
                      "must be add, promote, remove, replace or transfer");
  }
  fields.RejectUnknownFields();
  if (const auto& problem = fields.Problem()) {
    return Fail(*problem);
  }
  return change;
}

} // namespace oriolewalk::control
