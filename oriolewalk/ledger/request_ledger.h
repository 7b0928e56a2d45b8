#pragma once

// The request ledger: what became of each piece of work, by key.
//
//   request_ledger ledger(ledger_options{});
//   auto outcome = ledger.Apply(claim{...}, wallMs);
//   if (outcome.mVerdict == verdict::Granted) { /* send attempt mAttempt */ }
//
// Replicated: every control process applies the same commands in the order of
// the log, so all rules stand here and not with those who propose. A stale or
// doubled proposal is answered by what is recorded; it changes nothing.
//
// The rules:
//  - one attempt at a time; the next only after one that surely did not start;
//  - NotRun is final: no claim of that key is ever granted afterwards;
//  - a key means one piece of work: another fingerprint is refused;
//  - an ended key is remembered for the window, and never forgotten earlier to
//    make room: a forgotten payment that is sent again would be paid twice.
//    When the ledger is full of records inside the minimum window it grants
//    nothing new (verdict::Full) instead.
//
// Owned by the control state; the control thread only. Costs: Apply is O(1)
// amortised, but carrier_lost is linear in that carrier's running requests.

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
  // How long an ended non-repeatable key is remembered. A caller that resends
  // later is outside the contract (docs/LEDGER.md).
  std::int64_t mWindowMs = 24LL * 3600 * 1000;
  // The same for repeatable keys: running again does no harm, only costs.
  std::int64_t mRepeatableWindowMs = 600'000;
  // Nothing is forgotten earlier than this, full or not. Not repeatable: as
  // long as the longest deadline that an entry accepts, so that no copy of a
  // request that is still under way finds its key forgotten. Repeatable: long
  // enough for a caller's resends; a later copy only costs a second run.
  std::int64_t mMinimumWindowMs = 600'000;
  std::int64_t mRepeatableMinimumMs = 60'000;
  // At 231 bytes a record (oriole-bench capacity) 46 MB of the 128 MB, and as
  // much again for the moment in which a snapshot is written. It bounds the
  // steady rate: 330 a second that must not be repeated, 3,300 that may.
  std::size_t mMaxRecords = 200'000;
  // All kept answers together, each with what its book-keeping takes; beyond
  // it the oldest answers are dropped first (the outcome stays).
  std::size_t mMaxAnswerBytes = std::size_t{ 12 } << 20U;
};

enum class verdict : std::uint8_t
{
  Granted,    // claim: send attempt mAttempt to the target of the claim
  Recorded,   // finish, refusal: it is in the books now (or was already)
  InProgress, // another attempt runs
  Known,      // ended: see mRecord
  Mismatch,   // the key belongs to other work
  Full,       // nothing new is granted before older records may be forgotten
  Ignored,    // finish of an attempt that is not the current one
};

struct ledger_outcome
{
  verdict mVerdict = verdict::Ignored;
  std::uint32_t mAttempt = 0;
  // The record as it stands now; absent for Full and Ignored.
  std::optional<request_record> mRecord;
};

class request_ledger
{
public:
  request_ledger();
  explicit request_ledger(ledger_options aOptions);
  // Moved, never copied: it points into itself.
  request_ledger(const request_ledger&) = delete;
  request_ledger& operator=(const request_ledger&) = delete;
  request_ledger(request_ledger&&) = default;
  request_ledger& operator=(request_ledger&&) = default;
  ~request_ledger() = default;

  // Applies one committed command. aWallMs is the proposer's wall clock, as
  // recorded in the log, so that every replica forgets at the same place.
  ledger_outcome Apply(const ledger_command& aCommand, std::int64_t aWallMs);

  [[nodiscard]] const request_record* Find(const request_ref& aRef) const;

  struct running_request
  {
    request_ref mRef;
    request_record mRecord;
  };
  // In the order of their keys.
  [[nodiscard]] std::vector<running_request> Running() const;
  [[nodiscard]] std::set<owning_entry> Owners() const;

  [[nodiscard]] std::size_t Size() const { return mRecords.size(); }
  [[nodiscard]] std::size_t AnswerBytes() const { return mAnswerBytes; }

  // For snapshots; options are not part of the state.
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
  // Oldest end first; points into mRecords, whose keys stay where they are
  // until they are forgotten, which happens only from here.
  std::deque<const request_ref*> mEnded;
  std::deque<request_ref> mAnswered; // oldest kept answer first
  std::int64_t mLastWallMs = 0;      // never falls, whatever the clocks do
  // Derived.
  std::map<owning_entry, std::set<request_ref>> mRunning;
  std::size_t mAnswerBytes = 0;
};

} // namespace oriolewalk::ledger
