// The leader's answers to callers, workers, operators and our other processes.

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
         std::ranges::all_of(aText, [](char aLetter) {
           return (aLetter >= '0' && aLetter <= '9') ||
                  (aLetter >= 'a' && aLetter <= 'f') ||
                  (aLetter >= 'A' && aLetter <= 'F');
         });
}

} // namespace

void
leading::Propose(command_body aBody, leading_port::on_applied aThen)
{
  static_cast<void>(mPort.mPropose(std::move(aBody), std::move(aThen)));
}

void
leading::ProposeAndAnswer(call_number aCall,
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
leading::Ask(call_number aCall, const flow_request& aRequest)
{
  std::visit([&](const auto& aOne) { On(aCall, aOne); }, aRequest);
}

void
leading::On(call_number aCall, const entry_beat& aBeat)
{
  mEntries[aBeat.mAddress] = mAt.mNow;
  mPort.mAnswer(aCall,
                beat_answer{ mState.Table().mVersion,
                             mState.Table().mLimits,
                             mPort.mMembers() });
}

void
leading::On(call_number aCall, const job_submission& aJob)
{
  const auto& place = aJob.mPlace;
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
  NoteAccepted(id, *queue, aJob.mSpec);
  ProposeAndAnswer(
    aCall, submit_job{ job_id(id), *queue, aJob.mSpec }, accepted);
}

void
leading::On(call_number aCall, const job_query& aQuery)
{
  if (mState.Table().mVersion == 0) {
    mPort.mAnswer(aCall, job_answer{ job_reply::NotConfigured, {}, 0, 0 });
    return;
  }
  const auto& place = aQuery.mPlace;
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
      job_answer{ job_reply::Pending, {}, mState.Pending(queue->mName), 0 });
    return;
  }
  mPort.mAnswer(aCall, job_answer{ job_reply::Gone, {}, 0, 0 });
}

void
leading::AnswerState(call_number aCall, const job_record& aJob)
{
  mPort.mAnswer(
    aCall, job_answer{ job_reply::State, std::string(StateName(aJob)), 0, 0 });
}

void
leading::On(call_number aCall, const job_cancellation& aCancel)
{
  const std::string_view path = aCancel.mPlace.mPath;
  const job_id id(std::string(
    path.substr(path.size() - std::min(path.size(), kJobIdLength))));
  const job_record* job = mState.FindJob(id);
  const job_answer cancelled{ job_reply::Cancelled, {}, 0, 0 };
  if (job == nullptr) {
    mPort.mAnswer(aCall, job_answer{ job_reply::Gone, {}, 0, 0 });
  } else if (!job->IsActive()) {
    mPort.mAnswer(aCall, cancelled);
  } else {
    mPort.mNote({ "job.cancel", { { "job", id.Value() } } });
    ProposeAndAnswer(aCall, cancel_job{ id }, cancelled);
  }
}

bool
leading::IsWorkerChanged(const worker_facts& aFacts,
                         bool aDraining,
                         worker_number aNumber) const
{
  const worker_record& known = *mState.FindWorker(aNumber);
  return (aDraining && !known.mDraining) ||
         aFacts.mAddress != known.mFacts.mAddress ||
         aFacts.mService != known.mFacts.mService ||
         aFacts.mCapacity != known.mFacts.mCapacity;
}

void
leading::On(call_number aCall, const worker_beat& aBeat)
{
  const worker_number number = mState.NumberOf(aBeat.mFacts.mId);
  if (number == 0) {
    Register(aCall, aBeat, aBeat.mFacts);
    return;
  }
  const std::int64_t born = BornOf(number);
  const bool isOld =
    aBeat.mFacts.mBornMs == born && aBeat.mNumber < mKeeper.NewestBeat(number);
  if (aBeat.mFacts.mBornMs < born || isOld) {
    // It was on its way for long: its sender is gone or has said more since; or
    // it isn't whole.
    NoteLateBeat(aBeat, number);
    mPort.mAnswer(aCall, acknowledged{});
    return;
  }
  if (aBeat.mFacts.mBornMs > born) {
    NoteRestart(number);
    mKeeper.KeepCheckpoints(number);
    mKeeper.LifeIsOver(number, "restart", mAt.mNow);
    PumpKeeper();
    Register(aCall, aBeat, aBeat.mFacts);
    return;
  }
  const worker_facts facts = FactsOf(aBeat, number);
  mKeeper.Heard(number, aBeat.mNumber, aBeat.mClockMs, mAt.mNow);
  if (IsWorkerChanged(facts, aBeat.mDraining, number)) {
    mKeeper.Changes(number);
    Register(aCall, aBeat, facts);
  } else {
    mPort.mAnswer(aCall, acknowledged{ IsLarge() });
  }
}

// The first heartbeat that a leader hears may be an old one, from before the
// worker's room shrank: more room than is known counts by the next one.
worker_facts
leading::FactsOf(const worker_beat& aBeat, worker_number aNumber) const
{
  worker_facts facts = aBeat.mFacts;
  if (mKeeper.NewestBeat(aNumber) < 0) {
    facts.mCapacity = cell::Least(facts.mCapacity,
                                  mState.FindWorker(aNumber)->mFacts.mCapacity);
  }
  return facts;
}

