#pragma once

// One connection of a caller. Inside http only.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/http/deadline.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/message_feed.h"
#include "oriolewalk/http/server.h"

namespace oriolewalk::http {

struct waiting_session
{
  session* mSession = nullptr;
  time_point mSince{};
};

// In the order in which they got there, the first first.
using session_order = std::map<std::uint64_t, waiting_session>;

// What all sessions of a server share.
struct session_shared
{
  server_limits mLimits;
  handler mHandler;
  std::atomic<std::size_t> mActive = 0;
  std::atomic<std::size_t> mConnections = 0;
  std::atomic<bool> mDraining = false;
  std::atomic<std::size_t> mHeldBytes = 0; // of all sessions
  std::atomic<std::size_t> mClosedForRoom = 0;
  // Sessions take themselves out as they end, so none here is dangling.
  std::mutex mLock;
  std::set<session*> mOpen;
  // Those that wait for a request of which nothing has come.
  session_order mIdle;
  // Those that wait for the peer amid a request or an answer.
  session_order mStalled;
  std::uint64_t mLastTicket = 0;

  // Closes an idle connection, else one that has been stalled for some time.
  // False: there is none.
  bool CloseForConnection();
  // Sheds stalled sessions until no more than aMost bytes are held, but not
  // aSpared. False: more are still held.
  bool MakeRoom(std::size_t aMost, const session* aSpared);

private:
  // Of those that are there since aUntil or before.
  std::shared_ptr<session> TakeFirst(session_order& aOrder,
                                     const session* aSpared,
                                     time_point aUntil = time_point::max());
};

// One read is always under way, also while an answer is awaited: there it sees
// the caller hang up without a further system call, and what it brings
// otherwise is the start of the next request, kept until this one is answered.
// Owned by its outstanding operations; runs on its own strand.
class session : public std::enable_shared_from_this<session>
{
public:
  session(boost::asio::ip::tcp::socket aSocket,
          std::shared_ptr<session_shared> aShared);
  ~session();
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  session(session&&) = delete;
  session& operator=(session&&) = delete;

  void Start();
  // Any thread.
  void Close();
  // Gives up what it holds; a request that isn't whole is refused.
  void Shed();
  void Answer(std::uint64_t aNumber, response aResponse);
  void Watch(std::uint64_t aNumber, std::function<void()> aGone);
  // For mDeadline.
  void HandleTimeout();

private:
  using parser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;
  using outgoing =
    boost::beast::http::response<boost::beast::http::string_body>;

  static constexpr unsigned kVersion11 = 11;

  enum class state : std::uint8_t
  {
    Reading,   // a request, or idle before one
    Answering, // the handler has it
    Writing,
    Lingering, // a refusal was sent: the rest is read and dropped
    Closed,
  };

  void Begin();
  void Read();
  void HandleRead(boost::system::error_code aCode, std::size_t aCount);
  void HandleGone();
  void Parse();
  void HandleHeader();
  void Dispatch();
  void Refuse(boost::system::error_code aCode);
  void RefuseWith(unsigned aStatus, const char* aReason);
  void RefuseForRoom();
  void HandleShed();
  void Write(response aResponse, bool aKeepAlive);
  void HandleWritten(boost::system::error_code aCode, bool aKeepAlive);
  void Linger();
  void HandleLinger(boost::system::error_code aCode, std::size_t aCount);
  void CloseNow();
  void SetDeadline(milliseconds aFromNow);
  void LeaveOrders();
  void JoinOrder(session_order session_shared::*aOrder);
  void Hold(std::size_t aBytes);
  [[nodiscard]] std::size_t ReceivedBytes() const;
  // Holds what has come of a request. False: there is no room for it.
  bool HoldReceived();
  // Holds a whole request while it is handled. False: there is no room for it.
  bool HoldHandled(const request& aRequest);
  // No other session holds anything.
  [[nodiscard]] bool HoldsAll() const;

  boost::asio::ip::tcp::socket mSocket;
  std::shared_ptr<session_shared> mShared;
  deadline<session> mDeadline;
  std::string mPeer;
  boost::beast::flat_buffer mBuffer;
  std::unique_ptr<parser> mParser; // of the request that is being read
  std::optional<message_feed> mFeed;
  std::optional<outgoing> mMessage;
  state mState = state::Reading;
  bool mReading = false;
  bool mPeerGone = false;
  bool mHeaderDone = false;
  bool mRequestBegun = false;
  bool mKeepAlive = false;
  bool mHead = false;
  unsigned mVersion = kVersion11;
  std::uint64_t mNumber = 0; // of the request in hand
  std::function<void()> mGone;
  std::size_t mLingered = 0;
  std::uint64_t mTicket = 0; // in an order of mShared; 0: in none
  std::atomic<std::size_t> mHeldBytes = 0;
  std::atomic<bool> mShed = false;
};

} // namespace oriolewalk::http
