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

// The processor time that the job's tasks take, from the caller's estimates.
double
ProcessorMs(const job_spec& aSpec)
{
  constexpr double kMilli = 1'000;
  double sum = 0;
  for (const step_spec& step : aSpec.mSteps) {
    if (!step.mLongRunning) {
      sum += static_cast<double>(step.mCount) *
             static_cast<double>(step.Booked().mMilliProcessors) / kMilli *
             static_cast<double>(step.mEstimateMs);
    }
  }
  return sum;
}

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
    FailBusy(aCall);
  }
}

void
leader_core::FailBusy(call_number aCall)
{
  mPort.mFail(aCall,
              { error_code::Busy, "propose", {}, "too much is under way" });
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
leader_core::AnswerCaller(call_number aCall,
                          job_reply aReply,
                          std::string aText)
{
  mPort.mAnswer(aCall, job_answer{ aReply, std::move(aText), 0, 0 });
}

std::optional<organisation_id>
leader_core::Authenticate(const queue_row* aQueue, std::string_view aKey) const
{
  if (!mState.Access() || (aQueue != nullptr && mState.IsPublic(*aQueue))) {
    return organisation_id();
  }
  const organisation_id* owner = mState.OwnerOfKey(aKey);
  return owner == nullptr ? std::nullopt : std::optional(*owner);
}

// Callers of one organisation learn as little of another's job as of a job that
// doesn't exist.
const job_record*
leader_core::FindVisibleJob(std::string_view aPath,
                            const std::optional<organisation_id>& aCaller) const
{
  if (aPath.size() < kJobIdLength) {
    return nullptr;
  }
  const job_record* job = mState.FindJob(
    job_id(std::string(aPath.substr(aPath.size() - kJobIdLength))));
  const bool visible =
    job != nullptr && (job->mOwner.Value().empty() || job->mOwner == aCaller);
  return visible ? job : nullptr;
}

void
leader_core::Handle(call_number aCall, const job_submission& aJob)
{
  Serve(aCall, aJob, {});
}

void
leader_core::Handle(call_number aCall, const job_query& aQuery)
{
  Serve(aCall, aQuery, {});
}

void
leader_core::Handle(call_number aCall, const job_cancellation& aCancel)
{
  Serve(aCall, aCancel, {});
}

void
leader_core::Handle(call_number aCall, const keyed_request& aRequest)
{
  std::visit([&](const auto& aOne) { Serve(aCall, aOne, aRequest.mKey); },
             aRequest.mRequest);
}

void
leader_core::Serve(call_number aCall,
                   const job_submission& aJob,
                   std::string_view aKey)
{
  const auto& place = aJob.mPath;
  if (mState.Table().mVersion == 0) {
    AnswerCaller(aCall, job_reply::NotConfigured);
    return;
  }
  const queue_row* queue = mState.Table().Route(place.mHost, place.mPath);
  if (queue == nullptr) {
    AnswerCaller(aCall, job_reply::NoQueue);
    return;
  }
  const std::optional<organisation_id> owner = Authenticate(queue, aKey);
  if (!owner) {
    AnswerCaller(aCall, job_reply::Unauthorized);
    return;
  }
  const std::string id = place.mPath.substr(queue->mPrefix.size());
  if (!IsJobId(id)) {
    AnswerCaller(aCall, job_reply::Malformed, "not 16 hexadecimal digits");
    return;
  }
  if (const job_record* known = mState.FindJob(job_id(id))) {
    AnswerCaller(aCall,
                 known->mOwner == *owner ? job_reply::Accepted
                                         : job_reply::Conflict);
    return;
  }
  if (const auto sound = CheckJob(aJob.mSpec); !sound) {
    AnswerCaller(aCall, job_reply::Malformed, sound.error().mMessage);
    return;
  }
  if (!HasRoomFor(SpecBytes(aJob.mSpec) + OccurrenceBytes(aJob.mSpec))) {
    mPort.mLogDecision(
      { "job.refused",
        { { "job", id },
          { "reason", "memory" },
          { "job_bytes", std::to_string(mState.JobBytes()) } } });
    mPort.mAnswer(
      aCall,
      job_answer{
        job_reply::Refused, {}, 0, mOptions.mFullRetryDelay.count() });
    return;
  }
  if (RefuseIfHopeless(aCall, job_id(id), *queue, aJob.mSpec, *owner)) {
    return;
  }
  LogAccepted(id, *queue, aJob.mSpec, *owner);
  if (mOptions.mPlan.mForecastsDemand && queue->mPriority == 0) {
    mForecast.OnArrival(queue->mName, ProcessorMs(aJob.mSpec), mAt.mNow);
  }
  ProposeSubmission(
    aCall, submit_job{ job_id(id), *queue, aJob.mSpec }, *owner);
}

void
leader_core::FailForRoom(call_number aCall)
{
  mPort.mFail(aCall, { error_code::Full, "propose", {}, "no memory is left" });
}

bool
leader_core::HasRoomFor(std::size_t aBytes) const
{
  return mState.JobBytes() + mProposedJobBytes + aBytes <=
         mOptions.mMaxJobBytes;
}

// Whether the organisation still exists, and whether the id is free, is decided
// where the job is committed.
void
leader_core::ProposeSubmission(call_number aCall,
                               submit_job aSubmit,
                               const organisation_id& aOwner)
{
  const job_id id = aSubmit.mId;
  const std::size_t bytes =
    SpecBytes(aSubmit.mSpec) + OccurrenceBytes(aSubmit.mSpec);
  command_body body = std::move(aSubmit);
  if (!aOwner.Value().empty()) {
    body = submit_owned_job{ std::get<submit_job>(std::move(body)), aOwner };
  }
  mAdmission.OnProposed(id);
  mProposedJobBytes += bytes;
  const bool proposed = mPort.mPropose(
    std::move(body), [this, aCall, id, bytes](const apply_outcome& aDone) {
      mAdmission.OnSettled(id);
      mProposedJobBytes -= bytes;
      if (!aDone.mError) {
        AnswerCaller(aCall, job_reply::Accepted);
      } else if (aDone.mError->mCode == error_code::Conflict) {
        AnswerCaller(aCall, job_reply::Conflict);
      } else {
        AnswerCaller(aCall, job_reply::Unauthorized);
      }
    });
  if (!proposed) {
    mAdmission.OnSettled(id);
    mProposedJobBytes -= bytes;
    FailBusy(aCall);
  }
}

void
leader_core::Serve(call_number aCall,
                   const job_query& aQuery,
                   std::string_view aKey)
{
  if (mState.Table().mVersion == 0) {
    AnswerCaller(aCall, job_reply::NotConfigured);
    return;
  }
  const auto& place = aQuery.mPath;
  const queue_row* queue = mState.Table().Route(place.mHost, place.mPath);
  const std::optional<organisation_id> caller = Authenticate(queue, aKey);
  if (queue != nullptr && !caller) {
    AnswerCaller(aCall, job_reply::Unauthorized);
    return;
  }
  if (const job_record* job = FindVisibleJob(place.mPath, caller)) {
    AnswerCaller(aCall, job_reply::State, std::string(StateName(*job)));
    return;
  }
  if (queue == nullptr) {
    AnswerCaller(aCall, job_reply::NoQueue);
    return;
  }
  if (place.mPath.size() == queue->mPrefix.size()) {
    mPort.mAnswer(
      aCall,
      job_answer{
        job_reply::Pending, {}, mState.PendingJobs(queue->mName), 0 });
    return;
  }
  AnswerCaller(aCall, job_reply::NotFound);
}

void
leader_core::Serve(call_number aCall,
                   const job_cancellation& aCancel,
                   std::string_view aKey)
{
  const auto& place = aCancel.mPath;
  const queue_row* queue = mState.Table().Route(place.mHost, place.mPath);
  const std::optional<organisation_id> caller = Authenticate(queue, aKey);
  if (queue != nullptr && !caller) {
    AnswerCaller(aCall, job_reply::Unauthorized);
    return;
  }
  const job_record* job = FindVisibleJob(place.mPath, caller);
  if (job == nullptr) {
    AnswerCaller(aCall, job_reply::NotFound);
    return;
  }
  if (!job->IsActive()) {
    AnswerCaller(aCall, job_reply::Cancelled);
    return;
  }
  const job_id id(place.mPath.substr(place.mPath.size() - kJobIdLength));
  mPort.mLogDecision({ "job.cancel", { { "job", id.Value() } } });
  ProposeAndAnswer(
    aCall, cancel_job{ id }, job_answer{ job_reply::Cancelled, {}, 0, 0 });
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
  if (number == 0 && mState.Workers().size() >= mOptions.mMaxWorkers) {
    mPort.mLogDecision(
      { "worker.refused",
        { { "worker", aHeartbeat.mDescription.mId.Value() },
          { "workers", std::to_string(mState.Workers().size()) } } });
    FailForRoom(aCall);
    return;
  }
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
    mSupervisor.OnRestarted(number, mAt.mNow);
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
  ProposeHeldEnds();
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

void
leader_core::Handle(call_number aCall, const table_change& aChange)
{
  ProposeTable(aCall, aChange, put_table{ aChange.mTable, aChange.mSource });
}

void
leader_core::Handle(call_number aCall, const table_change_with_access& aChange)
{
  const table_change& change = aChange.mChange;
  ProposeTable(aCall,
               change,
               put_table_with_access{ { change.mTable, change.mSource },
                                      aChange.mAccess });
}

void
leader_core::ProposeTable(call_number aCall,
                          const table_change& aChange,
                          command_body aBody)
{
  mPort.mLogDecision(
    { "table.put",
      { { "version", std::to_string(aChange.mTable.mVersion) },
        { "held", std::to_string(mState.Table().mVersion) } } });
  if (aChange.mTable.mVersion <= mState.Table().mVersion) {
    mPort.mAnswer(aCall, acknowledgement{});
    return;
  }
  ProposeAndAnswer(aCall, std::move(aBody), acknowledgement{});
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

void
leader_core::Handle(call_number aCall, const contact_query& /*aQuery*/)
{
  mPort.mAnswer(aCall, mSupervisor.Contacts(mAt.mNow));
}

} // namespace oriolewalk::flow
