#include "oriolewalk/control/operator_desk.h"

#include <algorithm>
#include <charconv>
#include <ranges>
#include <string>
#include <utility>
#include <variant>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "oriolewalk/control/control_core.h"
#include "oriolewalk/control/operator_json.h"
#include "oriolewalk/http/message.h"

namespace oriolewalk::control {

namespace json = boost::json;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kCreated = 201;
// Of all jobs in the cell, ended ones too: about 12 MB.
constexpr std::size_t kMaxRecords = 250'000;

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, problem] = std::from_chars(aText.data(), last, value);
  if (aText.empty() || problem != std::errc{} || end != last) {
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t>
QueryNumber(const parsed_path& aPath, const std::string& aName)
{
  const auto found = aPath.mQuery.find(aName);
  return found == aPath.mQuery.end() ? std::nullopt
                                     : ParseNumber(found->second);
}

error
Invalid(std::string_view aStep, std::string aMessage)
{
  return {
    error_code::InvalidArgument, std::string(aStep), {}, std::move(aMessage)
  };
}

error
NotTaken(std::string_view aStep)
{
  return { error_code::Unavailable,
           std::string(aStep),
           {},
           "the leader takes no changes now; send it again" };
}

} // namespace

parsed_path
ParsePath(std::string_view aPath)
{
  parsed_path parsed;
  const std::size_t mark = aPath.find('?');
  parsed.mParts = http::SplitParts(aPath.substr(0, mark), '/');
  if (mark == std::string_view::npos) {
    return parsed;
  }
  for (const std::string& pair :
       http::SplitParts(aPath.substr(mark + 1), '&')) {
    const std::size_t equals = pair.find('=');
    const bool valued = equals != std::string::npos;
    parsed.mQuery[pair.substr(0, equals)] =
      valued ? pair.substr(equals + 1) : std::string();
  }
  return parsed;
}

void
operator_desk::Handle(call_id aCall,
                      const protocol::operator_request& aRequest,
                      time_point aNow,
                      std::int64_t aWallMs)
{
  const parsed_path path = ParsePath(aRequest.mPath);
  const std::string resource = path.mParts.size() > 1 ? path.mParts[1] : "";
  if (resource == "weights") {
    Weights(aCall, aRequest, path, aNow, aWallMs);
  } else if (resource == "jobs") {
    Jobs(aCall, aRequest, path, aNow, aWallMs);
  } else if (resource == "workers") {
    Workers(aCall, aRequest, path, aWallMs);
  } else if (resource == "targets") {
    Targets(aCall, aRequest, path, aNow);
  } else if (resource == "members") {
    Members(aCall, aRequest, aNow);
  } else if (resource == "status" && aRequest.mMethod == "GET") {
    Status(aCall, aNow);
  } else {
    NotFound(aCall, aRequest);
  }
}

void
operator_desk::Answer(call_id aCall, protocol::operator_answer aAnswer)
{
  mCore.Answer(aCall, std::move(aAnswer));
}

void
operator_desk::NotFound(call_id aCall,
                        const protocol::operator_request& aRequest)
{
  Answer(aCall,
         ErrorAnswer(
           { error_code::NotFound,
             "api",
             {},
             "no such call: " + aRequest.mMethod + " " + aRequest.mPath }));
}

void
operator_desk::Weights(call_id aCall,
                       const protocol::operator_request& aRequest,
                       const parsed_path& aPath,
                       time_point aNow,
                       std::int64_t aWallMs)
{
  const weights::weights_register& table = mCore.State().Weights();
  const std::string part = aPath.mParts.size() > 2 ? aPath.mParts[2] : "";
  const bool reads = aRequest.mMethod == "GET";
  if (part.empty() && aRequest.mMethod == "PUT") {
    EditWeights(aCall, aRequest, aNow, aWallMs);
  } else if (reads && part == "history") {
    Answer(aCall, JsonAnswer(kOk, HistoryJson(table)));
  } else if (reads && part == "diff") {
    const auto diff =
      table.Diff(QueryNumber(aPath, "from").value_or(table.Version() - 1),
                 QueryNumber(aPath, "to").value_or(table.Version()));
    Answer(aCall,
           diff ? JsonAnswer(kOk, DiffJson(*diff)) : ErrorAnswer(diff.error()));
  } else if (reads && part.empty()) {
    const std::uint64_t version =
      QueryNumber(aPath, "version").value_or(table.Version());
    const auto found = table.At(version);
    Answer(aCall,
           found ? protocol::operator_answer{ kOk,
                                              "text/csv",
                                              std::to_string(version),
                                              found->ToCsv() }
                 : ErrorAnswer(found.error()));
  } else {
    NotFound(aCall, aRequest);
  }
}

