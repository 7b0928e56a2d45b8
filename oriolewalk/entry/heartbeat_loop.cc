#include "oriolewalk/entry/heartbeat_loop.h"

#include <utility>
#include <variant>

#include <boost/asio/post.hpp>

#include "oriolewalk/observe/log.h"

namespace oriolewalk::entry {

namespace {

// Twice the time for which the leader holds a heartbeat. After that, the
// heartbeat or its answer is considered lost.
constexpr milliseconds kHeartbeatTimeout{ 2 * protocol::kHeartbeatHoldMs };
constexpr milliseconds kRetryDelay{ 20 };

} // namespace

heartbeat_loop::heartbeat_loop(boost::asio::io_context& aControl,
                               control_link& aLink,
                               serving_state& aServing,
                               protocol::heartbeat aHeartbeat,
                               table_function aOnTable,
                               count_function aInProgress)
  : mControl(aControl)
  , mLink(aLink)
  , mServing(aServing)
  , mHeartbeat(std::move(aHeartbeat))
  , mOnTable(std::move(aOnTable))
  , mInProgress(std::move(aInProgress))
  , mTimer(aControl)
{
}

void
heartbeat_loop::SendHeartbeat()
{
  const time_point now = runtime_clock::now();
  mHeartbeat.mWeightsVersion = mLease.Version();
  mHeartbeat.mDraining = mServing.IsDraining();
  mHeartbeat.mInProgress = mInProgress();
  mLink.Send(
    mHeartbeat, now + kHeartbeatTimeout, [this, now](control_answer aAnswer) {
      boost::asio::post(mControl, [this, now, answer = std::move(aAnswer)]() {
        OnAnswer(answer, now);
      });
    });
}

void
heartbeat_loop::OnAnswer(const control_answer& aAnswer, time_point aSentAt)
{
  const auto* answer =
    aAnswer ? std::get_if<protocol::heartbeat_answer>(&*aAnswer) : nullptr;
  if (answer == nullptr) {
    RetryAfter(kRetryDelay);
    return;
  }
  if (answer->mGranted) {
    // The lease starts when the heartbeat was sent, and only for the confirmed
    // version. The link may have retried; the time of the first attempt is the
    // safe choice.
    mLease.Confirmed(mHeartbeat.mWeightsVersion, aSentAt);
    mServing.SetLease(mLease.Until(), mLease.Version());
  } else if (!AdoptTable(*answer)) {
    // The table is older or unreadable. An immediate retry would be a busy
    // loop.
    RetryAfter(kRetryDelay);
    return;
  }
  SendHeartbeat();
}

bool
heartbeat_loop::AdoptTable(const protocol::heartbeat_answer& aAnswer)
{
  if (!aAnswer.mTable) {
    return false;
  }
  const auto table = weights::weights_table::Parse(*aAnswer.mTable);
  if (!table) {
    observe::Log(observe::log_level::Error,
                 "weights table cannot be read",
                 { { "version", std::to_string(aAnswer.mVersion) } });
    return false;
  }
  if (!mLease.Adopt(aAnswer.mVersion)) {
    return false;
  }
  mOnTable(*table);
  return true;
}

void
heartbeat_loop::RetryAfter(duration aDelay)
{
  mTimer.expires_after(aDelay);
  mTimer.async_wait([this](const auto& aProblem) {
    if (!aProblem) {
      SendHeartbeat();
    }
  });
}

} // namespace oriolewalk::entry