void
leading::Register(call_number aCall,
                  const worker_beat& aBeat,
                  worker_facts aFacts)
{
  const worker_number number = mState.NumberOf(aFacts.mId);
  decltype(decision::mFields) fields{
    { "worker", aFacts.mId.Value() },
    { "address", aFacts.mAddress },
    { "service", aFacts.mService.Value() },
    { "draining", aBeat.mDraining ? "yes" : "no" },
    { "processors_m", std::to_string(aFacts.mCapacity.mMilliProcessors) },
    { "memory_mb", std::to_string(aFacts.mCapacity.mMemoryMb) },
    { "born", std::to_string(aFacts.mBornMs) },
    { "beat", std::to_string(aBeat.mNumber) },
  };
  if (number == 0) {
    mPort.mNote({ "worker.new", std::move(fields) });
  } else {
    mPort.mNote({ "worker.changed", std::move(fields) });
  }
  ProposeAndAnswer(aCall,
                   register_worker{ std::move(aFacts), aBeat.mDraining },
                   acknowledged{ IsLarge() });
}

std::int64_t
leading::BornOf(worker_number aWorker) const
{
  return mState.FindWorker(aWorker)->mFacts.mBornMs;
}

void
leading::NoteLateBeat(const worker_beat& aBeat, worker_number aKnown)
{
  mPort.mNote({ "worker.late_beat",
                { { "worker", aBeat.mFacts.mId.Value() },
                  { "born", std::to_string(aBeat.mFacts.mBornMs) },
                  { "known_born", std::to_string(BornOf(aKnown)) },
                  { "beat", std::to_string(aBeat.mNumber) } } });
}

void
leading::NoteRestart(worker_number aKnown)
{
  mPort.mNote(
    { "worker.restarted",
      { { "worker", mState.FindWorker(aKnown)->mFacts.mId.Value() },
        { "known_born", std::to_string(BornOf(aKnown)) },
        { "runs", std::to_string(mState.PlacedAt(aKnown).size()) } } });
}

void
leading::On(call_number aCall, const beat_summary& aSummary)
{
  unknown_workers unknown;
  for (const beat_note& note : aSummary.mNotes) {
    const worker_number number = mState.NumberOf(note.mId);
    if (number == 0 || BornOf(number) != note.mBornMs) {
      unknown.mIds.push_back(note.mId); // its next heartbeat comes whole
    } else {
      mKeeper.Heard(number, note.mNumber, note.mClockMs, mAt.mNow);
    }
  }
  mPort.mAnswer(aCall, std::move(unknown));
}

bool
leading::IsLarge() const
{
  return mState.Workers().size() > mOptions.mWorkersAlone;
}

// A farewell that was held up must not end the next life: its tasks would start
// a second time while they run. One that doesn't say whose it is counts for a
// worker that drains, as one does before it leaves; any other's next look
// tells.
bool
leading::IsOfEarlierLife(const worker_farewell& aFarewell,
                         const worker_record& aKnown)
{
  if (aFarewell.mBornMs == 0) {
    return aKnown.mFacts.mBornMs != 0 && !aKnown.mDraining;
  }
  return aFarewell.mBornMs < aKnown.mFacts.mBornMs;
}

void
leading::On(call_number aCall, const worker_farewell& aFarewell)
{
  const worker_number number = mState.NumberOf(aFarewell.mId);
  if (number == 0 || IsOfEarlierLife(aFarewell, *mState.FindWorker(number))) {
    mPort.mAnswer(aCall, acknowledged{});
    return;
  }
  mPort.mNote({ "worker.left",
                { { "worker", aFarewell.mId.Value() },
                  { "born", std::to_string(aFarewell.mBornMs) } } });
  mKeeper.KeepCheckpoints(number);
  PumpKeeper();
  ProposeAndAnswer(aCall, remove_worker{ number }, acknowledged{});
}

void
leading::On(call_number aCall, const table_change& aChange)
{
  mPort.mNote({ "table.put",
                { { "version", std::to_string(aChange.mTable.mVersion) },
                  { "held", std::to_string(mState.Table().mVersion) } } });
  if (aChange.mTable.mVersion <= mState.Table().mVersion) {
    mPort.mAnswer(aCall, acknowledged{});
    return;
  }
  ProposeAndAnswer(
    aCall, put_table{ aChange.mTable, aChange.mSource }, acknowledged{});
}

void
leading::On(call_number aCall, const table_read& /*aRead*/)
{
  mPort.mAnswer(aCall, table_source{ mState.TableSource() });
}

void
leading::On(call_number aCall, const join_request& aJoin)
{
  // The flow core has seen to its membership. A spare carries questions to the
  // policy service as entries do.
  mEntries[aJoin.mAddress] = mAt.mNow;
  mSpares[aJoin.mAddress] = mAt.mNow;
  mPort.mAnswer(aCall,
                beat_answer{ mState.Table().mVersion,
                             mState.Table().mLimits,
                             mPort.mMembers() });
}

void
leading::On(call_number aCall, const leader_probe& /*aProbe*/)
{
  mPort.mAnswer(aCall, acknowledged{});
}

} // namespace oriolewalk::flow
