#pragma once

// The replicated history of the weights table.
//
//   weights_register table;                      // version 1, the built-in one
//   edit change{ "c-17", 1, csv, WallMilliseconds() };
//   edit_outcome outcome = table.Apply(change);  // on every voter, in log
//   order std::get<edit_accepted>(outcome).mVersion == 2; table.Apply(change)
//   == outcome;              // a resend: its first answer

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::weights {

// An operator's change, as it stands in the log.
struct edit
{
  std::string mChangeId;          // The operator's; 1 to 128 bytes.
  std::uint64_t mBaseVersion = 0; // The version that was edited.
  std::string mCsv;               // The whole new table.
  std::int64_t mWallMs = 0;       // For the history only.

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mChangeId, mBaseVersion, mCsv, mWallMs);
  }
};

struct edit_accepted
{
  std::uint64_t mVersion = 0;
  bool operator==(const edit_accepted&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mVersion);
  }
};

// Another change came first. mCurrent is what stood when this was decided.
struct edit_conflict
{
  std::uint64_t mCurrent = 0;
  bool operator==(const edit_conflict&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mCurrent);
  }
};

struct edit_rejected
{
  std::vector<table_error> mErrors;
  bool operator==(const edit_rejected&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mErrors);
  }
};

// The change id already names a change with another content: nothing is done,
// and the first answer stays with the first content.
struct edit_id_reused
{
  bool operator==(const edit_id_reused&) const = default;

  template<class Archive>
  void serialize(Archive& /*aArchive*/) // NOLINT(readability-identifier-naming)
  {
  }
};

using edit_outcome =
  std::variant<edit_accepted, edit_conflict, edit_rejected, edit_id_reused>;

struct version_record
{
  std::uint64_t mVersion = 0;
  std::string mChangeId; // Empty for the built-in table.
  std::int64_t mWallMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mVersion, mChangeId, mWallMs);
  }
};

struct changed_row
{
  weights_row mBefore;
  weights_row mAfter;
};

struct table_diff
{
  std::vector<weights_row> mAdded;
  std::vector<weights_row> mRemoved;
  std::vector<changed_row> mChanged;
};

table_diff
DiffTables(const weights_table& aFrom, const weights_table& aTo);

// What is kept, and so how late a resend may come.
inline constexpr std::size_t kKeptAnswers = 10000; // Change ids, newest.
// Of them, rejections with all of their errors; older ones keep the first.
inline constexpr std::size_t kKeptRejections = 500;
inline constexpr std::size_t kKeptVersions = 1000; // In the history.
// For At and Diff: the newest tables, and of those no more than these bytes.
inline constexpr std::size_t kKeptTables = 100;
inline constexpr std::size_t kKeptTableBytes = 4UL * 1024UL * 1024UL;
inline constexpr std::size_t kMaxChangeIdBytes = 128;

using shared_table = std::shared_ptr<const weights_table>;

// Aggregate root: the table changes only by Apply. Deterministic: the same
// edits in the same order give the same state everywhere. Owned by the control
// thread; a shared_table may be handed to any thread.
class weights_register
{
public:
  weights_register();

  // Cost: parsing the table; logarithmic in what is kept.
  edit_outcome Apply(const edit& aEdit);

  // The answer that an edit would get as a resend; nullopt if it is new. Lets
  // the leader answer a resend without the log.
  [[nodiscard]] std::optional<edit_outcome> Answer(const edit& aEdit) const;

  [[nodiscard]] std::uint64_t Version() const { return mVersion; }
  [[nodiscard]] const weights_table& Current() const { return *mCurrent; }
  [[nodiscard]] shared_table CurrentTable() const { return mCurrent; }

  // Oldest first.
  [[nodiscard]] const std::deque<version_record>& History() const
  {
    return mHistory;
  }
  // Errors: NotFound, for a version that is too old or does not exist yet.
  [[nodiscard]] result<weights_table> At(std::uint64_t aVersion) const;
  [[nodiscard]] result<table_diff> Diff(std::uint64_t aFrom,
                                        std::uint64_t aTo) const;

  // For snapshots. Errors of Restore: Corrupt; the register is then unchanged.
  [[nodiscard]] bytes Save() const;
  result<void> Restore(std::string_view aBytes);

private:
  struct kept_answer
  {
    std::uint64_t mDigest = 0; // Of the edit's content.
    edit_outcome mOutcome;

    template<class Archive>
    void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
    {
      aArchive(mDigest, mOutcome);
    }
  };
  struct kept_table
  {
    std::uint64_t mVersion = 0;
    std::string mCsv; // In the normal form.

    template<class Archive>
    void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
    {
      aArchive(mVersion, mCsv);
    }
  };

  edit_outcome Decide(const edit& aEdit);
  void Accept(const edit& aEdit, weights_table aTable);
  void Remember(const edit& aEdit, const edit_outcome& aOutcome);
  void KeepTable();

  std::uint64_t mVersion = 1;
  shared_table mCurrent;
  std::deque<version_record> mHistory;
  std::deque<kept_table> mTables;
  std::size_t mTableBytes = 0;
  std::map<std::string, kept_answer> mAnswers;
  std::deque<std::string> mAnswerOrder; // Oldest first.
  std::deque<std::string> mRejections;  // Oldest first.
};

} // namespace oriolewalk::weights
