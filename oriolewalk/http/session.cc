#include "oriolewalk/http/session.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <sys/socket.h>
#include <sys/types.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/http/responder.h"
#include "oriolewalk/http/server.h"

namespace oriolewalk::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16UL * 1024;
// While no request is under way, which most connections are most of the time;
// most requests fit.
constexpr std::size_t kIdleReadBytes = 4UL * 1024;
// A parsed field beside its text: the parser's record, then ours.
constexpr std::size_t kFieldBytes = 128;
// Larger requests, and those that aren't whole, leave a part of the room to the
// others.
constexpr std::size_t kSmallRequestBytes = 64UL * 1024;
constexpr std::size_t kSmallRequestsPart = 4;
constexpr milliseconds kLingerTimeout{ 1'000 };
// An ordinary request or answer takes less, over any distance.
constexpr milliseconds kStalledBound{ 500 };
constexpr std::size_t kMaxLinger = 1024UL * 1024;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kTimedOut = 408;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kUnavailable = 503;

std::string
Describe(const asio::ip::tcp::socket& aSocket)
{
  error_code code;
  const auto end = aSocket.remote_endpoint(code);
  return code ? std::string()
              : end.address().to_string() + ":" + std::to_string(end.port());
}

// A line end in a value would let a caller's bytes end our header and begin an
// answer of its own (response splitting).
std::string
Clean(std::string_view aValue)
{
  std::string text(aValue);
  std::ranges::replace_if(
    text, [](char aLetter) { return aLetter == '\r' || aLetter == '\n'; }, ' ');
  return text;
}

bool
IsOurs(const header& aHeader)
{
  return beast::iequals(aHeader.mName, "Content-Length") ||
         beast::iequals(aHeader.mName, "Connection") ||
         beast::iequals(aHeader.mName, "Transfer-Encoding");
}

} // namespace

session::session(asio::ip::tcp::socket aSocket,
                 std::shared_ptr<session_shared> aShared)
  : mSocket(std::move(aSocket))
  , mShared(std::move(aShared))
  , mDeadline(*this, mSocket.get_executor())
  , mPeer(Describe(mSocket))
{
  ++mShared->mConnections;
  const std::scoped_lock lock(mShared->mLock);
  mShared->mOpen.insert(this);
}

std::shared_ptr<session>
session_shared::TakeFirst(session_order& aOrder,
                          const session* aSpared,
                          time_point aUntil)
{
  const std::scoped_lock lock(mLock);
  auto next = aOrder.begin();
  while (next != aOrder.end() && next->second.mSince <= aUntil) {
    if (next->second.mSession == aSpared) {
      ++next;
      continue;
    }
    auto taken = next->second.mSession->weak_from_this().lock();
    next = aOrder.erase(next);
    if (taken) {
      ++mClosedForRoom;
      return taken;
    }
  }
  return nullptr;
}

// Peers that send nothing, or never finish, otherwise keep out whoever comes
// next for as long as the time-outs allow.
bool
session_shared::CloseForConnection()
{
  auto closed = TakeFirst(mIdle, nullptr);
  if (!closed) {
    closed = TakeFirst(mStalled, nullptr, runtime_clock::now() - kStalledBound);
  }
  if (closed) {
    closed->Close();
  }
  return closed != nullptr;
}

bool
session_shared::MakeRoom(std::size_t aMost, const session* aSpared)
{
  while (mHeldBytes > aMost) {
    const auto shed = TakeFirst(mStalled, aSpared);
    if (!shed) {
      return false;
    }
    shed->Shed();
  }
  return true;
}

void
session::LeaveOrders()
{
  if (mTicket == 0) {
    return;
  }
  const std::scoped_lock lock(mShared->mLock);
  mShared->mIdle.erase(mTicket);
  mShared->mStalled.erase(mTicket);
  mTicket = 0;
}

void
session::JoinOrder(session_order session_shared::*aOrder)
{
  LeaveOrders();
  const std::scoped_lock lock(mShared->mLock);
  mTicket = ++mShared->mLastTicket;
  ((*mShared).*aOrder)
    .emplace(mTicket, waiting_session{ this, runtime_clock::now() });
}

