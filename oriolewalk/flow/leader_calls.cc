// Handles requests from callers, workers, operators and the scheduler's other
// processes.

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "oriolewalk/flow/leader_core.h"

namespace oriolewalk::flow {

namespace {

constexpr std::size_t kJobIdLength = 16;

bool
IsJobId(std::string_view aText)
{
  return aText.size() == kJobIdLength &&
         std::ranges::all_of(aText, [](char aDigit) {
           return (aDigit >= '0' && aDigit <= '9') ||
                  (aDigit >= 'a' && aDigit <= 'f') ||
                  (aDigit >= 'A' && aDigit <= 'F');
         });
}

} // namespace

void
leader_core::Propose(command_body aBody, leader_port::on_applied aThen)
{
  static_cast<void>(mPort.mPropose(std::move(aBody), std::move(aThen)));
}

void
leader_core::ProposeAndAnswer(call_number aCall,
                              command_body aBody,
                              flow_answer aAnswer)
{
  const bool proposed = mPort.mPropose(
    std::move(aBody),
    [this, aCall, answer = std::move(aAnswer)](const apply_outcome& aOutcome) {
      if (aOutcome.mError) {
        mPort.mFail(aCall, *aOutcome.mError);
      } else {
        mPort.mAnswer(aCall, answer);
      }
    });
  if (!proposed) {
    mPort.mFail(aCall,
                { error_code::Busy, "propose", {}, "too much is under way" });
  }
}

void
leader_core::HandleRequest(call_number aCall, const flow_request& aRequest)
{
  std::visit([&](const auto& aOne) { Handle(aCall, aOne); }, aRequest);
}

void
leader_core::Handle(call_number aCall, const entry_heartbeat& aHeartbeat)
{
  mEntries[aHeartbeat.mAddress] = mAt.mNow;
  mPort.mAnswer(aCall,
                entry_heartbeat_answer{ mState.Table().mVersion,
                                        mState.Table().mLimits,
                                        mPort.mMembers() });
}

void
leader_core::Handle(call_number aCall, const job_submission& aJob)
{
  const auto& place = aJob.mPath;
  if (mState.Table().mVersion == 0) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NotConfigured, {}, 0, 0 });
    return;
  }
  const queue_row* queue = mState.Table().Route(place.mHost, place.mPath);
  if (queue == nullptr) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NoQueue, {}, 0, 0 });
    return;
  }
  const std::string id = place.mPath.substr(queue->mPrefix.size());
  if (!IsJobId(id)) {
    mPort.mAnswer(
      aCall,
      job_answer{ job_reply::Malformed, "not 16 hexadecimal digits", 0, 0 });
    return;
  }
  const job_answer accepted{ job_reply::Accepted, {}, 0, 0 };
  if (mState.FindJob(job_id(id)) != nullptr) {
    mPort.mAnswer(aCall, accepted);
    return;
  }
  if (const auto sound = CheckJob(aJob.mSpec); !sound) {
    mPort.mAnswer(
      aCall, job_answer{ job_reply::Malformed, sound.error().mMessage, 0, 0 });
    return;
  }
  LogAccepted(id, *queue, aJob.mSpec);
  ProposeAndAnswer(
    aCall, submit_job{ job_id(id), *queue, aJob.mSpec }, accepted);
}

void
leader_core::Handle(call_number aCall, const job_query& aQuery)
{
  if (mState.Table().mVersion == 0) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NotConfigured, {}, 0, 0 });
    return;
  }
  const auto& place = aQuery.mPath;
  const queue_row* queue = mState.Table().Route(place.mHost, place.mPath);
  const std::string_view path = place.mPath;
  const job_record* job =
    path.size() < kJobIdLength
      ? nullptr
      : mState.FindJob(
          job_id(std::string(path.substr(path.size() - kJobIdLength))));
  if (job != nullptr) {
    AnswerState(aCall, *job);
    return;
  }
  if (queue == nullptr) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NoQueue, {}, 0, 0 });
    return;
  }
  if (path.size() == queue->mPrefix.size()) {
    mPort.mAnswer(
      aCall,
      job_answer{
        job_reply::Pending, {}, mState.PendingJobs(queue->mName), 0 });
    return;
  }
  mPort.mAnswer(aCall, job_answer{ job_reply::NotFound, {}, 0, 0 });
}

void
leader_core::AnswerState(call_number aCall, const job_record& aJob)
{
  mPort.mAnswer(
    aCall, job_answer{ job_reply::State, std::string(StateName(aJob)), 0, 0 });
}

