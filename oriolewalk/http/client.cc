#include "oriolewalk/http/client.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/client_core.h"
#include "oriolewalk/http/connection.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

namespace {

bool
IsControl(char aLetter)
{
  return static_cast<unsigned char>(aLetter) < ' ';
}

// A line end in a header, or a space in the target, would end our request
// early and begin another one of the bytes' own (request splitting).
bool
IsWellFormed(const request& aRequest)
{
  const auto plain = [](char aLetter) {
    return aLetter > ' ' || static_cast<unsigned char>(aLetter) > '\x7f';
  };
  return !aRequest.mMethod.empty() &&
         std::ranges::all_of(aRequest.mMethod, plain) &&
         aRequest.mTarget.starts_with('/') &&
         std::ranges::all_of(aRequest.mTarget, plain) &&
         std::ranges::all_of(aRequest.mHeaders, [&](const header& aOne) {
           return !aOne.mName.empty() &&
                  std::ranges::all_of(aOne.mName, plain) &&
                  std::ranges::none_of(aOne.mValue, IsControl);
         });
}

} // namespace

client_limits
Within(const connection_limits& aBudget, client_limits aLimits)
{
  aLimits.mMaxOpen = aBudget.mMaxConnections;
  aLimits.mMaxHeldBytes = aBudget.mMaxHeldBytes;
  aLimits.mReceiveWindow = aBudget.mReceiveWindow;
  return aLimits;
}

void
client::core::Launch(std::unique_ptr<call> aCall)
{
  std::shared_ptr<connection> chosen;
  std::shared_ptr<connection> givenUp;
  std::string refusal;
  error_code code = error_code::Busy;
  {
    const std::scoped_lock lock(mLock);
    if (!IsWellFormed(aCall->mRequest)) {
      code = error_code::InvalidArgument;
      refusal = "the method, target or a header has a character that can't "
                "be sent";
    } else if (mClosed) {
      refusal = "the client is closed";
    } else {
      refusal = Choose(*aCall, chosen, givenUp);
    }
  }
  // Not under the lock: it may run at once, if this is its own thread's turn.
  if (givenUp) {
    givenUp->Close();
  }
  if (!refusal.empty()) {
    boost::asio::post(mContext,
                      [done = std::move(aCall->mDone),
                       problem = error{ code,
                                        "choosing a connection",
                                        aCall->mTo.ToString(),
                                        std::move(refusal) }] {
                        done(never_started{ problem });
                      });
    return;
  }
  if (!chosen) {
    chosen =
      std::make_shared<connection>(mContext, aCall->mTo, shared_from_this());
  }
  chosen->Start(std::move(aCall));
}

std::shared_ptr<connection>
client::core::TakeIdle(pool& aPool, const call& aCall)
{
  const auto latest = [&](const std::string& aPeerName) {
    return std::ranges::find(aPool.mIdle.rbegin(),
                             aPool.mIdle.rend(),
                             aPeerName,
                             &idle_connection::mPeerName);
  };
  auto found = aPool.mIdle.rbegin();
  if (aCall.mOptions.mPeer) {
    found = latest(aCall.mOptions.mPeer->mName);
    found = found == aPool.mIdle.rend() ? latest({}) : found;
  }
  if (found == aPool.mIdle.rend()) {
    return nullptr;
  }
  mIdleSince.erase(found->mSince);
  std::shared_ptr<connection> taken = std::move(found->mConnection);
  aPool.mIdle.erase(std::next(found).base());
  return taken;
}

std::string
client::core::Choose(const call& aCall,
                     std::shared_ptr<connection>& aChosen,
                     std::shared_ptr<connection>& aGivenUp)
{
  pool& there = mPools[aCall.mTo];
  aChosen = TakeIdle(there, aCall);
  if (aChosen) {
    return {};
  }
  if (there.mOpen >= mLimits.mMaxConnections) {
    return "all " + std::to_string(there.mOpen) + " connections are busy";
  }
  if (mOpen >= mLimits.mMaxOpen) {
    aGivenUp = GiveUpOldestIdle();
    if (!aGivenUp) {
      return "all " + std::to_string(mOpen) + " connections to anyone are busy";
    }
  }
  ++mPools[aCall.mTo].mOpen; // the closing may have ended the pool
  ++mOpen;
  return {};
}