void
session::Hold(std::size_t aBytes)
{
  if (!mShed) {
    const std::size_t before = mHeldBytes.exchange(aBytes);
    mShared->mHeldBytes += aBytes - before;
  }
}

std::size_t
session::ReceivedBytes() const
{
  const auto& message = mParser->get();
  const auto fields =
    static_cast<std::size_t>(std::distance(message.begin(), message.end()));
  // A length that the peer has announced is reserved at once and costs nothing
  // until it comes.
  const std::size_t body =
    std::min(message.body().capacity(), 2 * message.body().size());
  return mBuffer.capacity() + fields * kFieldBytes + body;
}

bool
session::HoldReceived()
{
  Hold(ReceivedBytes());
  const std::size_t limit = mShared->mLimits.mMaxHeldBytes;
  return mShared->MakeRoom(limit - limit / kSmallRequestsPart, this) ||
         HoldsAll();
}

bool
session::HoldHandled(const request& aRequest)
{
  const std::size_t bytes = aRequest.mTarget.size() + aRequest.mBody.size() +
                            aRequest.mHeaders.size() * kFieldBytes;
  Hold(kHandledCopies * bytes);
  const std::size_t limit = mShared->mLimits.mMaxHeldBytes;
  return mShared->MakeRoom(bytes > kSmallRequestBytes
                             ? limit - limit / kSmallRequestsPart
                             : limit,
                           this) ||
         HoldsAll();
}

// A request within its own limits is served however small the room is.
bool
session::HoldsAll() const
{
  return mShared->mHeldBytes == mHeldBytes;
}

// Any thread: what it held is free for others at once.
void
session::Shed()
{
  if (!mShed.exchange(true)) {
    mShared->mHeldBytes -= mHeldBytes.exchange(0);
    // Not dispatch: the caller may be amid a step of this very session.
    asio::post(mSocket.get_executor(),
               [self = shared_from_this()] { self->HandleShed(); });
  }
}

void
session::HandleShed()
{
  switch (mState) {
    case state::Reading:
      if (mRequestBegun) {
        RefuseForRoom();
        return;
      }
      break;
    case state::Answering:
      break;
    case state::Writing:
    case state::Lingering:
    case state::Closed:
      CloseNow();
      return;
  }
  // It went on in the meantime.
  mShed = false;
}

session::~session()
{
  {
    const std::scoped_lock lock(mShared->mLock);
    mShared->mOpen.erase(this);
  }
  LeaveOrders();
  mShared->mHeldBytes -= mHeldBytes.exchange(0);
  --mShared->mConnections;
}

void
session::Start()
{
  asio::dispatch(mSocket.get_executor(), [self = shared_from_this()] {
    error_code ignored;
    self->mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->Begin();
  });
}

void
session::Close()
{
  asio::dispatch(mSocket.get_executor(),
                 [self = shared_from_this()] { self->CloseNow(); });
}

// Gets ready for the next request; part of it may be in the buffer.
void
session::Begin()
{
  mState = state::Reading;
  mParser = std::make_unique<parser>();
  mParser->eager(true);
  mParser->header_limit(
    static_cast<std::uint32_t>(mShared->mLimits.mMaxHeaderBytes));
  mParser->body_limit(mShared->mLimits.mMaxBodyBytes);
  mFeed.emplace(feed_limits{ mShared->mLimits.mMaxHeaderBytes,
                             mShared->mLimits.mMaxFields });
  Hold(0);
  mHeaderDone = false;
  mRequestBegun = false;
  SetDeadline(mShared->mLimits.mIdleTimeout);
  if (mBuffer.size() > 0) {
    Parse();
  } else if (mPeerGone) {
    CloseNow();
  } else {
    JoinOrder(&session_shared::mIdle);
    Read();
  }
}

void
session::Read()
{
  if (mReading || mState == state::Closed) {
    return;
  }
  const std::size_t count =
    mState == state::Reading && mRequestBegun ? kReadBytes : kIdleReadBytes;
  if (mBuffer.size() == 0 && mBuffer.capacity() > count) {
    mBuffer.shrink_to_fit();
  }
  mReading = true;
  mSocket.async_read_some(
    mBuffer.prepare(count),
    [self = shared_from_this()](error_code aCode, std::size_t aCount) {
      self->mReading = false;
      self->HandleRead(aCode, aCount);
    });
}