void
leader_core::Handle(call_number aCall, const job_cancellation& aCancel)
{
  const std::string_view path = aCancel.mPath.mPath;
  const job_id id(std::string(
    path.substr(path.size() - std::min(path.size(), kJobIdLength))));
  const job_record* job = mState.FindJob(id);
  const job_answer cancelled{ job_reply::Cancelled, {}, 0, 0 };
  if (job == nullptr) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NotFound, {}, 0, 0 });
  } else if (!job->IsActive()) {
    mPort.mAnswer(aCall, cancelled);
  } else {
    mPort.mLogDecision({ "job.cancel", { { "job", id.Value() } } });
    ProposeAndAnswer(aCall, cancel_job{ id }, cancelled);
  }
}

bool
leader_core::IsWorkerChanged(const worker_description& aDescription,
                             bool aDraining,
                             worker_number aNumber) const
{
  const worker_record& known = *mState.FindWorker(aNumber);
  return (aDraining && !known.mDraining) ||
         aDescription.mAddress != known.mDescription.mAddress ||
         aDescription.mService != known.mDescription.mService ||
         aDescription.mCapacity != known.mDescription.mCapacity;
}

void
leader_core::Handle(call_number aCall, const worker_heartbeat& aHeartbeat)
{
  const worker_number number = mState.NumberOf(aHeartbeat.mDescription.mId);
  if (number == 0) {
    Register(aCall, aHeartbeat, aHeartbeat.mDescription);
    return;
  }
  const std::int64_t processStartMs = ProcessStartMs(number);
  const bool isStale =
    aHeartbeat.mDescription.mProcessStartMs == processStartMs &&
    aHeartbeat.mSequence < mSupervisor.LatestHeartbeatNumber(number);
  if (aHeartbeat.mDescription.mProcessStartMs < processStartMs || isStale) {
    // The heartbeat was delayed, and its sender has ended or has sent a newer
    // one; or the heartbeat is incomplete.
    LogLateHeartbeat(aHeartbeat, number);
    mPort.mAnswer(aCall, acknowledgement{});
    return;
  }
  if (aHeartbeat.mDescription.mProcessStartMs > processStartMs) {
    LogRestart(number);
    mSupervisor.SaveCheckpoints(number);
    mSupervisor.OnIncarnationEnded(number, "restart", mAt.mNow);
    DrainSupervisor();
    Register(aCall, aHeartbeat, aHeartbeat.mDescription);
    return;
  }
  const worker_description description = DescriptionFrom(aHeartbeat, number);
  mSupervisor.OnHeartbeat(
    number, aHeartbeat.mSequence, aHeartbeat.mClockMs, mAt.mNow);
  if (IsWorkerChanged(description, aHeartbeat.mDraining, number)) {
    mSupervisor.OnUpdateProposed(number);
    Register(aCall, aHeartbeat, description);
  } else {
    mPort.mAnswer(aCall, acknowledgement{ IsLarge() });
  }
}

// The first heartbeat that a leader receives may have been sent before the
// worker's capacity shrank. A capacity above the known one is therefore
// accepted only from the next heartbeat on.
worker_description
leader_core::DescriptionFrom(const worker_heartbeat& aHeartbeat,
                             worker_number aNumber) const
{
  worker_description description = aHeartbeat.mDescription;
  if (mSupervisor.LatestHeartbeatNumber(aNumber) < 0) {
    description.mCapacity =
      cell::Least(description.mCapacity,
                  mState.FindWorker(aNumber)->mDescription.mCapacity);
  }
  return description;
}

void
leader_core::Register(call_number aCall,
                      const worker_heartbeat& aHeartbeat,
                      worker_description aDescription)
{
  const worker_number number = mState.NumberOf(aDescription.mId);
  decltype(decision::mFields) fields{
    { "worker", aDescription.mId.Value() },
    { "address", aDescription.mAddress },
    { "service", aDescription.mService.Value() },
    { "draining", aHeartbeat.mDraining ? "yes" : "no" },
    { "processors_m", std::to_string(aDescription.mCapacity.mMilliProcessors) },
    { "memory_mb", std::to_string(aDescription.mCapacity.mMemoryMb) },
    { "born", std::to_string(aDescription.mProcessStartMs) },
    { "beat", std::to_string(aHeartbeat.mSequence) },
  };
  if (number == 0) {
    mPort.mLogDecision({ "worker.new", std::move(fields) });
  } else {
    mPort.mLogDecision({ "worker.changed", std::move(fields) });
  }
  ProposeAndAnswer(
    aCall,
    register_worker{ std::move(aDescription), aHeartbeat.mDraining },
    acknowledgement{ IsLarge() });
}

