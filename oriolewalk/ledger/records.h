#pragma once

// The records of the request ledger: what goes into the log (commands) and
// what is kept by key (request_record).

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

// One piece of work as its caller names it: the key is unique within the
// organisation.
struct request_ref
{
  organisation_id mOrganisation;
  request_key mKey;

  auto operator<=>(const request_ref&) const = default;
  // "ORGANISATION/KEY", as targets and the time line see it.
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

// The entry process that carries a request: an instance and one life of it.
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

// Who sends an attempt, and where to.
struct placement
{
  owning_entry mOwner;
  service_id mService;
  target_id mTarget;
  // Where the target was when it was chosen: a grant that is asked for again
  // from a new leader must not wait for the target's next renewal.
  std::string mAddress;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mOwner, mService, mTarget, mAddress);
  }
};

// "This key runs on this target now." Committed before anything is sent.
struct claim
{
  request_ref mRef;
  // Hash of method, path, class and body: the same key must mean the same work.
  std::uint64_t mFingerprint = 0;
  placement mPlacement;
  // Made by the carrier for each claim that it makes, unique among all
  // carriers (random): a claim sent again after a lost answer bears the same
  // token, and gets the same grant.
  std::uint64_t mToken = 0;
  std::uint8_t mClass = 0; // the proposer's enumeration; opaque here
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
  Answered,   // The target's whole answer is here.
  NotStarted, // Surely not begun: not one byte reached the target.
  Unknown,    // Sent, but no whole answer: it may have run.
};

// How the attempt that was granted to mToken ended, told by its carrier. The
// token names the attempt, since a carrier whose grant was lost on the way has
// to give it back without knowing its number.
struct finish
{
  request_ref mRef;
  std::uint64_t mToken = 0;
  attempt_result mResult = attempt_result::Unknown;
  std::uint16_t mStatus = 0; // HTTP status of the answer
  bool mAnswerKept = false;  // false where the answer was too large to keep
  bytes mAnswer;             // empty unless kept

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mRef, mToken, mResult, mStatus, mAnswerKept, mAnswer);
  }
};

// Tombstone: this key did not run and never will.
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

// The carrier is gone: what it carried may have run, nobody will tell.
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
  Ready,     // The last attempt surely did not start; may be claimed again.
  Completed, // Final.
  NotRun,    // Final: a tombstone.
  Unknown,   // May have run; ends if the carrier turns up and tells.
};

// Kept for every key of the window, so it is small: who carries a running
// attempt and a kept answer stand apart, and most records have neither.
struct request_record
{
  request_state mState = request_state::Running;
  bool mRepeatable = false;
  std::uint8_t mClass = 0;
  std::uint16_t mStatus = 0;
  std::uint32_t mAttempt = 0;
  std::uint64_t mFingerprint = 0;
  std::uint64_t mToken = 0;
  std::int64_t mEndedWallMs = 0; // of the first end; 0 before it
  std::int64_t mDeadlineWallMs = 0;
  std::shared_ptr<placement> mPlacement; // only while an attempt runs
  std::shared_ptr<bytes> mAnswer;        // only if one is kept

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