void
session::HandleRead(error_code aCode, std::size_t aCount)
{
  mBuffer.commit(aCount);
  if (mState == state::Closed) {
    return;
  }
  if (mState == state::Lingering) {
    HandleLinger(aCode, aCount);
    return;
  }
  if (aCode) {
    HandleGone();
    return;
  }
  if (mState == state::Reading) {
    Parse();
  }
}

// The caller closed its connection or its sending half. It may still read, so
// an answer that is under way is sent all the same.
void
session::HandleGone()
{
  mPeerGone = true;
  if (mState == state::Reading) {
    const bool cut = mRequestBegun;
    if (cut) {
      RefuseWith(kBadRequest, "the request was cut off");
    } else {
      CloseNow();
    }
    return;
  }
  if (const auto gone = std::exchange(mGone, nullptr)) {
    gone();
  }
}

void
session::Parse()
{
  const bool first = !mRequestBegun;
  if (first) {
    mRequestBegun = true;
    LeaveOrders();
    SetDeadline(mShared->mLimits.mHeaderTimeout);
  }
  if (const error_code code = mFeed->Put(*mParser, mBuffer); code) {
    Refuse(code);
    return;
  }
  if (mParser->is_header_done() && !mHeaderDone) {
    mHeaderDone = true;
    HandleHeader();
  }
  if (mState != state::Reading) {
    return;
  }
  if (mParser->is_done()) {
    Dispatch();
    return;
  }
  if (first) {
    JoinOrder(&session_shared::mStalled);
  }
  if (!HoldReceived()) {
    RefuseForRoom();
  } else if (mPeerGone) {
    HandleGone();
  } else {
    Read();
  }
}

void
session::HandleHeader()
{
  SetDeadline(mShared->mLimits.mBodyTimeout);
  const auto& message = mParser->get();
  const bool waits =
    !mParser->is_done() &&
    beast::iequals(message[beast::http::field::expect], "100-continue");
  if (waits) {
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    // A peer that reads none of its answers has filled the send buffer, and
    // must not make this thread wait.
    const ssize_t sent = ::send(mSocket.native_handle(),
                                kContinue.data(),
                                kContinue.size(),
                                MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(kContinue.size())) {
      CloseNow();
    }
  }
}

void
session::Dispatch()
{
  mDeadline.Clear();
  LeaveOrders();
  mKeepAlive = mParser->keep_alive();
  auto message = mParser->release();
  mParser.reset();
  mVersion = message.version();
  mHead = message.method() == beast::http::verb::head;
  request whole{ std::string(message.method_string()),
                 std::string(message.target()),
                 {},
                 std::move(message.body()),
                 mPeer };
  if (!whole.mTarget.starts_with('/')) {
    RefuseWith(kBadRequest, "the target must start with /");
    return;
  }
  for (const auto& field : message) {
    whole.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  if (!HoldHandled(whole)) {
    RefuseForRoom();
    return;
  }
  mState = state::Answering;
  ++mShared->mActive;
  ++mNumber;
  if (mBuffer.size() == 0) {
    Read();
  }
  mShared->mHandler(std::move(whole),
                    responder(std::make_shared<responder::pending>(
                      shared_from_this(), mNumber)));
}

void
session::Refuse(error_code aCode)
{
  using beast::http::error;
  if (aCode == error::header_limit) {
    RefuseWith(kHeaderTooLarge, "the header is too large");
  } else if (aCode == error::body_limit) {
    RefuseWith(kTooLarge, "the body is too large");
  } else {
    RefuseWith(kBadRequest, "the request is malformed");
  }
}

void
session::RefuseWith(unsigned aStatus, const char* aReason)
{
  ++mShared->mActive;
  response refusal{ aStatus,
                    { { "Content-Type", "application/json" } },
                    std::string(R"({"error":")") + aReason +
                      R"(","step":"reading the request","peer":""})" };
  if (aStatus == kUnavailable) {
    refusal.mHeaders.push_back({ "Retry-After", "1" });
  }
  mParser.reset();
  Write(std::move(refusal), false);
}

