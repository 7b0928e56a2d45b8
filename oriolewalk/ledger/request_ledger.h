#pragma once

// The request ledger: records the outcome of each piece of work by its key.
//
//   request_ledger ledger(ledger_options{});
//   auto outcome = ledger.Apply(claim{...}, wallMs);
//   if (outcome.mVerdict == verdict::Granted) { /* send attempt mAttempt */ }
//
// The ledger is replicated: every control process applies the same commands in
// the order of the log. All rules are therefore enforced here and not by the
// proposers. A stale or duplicate proposal is answered from the record and
// changes nothing.
//
// The rules:
//  - There is one attempt at a time. The next one is granted only after an
//    attempt that is known not to have started.
//  - NotRun is final: no later claim of that key is ever granted.
//  - A key means one piece of work: another fingerprint is refused.
//  - An ended key is remembered for the window and never evicted earlier to
//    free capacity: a payment whose key was evicted would be made twice if its
//    caller sent it again. When the ledger is full of records inside the
//    minimum window, it grants nothing new (verdict::Full) instead.
//
// Owned by the control state; used by the control thread only. Apply costs
// amortised O(1), but owner_lost is linear in that owner's running requests.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "oriolewalk/ledger/records.h"

namespace oriolewalk::ledger {

struct ledger_options
{
  // How long an ended non-repeatable key is remembered. Callers that resend
  // later violate the contract (docs/LEDGER.md).
  std::int64_t mWindowMs = 24LL * 3600 * 1000;
  // The same for repeatable keys: a second run costs capacity but does no harm.
  std::int64_t mRepeatableWindowMs = 600'000;
  // Minimum time before a record may be evicted, even when the ledger is full.
  // For non-repeatable keys it is the longest deadline that an entry accepts,
  // so that the key is still known when a delayed copy of a request arrives.
  // For repeatable keys it covers the resends of callers; a later copy only
  // costs a second run.
  std::int64_t mMinimumWindowMs = 600'000;
  std::int64_t mRepeatableMinimumMs = 60'000;
  // With 231 bytes a record (oriole-bench capacity) this takes 46 MB of the
  // 128 MB, and as much again while a snapshot is written. It bounds the
  // sustained rate: 330 requests a second that must not be repeated, 3,300 that
  // may be.
  std::size_t mMaxRecords = 200'000;
  // Bound of all stored answers together, each including its overhead. Beyond
  // it the oldest answers are dropped first; their outcomes stay.
  std::size_t mMaxAnswerBytes = std::size_t{ 12 } << 20U;
};

enum class verdict : std::uint8_t
{
  Granted,    // claim: send attempt mAttempt to the target of the claim
  Recorded,   // finish, refusal: it is recorded, now or by an earlier command
  InProgress, // another attempt runs
  Known,      // the key has ended: see mRecord
  Mismatch,   // the key belongs to other work
  Full,       // nothing new is granted until older records may be evicted
  Ignored,    // finish of an attempt that is not the current one
};

struct ledger_outcome
{
  verdict mVerdict = verdict::Ignored;
  std::uint32_t mAttempt = 0;
  // The record after the command; absent for Full and Ignored.
  std::optional<request_record> mRecord;
};

class request_ledger
{
public:
  request_ledger();
  explicit request_ledger(ledger_options aOptions);
  // Movable but not copyable, because it holds pointers into itself.
  request_ledger(const request_ledger&) = delete;
  request_ledger& operator=(const request_ledger&) = delete;
  request_ledger(request_ledger&&) = default;
  request_ledger& operator=(request_ledger&&) = default;
  ~request_ledger() = default;

  // Applies one committed command. aWallMs is the proposer's wall clock as
  // recorded in the log, so that every replica evicts the same records at the
  // same position of the log.
  ledger_outcome Apply(const ledger_command& aCommand, std::int64_t aWallMs);

  [[nodiscard]] const request_record* Find(const request_ref& aRef) const;

  struct running_request
  {
    request_ref mRef;
    request_record mRecord;
  };
  // Sorted by key.
  [[nodiscard]] std::vector<running_request> Running() const;
  [[nodiscard]] std::set<owning_entry> Owners() const;

  [[nodiscard]] std::size_t Size() const { return mRecords.size(); }
  [[nodiscard]] std::size_t AnswerBytes() const { return mAnswerBytes; }

  // For snapshots. The options are not part of the state.
  template<class Archive>
  void save(Archive& aArchive) const // NOLINT(readability-identifier-naming)
  {
    aArchive(mRecords, EndedRefs(), mAnswered, mLastWallMs);
  }
  template<class Archive>
  void load(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    std::vector<request_ref> ended;
    aArchive(mRecords, ended, mAnswered, mLastWallMs);
    RebuildIndexes(ended);
  }

private:
  using record_map =
    std::unordered_map<request_ref, request_record, request_ref_hash>;

  ledger_outcome ApplyOne(const claim& aClaim);
  ledger_outcome ApplyOne(const finish& aFinish);
  ledger_outcome ApplyOne(const refusal& aRefusal);
  ledger_outcome ApplyOne(const owner_lost& aLost);

  ledger_outcome ClaimKnown(request_record& aRecord, const claim& aClaim);
  void Start(request_record& aRecord, const claim& aClaim);
  void End(record_map::iterator aWhere, request_state aState);
  void KeepAnswer(request_record& aRecord, const finish& aFinish);
  void EvictExpired();
  bool MayEvict(const request_record& aRecord, bool aFull) const;
  bool HasCapacity();
  [[nodiscard]] std::vector<request_ref> EndedRefs() const;
  void RebuildIndexes(const std::vector<request_ref>& aEnded);
  [[nodiscard]] std::int64_t MinimumWindow(const request_record& aRecord) const;
  void DropAnswer(request_record& aRecord);

  ledger_options mOptions;
  record_map mRecords;
  // Oldest end first. Points to keys of mRecords, which are stable until their
  // record is evicted, which happens only through this queue.
  std::deque<const request_ref*> mEnded;
  std::deque<request_ref> mAnswered; // oldest stored answer first
  std::int64_t mLastWallMs = 0;      // monotonic even if clocks go back
  // Derived from the records.
  std::map<owning_entry, std::set<request_ref>> mRunning;
  std::size_t mAnswerBytes = 0;
};

} // namespace oriolewalk::ledger
