#include "oriolewalk/ledger/request_ledger.h"

#include <algorithm>
#include <ranges>
#include <utility>
#include <variant>

namespace oriolewalk::ledger {

namespace {

// Accounts for a second copy of the key in the queue of answers, and for two
// allocations.
constexpr std::size_t kAnswerOverhead = 160;

std::size_t
AnswerCost(const request_record& aRecord)
{
  return aRecord.HasAnswer() ? aRecord.mAnswer->size() + kAnswerOverhead : 0;
}

} // namespace

std::string
request_ref::ToString() const
{
  return mOrganisation.Value() + "/" + mKey.Value();
}

request_ledger::request_ledger()
  : request_ledger(ledger_options{})
{
}

request_ledger::request_ledger(ledger_options aOptions)
  : mOptions(aOptions)
{
}

ledger_outcome
request_ledger::Apply(const ledger_command& aCommand, std::int64_t aWallMs)
{
  mLastWallMs = std::max(mLastWallMs, aWallMs);
  EvictExpired();
  return std::visit([this](const auto& aOne) { return ApplyOne(aOne); },
                    aCommand);
}

const request_record*
request_ledger::Find(const request_ref& aRef) const
{
  const auto found = mRecords.find(aRef);
  return found == mRecords.end() ? nullptr : &found->second;
}

std::vector<request_ledger::running_request>
request_ledger::Running() const
{
  std::vector<running_request> running;
  for (const std::set<request_ref>& refs : mRunning | std::views::values) {
    std::ranges::transform(
      refs, std::back_inserter(running), [this](const request_ref& aRef) {
        return running_request{ aRef, mRecords.at(aRef) };
      });
  }
  std::ranges::sort(running, {}, &running_request::mRef);
  return running;
}

std::set<owning_entry>
request_ledger::Owners() const
{
  std::set<owning_entry> owners;
  std::ranges::copy(mRunning | std::views::keys,
                    std::inserter(owners, owners.end()));
  return owners;
}

ledger_outcome
request_ledger::ApplyOne(const claim& aClaim)
{
  if (const auto found = mRecords.find(aClaim.mRef); found != mRecords.end()) {
    return ClaimKnown(found->second, aClaim);
  }
  if (!HasCapacity()) {
    return { verdict::Full, 0, std::nullopt };
  }
  request_record& record = mRecords[aClaim.mRef];
  Start(record, aClaim);
  return { verdict::Granted, record.mAttempt, record };
}

ledger_outcome
request_ledger::ClaimKnown(request_record& aRecord, const claim& aClaim)
{
  if (aRecord.mFingerprint != aClaim.mFingerprint) {
    return { verdict::Mismatch, aRecord.mAttempt, aRecord };
  }
  if (aRecord.mState == request_state::Ready) {
    Start(aRecord, aClaim);
    return { verdict::Granted, aRecord.mAttempt, aRecord };
  }
  if (aRecord.mState != request_state::Running) {
    return { verdict::Known, aRecord.mAttempt, aRecord };
  }
  // The same claim again, because its grant was lost in transit. The owner
  // waits for the grant and has not sent the request yet, so it gets the same
  // grant. The recorded target is used, not the one proposed now.
  const bool sameClaim = aRecord.mToken == aClaim.mToken;
  return { sameClaim ? verdict::Granted : verdict::InProgress,
           aRecord.mAttempt,
           aRecord };
}

void
request_ledger::Start(request_record& aRecord, const claim& aClaim)
{
  aRecord.mState = request_state::Running;
  ++aRecord.mAttempt;
  aRecord.mFingerprint = aClaim.mFingerprint;
  aRecord.mRepeatable = aClaim.mRepeatable;
  aRecord.mClass = aClaim.mClass;
  aRecord.mDeadlineWallMs = aClaim.mDeadlineWallMs;
  aRecord.mToken = aClaim.mToken;
  aRecord.mPlacement = std::make_shared<placement>(aClaim.mPlacement);
  mRunning[aClaim.mPlacement.mOwner].insert(aClaim.mRef);
}

ledger_outcome
request_ledger::ApplyOne(const finish& aFinish)
{
  const auto found = mRecords.find(aFinish.mRef);
  if (found == mRecords.end()) {
    return { verdict::Ignored, 0, std::nullopt };
  }
  request_record& record = found->second;
  if (record.mToken != aFinish.mToken) {
    return { verdict::Ignored, record.mAttempt, record };
  }
  const bool isRunning = record.mState == request_state::Running;
  // The owner was declared lost but is still alive. It alone knows how its
  // attempt ended, so its report replaces "unknown".
  const bool isLateReport = record.mState == request_state::Unknown &&
                            aFinish.mResult != attempt_result::Unknown;
  if (!isRunning && !isLateReport) {
    // The same report again, or one that adds no information.
    return { verdict::Recorded, record.mAttempt, record };
  }
  switch (aFinish.mResult) {
    case attempt_result::Answered:
      KeepAnswer(record, aFinish);
      End(found, request_state::Completed);
      break;
    case attempt_result::NotStarted:
      End(found, request_state::Ready);
      break;
    case attempt_result::Unknown:
      End(found, request_state::Unknown);
      break;
  }
  return { verdict::Recorded, record.mAttempt, record };
}

ledger_outcome
request_ledger::ApplyOne(const refusal& aRefusal)
{
  const auto found = mRecords.find(aRefusal.mRef);
  if (found == mRecords.end()) {
    if (!HasCapacity()) {
      return { verdict::Full, 0, std::nullopt };
    }
    const auto made = mRecords.emplace(aRefusal.mRef, request_record{}).first;
    made->second.mFingerprint = aRefusal.mFingerprint;
    End(made, request_state::NotRun);
    return { verdict::Recorded, 0, made->second };
  }
  request_record& record = found->second;
  if (record.mFingerprint != aRefusal.mFingerprint) {
    return { verdict::Mismatch, record.mAttempt, record };
  }
  switch (record.mState) {
    case request_state::Ready:
      End(found, request_state::NotRun);
      return { verdict::Recorded, record.mAttempt, record };
    case request_state::NotRun:
      return { verdict::Recorded, record.mAttempt, record };
    case request_state::Running:
      return { verdict::InProgress, record.mAttempt, record };
    case request_state::Completed:
    case request_state::Unknown:
      break;
  }
  return { verdict::Known, record.mAttempt, record };
}

ledger_outcome
request_ledger::ApplyOne(const owner_lost& aLost)
{
  const auto found = mRunning.find(aLost.mOwner);
  if (found == mRunning.end()) {
    return { verdict::Recorded, 0, std::nullopt };
  }
  // End() erases from the set that is iterated here.
  const std::set<request_ref> refs = found->second;
  for (const request_ref& ref : refs) {
    End(mRecords.find(ref), request_state::Unknown);
  }
  return { verdict::Recorded, 0, std::nullopt };
}

void
request_ledger::End(record_map::iterator aWhere, request_state aState)
{
  const request_ref& ref = aWhere->first;
  request_record& record = aWhere->second;
  if (record.mPlacement) {
    const auto running = mRunning.find(record.mPlacement->mOwner);
    running->second.erase(ref);
    if (running->second.empty()) {
      mRunning.erase(running);
    }
    record.mPlacement.reset();
  }
  const bool endedBefore = record.mEndedWallMs != 0;
  record.mState = aState;
  record.mEndedWallMs = std::max<std::int64_t>(mLastWallMs, 1);
  if (!endedBefore) {
    mEnded.push_back(&ref);
  }
}

void
request_ledger::KeepAnswer(request_record& aRecord, const finish& aFinish)
{
  aRecord.mStatus = aFinish.mStatus;
  if (!aFinish.mAnswerKept) {
    return;
  }
  aRecord.mAnswer = std::make_shared<bytes>(aFinish.mAnswer);
  mAnswerBytes += AnswerCost(aRecord);
  mAnswered.push_back(aFinish.mRef);
  while (mAnswerBytes > mOptions.mMaxAnswerBytes && !mAnswered.empty()) {
    if (const auto oldest = mRecords.find(mAnswered.front());
        oldest != mRecords.end()) {
      DropAnswer(oldest->second);
    }
    mAnswered.pop_front();
  }
}

void
request_ledger::DropAnswer(request_record& aRecord)
{
  mAnswerBytes -= AnswerCost(aRecord);
  aRecord.mAnswer.reset();
}

std::int64_t
request_ledger::MinimumWindow(const request_record& aRecord) const
{
  return aRecord.mRepeatable ? mOptions.mRepeatableMinimumMs
                             : mOptions.mMinimumWindowMs;
}

bool
request_ledger::MayEvict(const request_record& aRecord, bool aFull) const
{
  if (aRecord.mState == request_state::Running) {
    return false;
  }
  const std::int64_t age = mLastWallMs - aRecord.mEndedWallMs;
  if (age < MinimumWindow(aRecord)) {
    return false;
  }
  const std::int64_t window =
    aRecord.mRepeatable ? mOptions.mRepeatableWindowMs : mOptions.mWindowMs;
  return aFull || age >= window;
}

// Checks a bounded number of the oldest ended records for each command, so that
// no single command has to evict a day's backlog. A record that may not be
// evicted yet moves to the back, so that a repeatable one behind it need not
// wait for it.
void
request_ledger::EvictExpired()
{
  constexpr int kMaxChecked = 4;
  const std::int64_t minWindowMs =
    std::min(mOptions.mMinimumWindowMs, mOptions.mRepeatableMinimumMs);
  const bool full = mRecords.size() >= mOptions.mMaxRecords;
  for (int checked = 0; checked < kMaxChecked && !mEnded.empty(); ++checked) {
    const request_ref* ref = mEnded.front();
    const auto found = mRecords.find(*ref);
    if (mLastWallMs - found->second.mEndedWallMs < minWindowMs) {
      return;
    }
    mEnded.pop_front();
    if (MayEvict(found->second, full)) {
      DropAnswer(found->second);
      mRecords.erase(found);
    } else {
      mEnded.push_back(ref);
    }
  }
}

bool
request_ledger::HasCapacity()
{
  return mRecords.size() < mOptions.mMaxRecords;
}

std::vector<request_ref>
request_ledger::EndedRefs() const
{
  std::vector<request_ref> refs;
  refs.reserve(mEnded.size());
  std::ranges::transform(mEnded,
                         std::back_inserter(refs),
                         [](const request_ref* aRef) { return *aRef; });
  return refs;
}

void
request_ledger::RebuildIndexes(const std::vector<request_ref>& aEnded)
{
  mRunning.clear();
  mEnded.clear();
  mAnswerBytes = 0;
  for (const request_ref& ref : aEnded) {
    if (const auto found = mRecords.find(ref); found != mRecords.end()) {
      mEnded.push_back(&found->first);
    }
  }
  for (const auto& [ref, record] : mRecords) {
    if (record.mPlacement) {
      mRunning[record.mPlacement->mOwner].insert(ref);
    }
    mAnswerBytes += AnswerCost(record);
  }
}

} // namespace oriolewalk::ledger