void
session::RefuseForRoom()
{
  RefuseWith(kUnavailable, "no memory is left; the request was not taken up");
}

void
session::HandleTimeout()
{
  if (mState == state::Reading && mRequestBegun) {
    RefuseWith(kTimedOut,
               mHeaderDone ? "the body came too slowly"
                           : "the header came too slowly");
    return;
  }
  CloseNow();
}

void
session::Answer(std::uint64_t aNumber, response aResponse)
{
  asio::dispatch(mSocket.get_executor(),
                 [self = shared_from_this(),
                  aNumber,
                  answer = std::move(aResponse)]() mutable {
                   if (self->mState == state::Answering &&
                       self->mNumber == aNumber) {
                     self->Write(std::move(answer), self->mKeepAlive);
                   }
                 });
}

void
session::Watch(std::uint64_t aNumber, std::function<void()> aGone)
{
  asio::dispatch(
    mSocket.get_executor(),
    [self = shared_from_this(), aNumber, gone = std::move(aGone)]() mutable {
      if (self->mState == state::Closed && self->mNumber == aNumber) {
        gone();
      } else if (self->mState == state::Answering && self->mNumber == aNumber) {
        self->mPeerGone ? gone() : void(self->mGone = std::move(gone));
      }
    });
}

void
session::Write(response aResponse, bool aKeepAlive)
{
  mState = state::Writing;
  mGone = nullptr;
  const bool keep = aKeepAlive && !mShared->mDraining;
  mMessage.emplace();
  mMessage->version(mVersion);
  mMessage->result(aResponse.mStatus);
  for (const header& one : aResponse.mHeaders) {
    if (!IsOurs(one)) {
      mMessage->insert(Clean(one.mName), Clean(one.mValue));
    }
  }
  mMessage->keep_alive(keep);
  if (aResponse.mStatus != kNoContent && aResponse.mStatus != kNotModified) {
    mMessage->content_length(aResponse.mBody.size());
  }
  if (!mHead) {
    mMessage->body() = std::move(aResponse.mBody);
  }
  mHead = false;
  SetDeadline(mShared->mLimits.mWriteTimeout);
  JoinOrder(&session_shared::mStalled);
  Hold(mMessage->body().size());
  // Answers are sent also where that isn't enough: they are ready.
  static_cast<void>(mShared->MakeRoom(mShared->mLimits.mMaxHeldBytes, this));
  beast::http::async_write(
    mSocket,
    *mMessage,
    [self = shared_from_this(), keep](error_code aCode, std::size_t) {
      self->HandleWritten(aCode, keep);
    });
}

void
session::HandleWritten(error_code aCode, bool aKeepAlive)
{
  --mShared->mActive;
  mMessage.reset();
  if (mState == state::Closed) {
    return;
  }
  if (aCode) {
    CloseNow();
  } else if (aKeepAlive) {
    Begin();
  } else {
    Linger();
  }
}

// A close while the peer's bytes are unread makes the system send a reset,
// which can destroy the answer before the peer has read it. So the sending
// half is closed, and what comes is read and dropped, within bounds.
void
session::Linger()
{
  mState = state::Lingering;
  error_code ignored;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  mBuffer.consume(mBuffer.size());
  Hold(0);
  if (mPeerGone) {
    CloseNow();
    return;
  }
  SetDeadline(kLingerTimeout);
  Read();
}

void
session::HandleLinger(error_code aCode, std::size_t aCount)
{
  mLingered += aCount;
  mBuffer.consume(mBuffer.size());
  if (aCode || mLingered > kMaxLinger) {
    CloseNow();
  } else {
    Read();
  }
}

void
session::CloseNow()
{
  if (mState == state::Closed) {
    return;
  }
  const bool answering = mState == state::Answering;
  mState = state::Closed;
  LeaveOrders();
  Hold(0);
  mDeadline.Stop();
  error_code ignored;
  mSocket.close(ignored);
  if (answering) {
    --mShared->mActive;
  }
  if (const auto gone = std::exchange(mGone, nullptr)) {
    gone();
  }
}

void
session::SetDeadline(milliseconds aFromNow)
{
  mDeadline.Set(runtime_clock::now() + aFromNow);
}

} // namespace oriolewalk::http
