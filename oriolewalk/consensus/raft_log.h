#pragma once

// The node's log in memory: the entries since the last compaction, which of
// them the shell has been given to store, and the memberships they bring.
//
//   raft_log log(initialMembers);
//   log.Append(entry);
//   log.Members();             // the latest, also while not committed
//   log_changes out = log.TakeChanges();
//
// Owned by raft_node; same thread.

#include <cstddef>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "oriolewalk/consensus/types.h"

namespace oriolewalk::consensus {

// What the shell must do to its stored log, in this order.
struct log_changes
{
  std::optional<log_index> mTruncateFrom;
  std::vector<log_entry> mAppend;
};

class raft_log
{
public:
  explicit raft_log(membership aInitial);

  // The position that the first kept entry follows.
  [[nodiscard]] log_position Base() const { return mBase; }
  [[nodiscard]] log_position Last() const;
  // The term at an index, if it is known: in [base, last].
  [[nodiscard]] std::optional<term_t> TermAt(log_index aIndex) const;
  [[nodiscard]] bool Has(log_position aPosition) const;
  // The first index of the run of aIndex's term, never below base + 1.
  [[nodiscard]] log_index FirstOfTerm(log_index aIndex) const;
  // The last index at or below aLimit whose term is at most aTerm.
  [[nodiscard]] log_index LastUpToTerm(term_t aTerm, log_index aLimit) const;
  // Entries [aFirst, aLast], both within the log.
  [[nodiscard]] std::span<const log_entry> Slice(log_index aFirst,
                                                 log_index aLast) const;
  // As many from aFirst on as fit into the limits, at least one if any.
  [[nodiscard]] std::span<const log_entry> Batch(log_index aFirst,
                                                 std::size_t aMaxEntries,
                                                 std::size_t aMaxBytes) const;

  void Append(log_entry aEntry);
  // As Append, for an entry that is on the disk already.
  void Restore(log_entry aEntry);
  // Drops entries from aFrom on.
  void Truncate(log_index aFrom);
  // Starts again behind a snapshot, without any entry.
  void Reset(log_position aBase, membership aMembers);
  // Drops entries up to aIndex, which must be in the log.
  void CompactTo(log_index aIndex);

  [[nodiscard]] bool HasChanges() const;
  log_changes TakeChanges();

  [[nodiscard]] const membership& Members() const;
  // Index of the entry that brought Members(); 0 or the base if none did.
  [[nodiscard]] log_index MembersIndex() const;
  [[nodiscard]] const membership& MembersAt(log_index aIndex) const;

private:
  void Push(log_entry aEntry);
  [[nodiscard]] std::size_t Offset(log_index aIndex) const;

  log_position mBase;
  std::vector<log_entry> mEntries;
  // By rising index; the first one holds from the base on.
  std::vector<std::pair<log_index, membership>> mMemberships;
  log_index mUnsavedFrom = 1;
  std::optional<log_index> mTruncateFrom;
};

} // namespace oriolewalk::consensus