void
operator_desk::EditWeights(call_id aCall,
                           const protocol::operator_request& aRequest,
                           time_point aNow,
                           std::int64_t aWallMs)
{
  constexpr std::string_view kStep = "editing the weights";
  const auto base = ParseNumber(aRequest.mIfMatch);
  if (!base) {
    Answer(aCall,
           ErrorAnswer(
             Invalid(kStep, "If-Match must have the version that was edited")));
    return;
  }
  if (aRequest.mKey.empty()) {
    Answer(aCall, ErrorAnswer(Invalid(kStep, "Oriole-Change-Id is missing")));
    return;
  }
  const weights::edit edit{ aRequest.mKey, *base, aRequest.mBody, aWallMs };
  const auto answer = [this, aCall](const weights::edit_outcome& aOutcome,
                                    time_point aThen) {
    if (const auto* accepted = std::get_if<weights::edit_accepted>(&aOutcome)) {
      mCore.Weights().AnswerWhenInForce(aCall, accepted->mVersion, aThen);
    } else {
      Answer(aCall, EditAnswer(aOutcome));
    }
  };
  if (const auto known = mCore.State().Weights().Answer(edit)) {
    answer(*known, aNow);
    return;
  }
  const bool taken =
    mCore.Propose(edit, [answer](const applied& aOutcome, time_point aThen) {
      answer(std::get<weights::edit_outcome>(aOutcome), aThen);
    });
  if (!taken) {
    Answer(aCall, ErrorAnswer(NotTaken(kStep)));
  }
}

void
operator_desk::Jobs(call_id aCall,
                    const protocol::operator_request& aRequest,
                    const parsed_path& aPath,
                    time_point aNow,
                    std::int64_t aWallMs)
{
  const cell::cell_state& cells = mCore.State().Cell();
  const std::size_t parts = aPath.mParts.size();
  const std::string& method = aRequest.mMethod;
  if (parts == 2 && method == "POST") {
    SubmitJob(aCall, aRequest);
    return;
  }
  if (parts == 2 && method == "GET") {
    json::array jobs;
    for (const cell::job_record& job : cells.Jobs() | std::views::values) {
      jobs.push_back(JobJson(cells, job));
    }
    Answer(aCall, JsonAnswer(kOk, jobs));
    return;
  }
  const cell::job_number number =
    (parts > 2 ? cell::ParseJob(aPath.mParts[2]) : std::nullopt)
      .value_or(cell::job_number{});
  const cell::job_record* job = cells.FindJob(number);
  if (job != nullptr && parts == 4 && aPath.mParts[3] == "explain") {
    const cell::explanation why =
      mCore.Workers().Explain(number, { aNow, aWallMs });
    Answer(aCall, JsonAnswer(kOk, ExplainJson(why)));
  } else if (job != nullptr && method == "GET") {
    Answer(aCall, JsonAnswer(kOk, JobJson(cells, *job)));
  } else if (job != nullptr && method == "DELETE") {
    CancelJob(aCall, number);
  } else {
    NotFound(aCall, aRequest);
  }
}

// The answer is the job's state after the cancellation: a race against a start
// or an end has one true outcome.
void
operator_desk::CancelJob(call_id aCall, cell::job_number aJob)
{
  const bool taken =
    mCore.Propose(cell::cell_command(cell::cancel_job{ aJob }),
                  [this, aCall, aJob](const applied& /*aOutcome*/, time_point) {
                    const cell::cell_state& cells = mCore.State().Cell();
                    if (const auto* job = cells.FindJob(aJob)) {
                      Answer(aCall, JsonAnswer(kOk, JobJson(cells, *job)));
                    }
                  });
  if (!taken) {
    Answer(aCall, ErrorAnswer(NotTaken("cancelling a job")));
  }
}

