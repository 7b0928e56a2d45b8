#pragma once

// The client's pool. Inside http only.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

class connection;

// A request under way.
struct call
{
  settings::address mTo;
  request mRequest;
  send_options mOptions;
  send_callback mDone;
  time_point mDue;
};

// One lock, held for map look-ups only. Lock order: none other is taken
// under it.
class client::core : public std::enable_shared_from_this<client::core>
{
public:
  core(boost::asio::io_context& aContext, client_limits aLimits)
    : mContext(aContext)
    , mLimits(aLimits)
  {
  }

  void Launch(std::unique_ptr<call> aCall);
  // The connection is idle; aPeerName: as its process told it, or empty. False
  // if the client is closed.
  bool Return(const std::shared_ptr<connection>& aConnection,
              const std::string& aPeerName);
  // Once for each connection, when it closes: it no longer counts.
  void Remove(connection& aConnection);
  // From its constructor and destructor.
  void Opened(connection& aConnection);
  void Ended(connection& aConnection);
  void Close();
  [[nodiscard]] const client_limits& Limits() const { return mLimits; }
  [[nodiscard]] std::size_t Open() const;
  [[nodiscard]] std::size_t ClosedForRoom() const;
  // A connection holds aAfter bytes of an answer instead of aBefore. Any
  // thread. False: all together hold too much.
  bool Hold(std::size_t aBefore, std::size_t aAfter)
  {
    mHeldBytes += aAfter - aBefore;
    return mHeldBytes <= mLimits.mMaxHeldBytes;
  }
  [[nodiscard]] std::size_t HeldBytes() const { return mHeldBytes; }

private:
  struct idle_connection
  {
    std::uint64_t mSince = 0; // rises with each return
    std::string mPeerName;
    std::shared_ptr<connection> mConnection;
  };
  struct pool
  {
    std::vector<idle_connection> mIdle; // the latest last
    std::size_t mOpen = 0;
  };

  // Under mLock. The connection that was idle for longest, to be closed; null
  // if none is. Without this a client of 1,100 peers keeps connections to all
  // of them until the process has no descriptor left for its disk.
  std::shared_ptr<connection> GiveUpOldestIdle();

  // Under mLock: takes the idle connection that suits the call best, or none.
  std::shared_ptr<connection> TakeIdle(pool& aPool, const call& aCall);
  // Under mLock: an idle connection, none where one may be opened (it is
  // counted), or why not. aGivenUp: to be closed for it.
  std::string Choose(const call& aCall,
                     std::shared_ptr<connection>& aChosen,
                     std::shared_ptr<connection>& aGivenUp);

  boost::asio::io_context& mContext;
  const client_limits mLimits;
  mutable std::mutex mLock;
  std::map<settings::address, pool> mPools;
  std::map<std::uint64_t, settings::address> mIdleSince; // the oldest first
  std::uint64_t mLastReturn = 0;
  std::size_t mOpen = 0; // in all pools
  std::size_t mClosedForRoom = 0;
  std::set<connection*> mAll;
  // Closed for room and no longer counted; each until it says that it closed.
  std::set<const connection*> mGivenUp;
  bool mClosed = false;
  std::atomic<std::size_t> mHeldBytes = 0; // of all connections
};

} // namespace oriolewalk::http
