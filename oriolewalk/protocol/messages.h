#pragma once

// The requests that entries send to the control processes, and the answers.
// Every request is idempotent and may be repeated to any control process: a
// claim has a token, an edit a change id and a job a key. All other requests
// report a state rather than ask for a change.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/protocol.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/ledger/records.h"
#include "oriolewalk/observe/hybrid_clock.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::protocol {

// NOLINTBEGIN(readability-identifier-naming): cereal's serialize

// Reports that an entry is up and which version of the weights table it uses.
// The leader holds the answer until there is a newer version, at most for
// kHeartbeatHoldMs.
struct heartbeat
{
  ledger::owning_entry mOwner;
  std::string mAddress; // listen address for callers, for status pages
  data_centre_id mDataCentre;
  std::uint64_t mWeightsVersion = 0;
  bool mDraining = false;
  std::uint64_t mInProgress = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      mOwner, mAddress, mDataCentre, mWeightsVersion, mDraining, mInProgress);
  }
};

// If mGranted is true, the serving lease is renewed from the time at which the
// heartbeat was sent. Otherwise mTable holds the version to use.
struct heartbeat_answer
{
  bool mGranted = false;
  std::uint64_t mVersion = 0;
  std::optional<std::string> mTable; // CSV

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mGranted, mVersion, mTable);
  }
};

// Claims a target for a caller's request. The answer is held until the request
// is placed or refused.
struct claim_request
{
  ledger::request_ref mRef;
  std::uint64_t mFingerprint = 0;
  ledger::owning_entry mOwner;
  std::uint64_t mToken = 0;
  service_id mService;
  std::string mCallerKey; // fair sharing within the organisation's share
  traffic::work_class mClass = traffic::work_class::Normal;
  bool mRepeatable = false;
  data_centre_id mOrigin;
  std::uint32_t mDeadlineMs = 0; // time that is left

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRef,
             mFingerprint,
             mOwner,
             mToken,
             mService,
             mCallerKey,
             mClass,
             mRepeatable,
             mOrigin,
             mDeadlineMs);
  }
};

// Allows the entry to send this attempt to the target. No other entry is
// granted the same attempt.
struct claim_granted
{
  std::uint32_t mAttempt = 0;
  target_id mTarget;
  std::string mAddress;
  // Time in the queue. With it the entry distinguishes a slow control process
  // from a full cell.
  std::uint32_t mWaitedMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAttempt, mTarget, mAddress, mWaitedMs);
  }
};

// The request with this key has ended, or another attempt of it is queued or
// running.
struct claim_known
{
  ledger::request_state mState = ledger::request_state::Running;
  std::uint16_t mStatus = 0;
  bool mAnswerKept = false;
  bytes mAnswer;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mState, mStatus, mAnswerKept, mAnswer);
  }
};

// Nothing was started, and the answer makes no statement about the key.
struct claim_busy
{
  std::string mReason;
  std::uint32_t mRetryAfterMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReason, mRetryAfterMs);
  }
};

// A tombstone is committed: the request did not run and never will.
struct claim_not_run
{
  std::string mReason;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReason);
  }
};

// The key was already used for a request with other content.
struct claim_mismatch
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/)
  {
  }
};

using claim_answer = std::variant<claim_granted,
                                  claim_known,
                                  claim_busy,
                                  claim_not_run,
                                  claim_mismatch>;

// Reports how the granted attempt ended. NotStarted for a token whose grant
// never arrived releases the claim.
struct finish_request
{
  ledger::finish mFinish;
  traffic::finish_result mQuality = traffic::finish_result::Answered;
  std::uint32_t mLatencyUs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFinish, mQuality, mLatencyUs);
  }
};

// Reports that the caller disconnected. A queued request leaves its queue; a
// running request continues.
struct cancel_request
{
  ledger::request_ref mRef;
  std::uint64_t mToken = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRef, mToken);
  }
};

struct target_announcement
{
  target_id mTarget;
  service_id mService;
  std::string mAddress;
  data_centre_id mDataCentre;
  std::uint32_t mSlots = 1;
  std::uint32_t mConnections = 1;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mService, mAddress, mDataCentre, mSlots, mConnections);
  }
};

struct target_leaving
{
  target_id mTarget;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget);
  }
};

struct target_answer
{
  std::uint32_t mRenewMs = 0;
  std::uint32_t mLeaseMs = 0;
  std::uint32_t mInProgress = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRenewMs, mLeaseMs, mInProgress);
  }
};

struct worker_announcement
{
  worker_id mWorker;
  cell::boot_id mBoot;
  data_centre_id mDataCentre;
  rack_id mRack;
  cell::resources mCapacity;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorker, mBoot, mDataCentre, mRack, mCapacity);
  }
};

struct worker_poll
{
  worker_id mWorker;
  std::uint32_t mWaitMs = 0;
  cell::worker_poll mPoll;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWorker, mWaitMs, mPoll);
  }
};

struct worker_answer
{
  std::uint32_t mLeaseMs = 0;
  bool mAnnounceAgain = false;
  std::vector<cell::worker_command> mCommands;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLeaseMs, mAnnounceAgain, mCommands);
  }
};

// An operator's HTTP request, passed to the leader unchanged.
struct operator_request
{
  std::string mMethod;
  std::string mPath; // with the query
  std::string mBody;
  std::string mKey;     // Idempotency-Key or Oriole-Change-Id
  std::string mIfMatch; // as in the header, without quotes

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMethod, mPath, mBody, mKey, mIfMatch);
  }
};

struct operator_answer
{
  std::uint16_t mStatus = 0;
  std::string mContentType = "application/json";
  std::string mETag;
  std::string mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStatus, mContentType, mETag, mBody);
  }
};

struct done
{
  template<class Archive>
  void serialize(Archive& /*aArchive*/)
  {
  }
};

using request_body = std::variant<heartbeat,
                                  claim_request,
                                  finish_request,
                                  cancel_request,
                                  target_announcement,
                                  target_leaving,
                                  worker_announcement,
                                  worker_poll,
                                  operator_request>;
using answer_body = std::variant<done,
                                 heartbeat_answer,
                                 claim_answer,
                                 target_answer,
                                 worker_answer,
                                 operator_answer>;

// The stamps keep the events of all processes in causal order.
struct request
{
  observe::stamp mStamp;
  request_body mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStamp, mBody);
  }
};

struct answer
{
  observe::stamp mStamp;
  answer_body mBody;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStamp, mBody);
  }
};

// NOLINTEND(readability-identifier-naming)

// Kind of the RPC call that carries a request.
constexpr std::uint16_t kControlCall = 1;

// How long the leader holds a heartbeat. A third of the serving lease, less a
// round trip, keeps the lease valid when two heartbeats are lost.
constexpr std::uint32_t kHeartbeatHoldMs = 500;
// Targets renew four times per lease. A silent target gets no new requests
// after 2 s, because the required detection time is a few seconds.
constexpr std::uint32_t kTargetRenewMs = 500;
constexpr std::uint32_t kTargetLeaseMs = 2000;
// Maximum time for which a worker's poll is held.
constexpr std::uint32_t kMaxPollMs = 1000;
// Maximum deadline that a caller may request.
constexpr std::uint32_t kMaxDeadlineMs = 600'000;
// Answers up to this size are stored in the ledger.
constexpr std::size_t kMaxStoredAnswerBytes = 16UL * 1024;

} // namespace oriolewalk::protocol