void
operator_desk::SubmitJob(call_id aCall,
                         const protocol::operator_request& aRequest)
{
  constexpr std::string_view kStep = "submitting a job";
  constexpr std::size_t kMostKey = 128;
  if (aRequest.mKey.empty() || aRequest.mKey.size() > kMostKey) {
    Answer(aCall,
           ErrorAnswer(Invalid(
             kStep, "Idempotency-Key must be given, with 1 to 128 bytes")));
    return;
  }
  auto spec = ParseJob(aRequest.mBody);
  if (!spec) {
    Answer(aCall, ErrorAnswer(spec.error().At(kStep)));
    return;
  }
  const std::size_t tasks = spec->mTasks;
  const cell::cell_state& before = mCore.State().Cell();
  // A resend takes no room, and gets its recorded answer.
  const bool isResend =
    before.FindKey(spec->mOrganisation, request_key(aRequest.mKey)).has_value();
  if (!isResend && before.Records() + mProposedTasks + tasks > kMaxRecords) {
    Answer(aCall,
           ErrorAnswer(error{ error_code::Full,
                              std::string(kStep),
                              {},
                              "no memory is left for the job" }));
    return;
  }
  const cell::submit_job submit{ request_key(aRequest.mKey), *spec };
  mProposedTasks += tasks;
  const bool taken = mCore.Propose(
    cell::cell_command(submit),
    [this, aCall, tasks](const applied& aOutcome, time_point) {
      mProposedTasks -= tasks;
      const auto& outcome = std::get<cell::apply_outcome>(aOutcome);
      const cell::cell_state& cells = mCore.State().Cell();
      const cell::job_record* job =
        outcome.mJob ? cells.FindJob(*outcome.mJob) : nullptr;
      if (job == nullptr) {
        Answer(aCall,
               ErrorAnswer(outcome.mRefusal.value_or(
                 error{ error_code::Internal, "submit", {}, "no job" })));
        return;
      }
      Answer(
        aCall,
        JsonAnswer(outcome.mReplayed ? kOk : kCreated, JobJson(cells, *job)));
    });
  if (!taken) {
    mProposedTasks -= tasks;
    Answer(aCall, ErrorAnswer(NotTaken(kStep)));
  }
}

void
operator_desk::Workers(call_id aCall,
                       const protocol::operator_request& aRequest,
                       const parsed_path& aPath,
                       std::int64_t aWallMs)
{
  const cell::cell_state& cells = mCore.State().Cell();
  if (aPath.mParts.size() == 2 && aRequest.mMethod == "GET") {
    json::array workers;
    for (const cell::worker_record& worker : cells.Workers()) {
      if (worker.mKnown) {
        workers.push_back(WorkerJson(worker));
      }
    }
    Answer(aCall, JsonAnswer(kOk, workers));
    return;
  }
  const bool drain = aPath.mParts.size() == 4 && aPath.mParts[3] == "drain" &&
                     aRequest.mMethod == "POST";
  const worker_id worker(aPath.mParts.size() > 2 ? aPath.mParts[2] : "");
  if (!drain || cells.FindWorker(worker) == nullptr) {
    NotFound(aCall, aRequest);
    return;
  }
  const auto deadline = ParseDrainDeadline(aRequest.mBody, aWallMs);
  if (!deadline) {
    Answer(aCall, ErrorAnswer(deadline.error()));
    return;
  }
  const cell::drain_worker command{ worker, true, *deadline };
  const bool taken = mCore.Propose(
    cell::cell_command(command),
    [this, aCall, worker](const applied&, time_point) {
      const auto* record = mCore.State().Cell().FindWorker(worker);
      Answer(aCall,
             record != nullptr
               ? JsonAnswer(kOk, WorkerJson(*record))
               : ErrorAnswer({ error_code::NotFound, "drain", {}, "gone" }));
    });
  if (!taken) {
    Answer(aCall, ErrorAnswer(NotTaken("draining a worker")));
  }
}

