#pragma once

// The client's pool. Inside http only.

#include <cstddef>
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
  // The connection is idle. False if the client is closed.
  bool Return(const std::shared_ptr<connection>& aConnection);
  // Once for each connection, when it closes: it no longer counts.
  void Remove(connection& aConnection);
  // From its constructor and destructor.
  void Opened(connection& aConnection);
  void Ended(connection& aConnection);
  void Close();
  [[nodiscard]] const client_limits& Limits() const { return mLimits; }

private:
  struct pool
  {
    std::vector<std::shared_ptr<connection>> mIdle; // the latest last
    std::size_t mOpen = 0;
  };

  // Under mLock: an idle connection, none where one may be opened (it is
  // counted), or why not.
  std::string Choose(const settings::address& aTo,
                     std::shared_ptr<connection>& aChosen);

  boost::asio::io_context& mContext;
  const client_limits mLimits;
  std::mutex mLock;
  std::map<settings::address, pool> mPools;
  std::set<connection*> mAll;
  bool mClosed = false;
};

} // namespace oriolewalk::http