std::int64_t
leader_core::ProcessStartMs(worker_number aWorker) const
{
  return mState.FindWorker(aWorker)->mDescription.mProcessStartMs;
}

void
leader_core::LogLateHeartbeat(const worker_heartbeat& aHeartbeat,
                              worker_number aKnown)
{
  mPort.mLogDecision(
    { "worker.late_beat",
      { { "worker", aHeartbeat.mDescription.mId.Value() },
        { "born", std::to_string(aHeartbeat.mDescription.mProcessStartMs) },
        { "known_born", std::to_string(ProcessStartMs(aKnown)) },
        { "beat", std::to_string(aHeartbeat.mSequence) } } });
}

void
leader_core::LogRestart(worker_number aKnown)
{
  mPort.mLogDecision(
    { "worker.restarted",
      { { "worker", mState.FindWorker(aKnown)->mDescription.mId.Value() },
        { "known_born", std::to_string(ProcessStartMs(aKnown)) },
        { "runs", std::to_string(mState.RunsAt(aKnown).size()) } } });
}

void
leader_core::Handle(call_number aCall, const heartbeat_summary& aSummary)
{
  unknown_workers unknown;
  for (const heartbeat_digest& digest : aSummary.mDigests) {
    const worker_number number = mState.NumberOf(digest.mId);
    if (number == 0 || ProcessStartMs(number) != digest.mProcessStartMs) {
      unknown.mIds.push_back(digest.mId); // its next heartbeat is a full one
    } else {
      mSupervisor.OnHeartbeat(
        number, digest.mSequence, digest.mClockMs, mAt.mNow);
    }
  }
  mPort.mAnswer(aCall, std::move(unknown));
}

bool
leader_core::IsLarge() const
{
  return mState.Workers().size() > mOptions.mMaxWorkersWithoutRelays;
}

// A delayed deregistration must not end the next incarnation: its tasks would
// start a second time while they run. A deregistration without a process start
// time counts for a worker that drains, as workers do before they leave; for
// any other worker the next poll shows whether it restarted.
bool
leader_core::IsFromEarlierIncarnation(
  const worker_deregistration& aDeregistration,
  const worker_record& aKnown)
{
  if (aDeregistration.mProcessStartMs == 0) {
    return aKnown.mDescription.mProcessStartMs != 0 && !aKnown.mDraining;
  }
  return aDeregistration.mProcessStartMs < aKnown.mDescription.mProcessStartMs;
}

void
leader_core::Handle(call_number aCall,
                    const worker_deregistration& aDeregistration)
{
  const worker_number number = mState.NumberOf(aDeregistration.mId);
  if (number == 0 ||
      IsFromEarlierIncarnation(aDeregistration, *mState.FindWorker(number))) {
    mPort.mAnswer(aCall, acknowledgement{});
    return;
  }
  mPort.mLogDecision(
    { "worker.left",
      { { "worker", aDeregistration.mId.Value() },
        { "born", std::to_string(aDeregistration.mProcessStartMs) } } });
  mSupervisor.SaveCheckpoints(number);
  DrainSupervisor();
  ProposeAndAnswer(aCall, remove_worker{ number }, acknowledgement{});
}

void
leader_core::Handle(call_number aCall, const table_change& aChange)
{
  mPort.mLogDecision(
    { "table.put",
      { { "version", std::to_string(aChange.mTable.mVersion) },
        { "held", std::to_string(mState.Table().mVersion) } } });
  if (aChange.mTable.mVersion <= mState.Table().mVersion) {
    mPort.mAnswer(aCall, acknowledgement{});
    return;
  }
  ProposeAndAnswer(
    aCall, put_table{ aChange.mTable, aChange.mSource }, acknowledgement{});
}

void
leader_core::Handle(call_number aCall, const table_read& /*aRead*/)
{
  mPort.mAnswer(aCall, table_source{ mState.TableSource() });
}

void
leader_core::Handle(call_number aCall, const join_request& aJoin)
{
  // The flow core has already handled the membership. A spare sends queries to
  // the policy service, as entries do.
  mEntries[aJoin.mAddress] = mAt.mNow;
  mSpares[aJoin.mAddress] = mAt.mNow;
  mPort.mAnswer(aCall,
                entry_heartbeat_answer{ mState.Table().mVersion,
                                        mState.Table().mLimits,
                                        mPort.mMembers() });
}

void
leader_core::Handle(call_number aCall, const leader_probe& /*aProbe*/)
{
  mPort.mAnswer(aCall, acknowledgement{});
}

} // namespace oriolewalk::flow