void
operator_desk::Targets(call_id aCall,
                       const protocol::operator_request& aRequest,
                       const parsed_path& aPath,
                       time_point aNow)
{
  if (aPath.mParts.size() == 2 && aRequest.mMethod == "GET") {
    json::array targets;
    for (const auto& service : mCore.Live().Stats().mServices) {
      for (const traffic::target_stats& target : service.mTargets) {
        const known_target* known = mCore.Targets().Find(target.mId);
        targets.push_back(TargetJson(
          target, known != nullptr ? known->mAnnounced.mAddress : ""));
      }
    }
    Answer(aCall, JsonAnswer(kOk, targets));
    return;
  }
  const target_id target(aPath.mParts.size() > 2 ? aPath.mParts[2] : "");
  const bool drain = aPath.mParts.size() == 4 && aPath.mParts[3] == "drain" &&
                     aRequest.mMethod == "POST";
  if (!drain || mCore.Targets().Find(target) == nullptr) {
    NotFound(aCall, aRequest);
    return;
  }
  mCore.Targets().Leave(target, aNow);
  mCore.Live().TargetLeaving(target, aNow);
  Answer(aCall,
         JsonAnswer(kOk,
                    json::object{
                      { "target", target.Value() },
                      { "in_progress", mCore.Live().InProgressAt(target) } }));
}

namespace {

// Proposes what the operator asked for; it ends later.
result<void>
ChangeMembers(consensus::raft_node& aRaft,
              const member_change& aChange,
              time_point aNow)
{
  const consensus::node_id id(aChange.mId);
  if (aChange.mOp == "transfer") {
    return aChange.mId == 0 ? aRaft.TransferLeadership(aNow)
                            : aRaft.TransferLeadership(id, aNow);
  }
  const consensus::node_id old(aChange.mOld);
  const auto place = aChange.mOp == "remove"    ? aRaft.Remove(id, aNow)
                     : aChange.mOp == "promote" ? aRaft.Promote(id, aNow)
                     : aChange.mOp == "replace"
                       ? aRaft.Replace(old, id, aChange.mAddress, aNow)
                       : aRaft.AddLearner(id, aChange.mAddress, aNow);
  if (!place) {
    return Fail(place.error());
  }
  return {};
}

} // namespace

void
operator_desk::Members(call_id aCall,
                       const protocol::operator_request& aRequest,
                       time_point aNow)
{
  consensus::raft_node& raft = mCore.Raft();
  if (aRequest.mMethod == "GET") {
    Answer(aCall, JsonAnswer(kOk, MembersJson(raft)));
    return;
  }
  const auto change = ParseMemberChange(aRequest.mBody);
  if (!change) {
    Answer(aCall, ErrorAnswer(change.error()));
    return;
  }
  const result<void> done = ChangeMembers(raft, *change, aNow);
  Answer(aCall,
         done ? JsonAnswer(kOk, MembersJson(raft)) : ErrorAnswer(done.error()));
}

void
operator_desk::Status(call_id aCall, time_point aNow)
{
  json::array entries;
  for (const auto& [instance, entry] : mCore.Entries().All()) {
    const auto silent =
      std::chrono::duration_cast<milliseconds>(aNow - entry.mHeardAt).count();
    entries.push_back(
      json::object{ { "instance", instance.Value() },
                    { "address", entry.mLast.mAddress },
                    { "data_centre", entry.mLast.mDataCentre.Value() },
                    { "weights_version", entry.mLast.mWeightsVersion },
                    { "draining", entry.mLast.mDraining },
                    { "in_progress", entry.mLast.mInProgress },
                    { "silent_ms", silent } });
  }
  const weights::in_force_report report = mCore.Weights().Report(aNow);
  const cell::cell_state& cells = mCore.State().Cell();
  Answer(
    aCall,
    JsonAnswer(
      kOk,
      json::object{
        { "leader", mCore.Raft().Self().Value() },
        { "control", MembersJson(mCore.Raft()) },
        { "weights", InForceJson(mCore.State().Weights().Version(), report) },
        { "entries", std::move(entries) },
        { "requests",
          json::object{ { "waiting", mCore.Live().Waiting() },
                        { "running", mCore.Live().Running() },
                        { "remembered", mCore.State().Ledger().Size() } } },
        { "jobs", cells.Jobs().size() },
        { "workers", cells.Workers().size() } }));
}

} // namespace oriolewalk::control