std::shared_ptr<connection>
client::core::GiveUpOldestIdle()
{
  if (mIdleSince.empty()) {
    return nullptr;
  }
  const auto [since, address] = *mIdleSince.begin();
  mIdleSince.erase(mIdleSince.begin());
  const auto there = mPools.find(address);
  auto& idle = there->second.mIdle;
  const auto found = std::ranges::find(idle, since, &idle_connection::mSince);
  // It counts no more from here on, though it closes a moment later: Remove()
  // then finds it given up.
  std::shared_ptr<connection> oldest = std::move(found->mConnection);
  mGivenUp.insert(oldest.get());
  idle.erase(found);
  --mOpen;
  ++mClosedForRoom;
  if (--there->second.mOpen == 0) {
    mPools.erase(there);
  }
  return oldest;
}

bool
client::core::Return(const std::shared_ptr<connection>& aConnection,
                     const std::string& aPeerName)
{
  const std::scoped_lock lock(mLock);
  if (!mClosed) {
    mPools[aConnection->To()].mIdle.push_back(
      { ++mLastReturn, aPeerName, aConnection });
    mIdleSince.emplace(mLastReturn, aConnection->To());
  }
  return !mClosed;
}

void
client::core::Remove(connection& aConnection)
{
  std::shared_ptr<connection> kept; // freed after the lock
  const std::scoped_lock lock(mLock);
  if (mGivenUp.erase(&aConnection) > 0) {
    return;
  }
  const auto there = mPools.find(aConnection.To());
  if (there == mPools.end()) {
    return;
  }
  auto& idle = there->second.mIdle;
  const auto found =
    std::ranges::find(idle, &aConnection, [](const idle_connection& aOne) {
      return aOne.mConnection.get();
    });
  if (found != idle.end()) {
    mIdleSince.erase(found->mSince);
    kept = std::move(found->mConnection);
    idle.erase(found);
  }
  --mOpen;
  if (--there->second.mOpen == 0) {
    mPools.erase(there);
  }
}

void
client::core::Opened(connection& aConnection)
{
  const std::scoped_lock lock(mLock);
  mAll.insert(&aConnection);
}

void
client::core::Ended(connection& aConnection)
{
  const std::scoped_lock lock(mLock);
  mAll.erase(&aConnection);
}

void
client::core::Close()
{
  std::vector<std::shared_ptr<connection>> open;
  {
    const std::scoped_lock lock(mLock);
    mClosed = true;
    for (connection* one : mAll) {
      if (auto kept = one->weak_from_this().lock()) {
        open.push_back(std::move(kept));
      }
    }
  }
  for (const auto& one : open) {
    one->Close();
  }
}

std::size_t
client::core::Open() const
{
  const std::scoped_lock lock(mLock);
  return mOpen;
}

std::size_t
client::core::ClosedForRoom() const
{
  const std::scoped_lock lock(mLock);
  return mClosedForRoom;
}

client::client(boost::asio::io_context& aContext, client_limits aLimits)
  : mCore(std::make_shared<core>(aContext, aLimits))
{
}

client::~client()
{
  mCore->Close();
}

void
client::Send(const settings::address& aTo,
             request aRequest,
             send_options aOptions,
             send_callback aDone)
{
  const time_point due = runtime_clock::now() + aOptions.mTotalTimeout;
  mCore->Launch(std::make_unique<call>(call{
    aTo, std::move(aRequest), std::move(aOptions), std::move(aDone), due }));
}

std::size_t
client::Open() const
{
  return mCore->Open();
}

std::size_t
client::ClosedForRoom() const
{
  return mCore->ClosedForRoom();
}

std::size_t
client::HeldBytes() const
{
  return mCore->HeldBytes();
}

void
client::Close()
{
  mCore->Close();
}

} // namespace oriolewalk::http
