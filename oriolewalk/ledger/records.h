#pragma once

// The records of the request ledger: the commands that go into the log, and the
// request_record that is stored for each key.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <cereal/types/memory.hpp>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::ledger {

// Identifies one piece of work as its caller names it. The key is unique within
// the organisation.
struct request_ref
{
  organisation_id mOrganisation;
  request_key mKey;

  auto operator<=>(const request_ref&) const = default;
  // "ORGANISATION/KEY", the form that targets and the time line use.
  [[nodiscard]] std::string ToString() const;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOrganisation, mKey);
  }
};

struct request_ref_hash
{
  std::size_t operator()(const request_ref& aRef) const
  {
    const std::size_t first = std::hash<organisation_id>{}(aRef.mOrganisation);
    return first * 31 + std::hash<request_key>{}(aRef.mKey);
  }
};

// The entry process that owns a request: an instance and its incarnation.
struct owning_entry
{
  instance_id mInstance;
  std::uint64_t mBoot = 0;

  auto operator<=>(const owning_entry&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mInstance, mBoot);
  }
};

// The owner that sends an attempt, and the target of the attempt.
struct placement
{
  owning_entry mOwner;
  service_id mService;
  target_id mTarget;
  // The target's address when it was chosen: a grant that is requested again
  // from a new leader must not wait for the target's next renewal.
  std::string mAddress;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOwner, mService, mTarget, mAddress);
  }
};

// States that the key runs on the target now. Committed before anything is
// sent to the target.
struct claim
{
  request_ref mRef;
  // Hash of method, path, class, repeatability and body: the same key must mean
  // the same work.
  std::uint64_t mFingerprint = 0;
  placement mPlacement;
  // Chosen at random by the owner for each claim, and unique among all owners.
  // A claim that is sent again after a lost answer has the same token and gets
  // the same grant.
  std::uint64_t mToken = 0;
  std::uint8_t mClass = 0; // the proposer's enumeration, opaque to the ledger
  bool mRepeatable = false;
  std::int64_t mDeadlineWallMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRef,
             mFingerprint,
             mPlacement,
             mToken,
             mClass,
             mRepeatable,
             mDeadlineWallMs);
  }
};

enum class attempt_result : std::uint8_t
{
  Answered,   // The target's complete answer is known.
  NotStarted, // Not one byte reached the target.
  Unknown,    // Sent without a complete answer: it may have run.
};

// The owner's report of how the attempt that was granted to mToken ended. The
// token names the attempt, because an owner whose grant was lost in transit has
// to return it without knowing the attempt's number.
struct finish
{
  request_ref mRef;
  std::uint64_t mToken = 0;
  attempt_result mResult = attempt_result::Unknown;
  std::uint16_t mStatus = 0; // HTTP status of the answer
  bool mAnswerKept = false;  // false if the answer was too large to store
  bytes mAnswer;             // empty if it is not stored

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRef, mToken, mResult, mStatus, mAnswerKept, mAnswer);
  }
};

// A tombstone: the key did not run and never will.
struct refusal
{
  request_ref mRef;
  std::uint64_t mFingerprint = 0;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRef, mFingerprint);
  }
};

// The owner is gone: the requests that it owned may have run, and no report of
// them will come.
struct owner_lost
{
  owning_entry mOwner;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOwner);
  }
};

using ledger_command = std::variant<claim, finish, refusal, owner_lost>;

enum class request_state : std::uint8_t
{
  Running,   // An attempt is claimed and not known to have ended.
  Ready,     // The last attempt did not start; the key may be claimed again.
  Completed, // Final.
  NotRun,    // Final: a tombstone.
  Unknown,   // May have run. A late report of the owner replaces it.
};

// Stored for every key of the window, so it is small. The placement of a
// running attempt and a stored answer are allocated separately, because most
// records have neither.
struct request_record
{
  request_state mState = request_state::Running;
  bool mRepeatable = false;
  std::uint8_t mClass = 0;
  std::uint16_t mStatus = 0;
  std::uint32_t mAttempt = 0;
  std::uint64_t mFingerprint = 0;
  std::uint64_t mToken = 0;
  std::int64_t mEndedWallMs = 0; // when it first ended; 0 before
  std::int64_t mDeadlineWallMs = 0;
  std::shared_ptr<placement> mPlacement; // set only while an attempt runs
  std::shared_ptr<bytes> mAnswer;        // set only if an answer is stored

  [[nodiscard]] bool HasAnswer() const { return mAnswer != nullptr; }

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mState,
             mRepeatable,
             mClass,
             mStatus,
             mAttempt,
             mFingerprint,
             mToken,
             mEndedWallMs,
             mDeadlineWallMs,
             mPlacement,
             mAnswer);
  }
};

} // namespace oriolewalk::ledger
