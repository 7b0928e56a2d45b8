#include "oriolewalk/http/connection.h"

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <sys/socket.h>
#include <sys/types.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/client_core.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using system_code = boost::system::error_code;
using code = oriolewalk::error_code;

constexpr std::size_t kReadBytes = 16UL * 1024;
// While idle: a read that is under way then also takes the next answer.
constexpr std::size_t kIdleReadBytes = 4UL * 1024;
constexpr unsigned kVersion11 = 11;
constexpr unsigned kFirstFinalStatus = 200;
// 100 and the like, before the answer itself.
constexpr std::size_t kMaxInterimAnswers = 16;
// Answers up to this size get through however much larger ones hold.
constexpr std::size_t kSmallAnswerBytes = 64UL * 1024;

bool
IsOurs(const header& aHeader)
{
  return beast::iequals(aHeader.mName, "Content-Length") ||
         beast::iequals(aHeader.mName, "Connection") ||
         beast::iequals(aHeader.mName, "Transfer-Encoding");
}

} // namespace

connection::connection(asio::io_context& aContext,
                       settings::address aTo,
                       std::shared_ptr<client::core> aCore)
  : mSocket(asio::make_strand(aContext))
  , mTo(std::move(aTo))
  , mCore(std::move(aCore))
  , mDeadline(*this, mSocket.get_executor())
{
  mCore->Opened(*this);
}

connection::~connection()
{
  if (mState != state::Closed) {
    mCore->Remove(*this);
  }
  ReleaseHeld();
  mCore->Ended(*this);
}

void
connection::Start(std::unique_ptr<call> aCall)
{
  asio::dispatch(
    mSocket.get_executor(),
    [self = shared_from_this(), call = std::move(aCall)]() mutable {
      self->mCall = std::move(call);
      self->Begin();
    });
}

void
connection::Close()
{
  asio::dispatch(mSocket.get_executor(), [self = shared_from_this()] {
    self->FailCall(code::Unavailable, "the client was closed");
    self->CloseNow();
  });
}

void
connection::Begin()
{
  if (mState == state::Fresh) {
    Connect();
    return;
  }
  if (mState == state::Closed || IsStale()) {
    CloseNow();
    mCore->Launch(std::move(mCall));
    return;
  }
  mUsedBefore = true;
  AskOrWrite();
}

// The peer may have closed, or sent what nobody asked for, without our read's
// handler having run yet. One system call spares most of the unknown outcomes
// that a peer's idle time-out would otherwise make.
bool
connection::IsStale()
{
  char byte = 0;
  const ssize_t count =
    ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void
connection::Connect()
{
  mState = state::Connecting;
  system_code wrong;
  const auto host = asio::ip::make_address(mTo.mHost, wrong);
  if (wrong) {
    FailCall(code::InvalidArgument, wrong.message());
    CloseNow();
    return;
  }
  mDeadline.Set(std::min(
    mCall->mDue, runtime_clock::now() + mCall->mOptions.mConnectTimeout));
  const asio::ip::tcp::endpoint end(host, mTo.mPort);
  mSocket.open(end.protocol(), wrong);
  if (wrong) {
    FailCall(code::Unavailable, wrong.message());
    CloseNow();
    return;
  }
  // Before the handshake, which tells the peer the window.
  mSocket.set_option(asio::socket_base::receive_buffer_size(
                       static_cast<int>(mCore->Limits().mReceiveWindow)),
                     wrong);
  mSocket.async_connect(end, [self = shared_from_this()](system_code aCode) {
    self->HandleConnect(aCode);
  });
}

void
connection::HandleConnect(system_code aCode)
{
  if (mState != state::Connecting) {
    return;
  }
  if (aCode) {
    FailCall(code::Unavailable, aCode.message());
    CloseNow();
    return;
  }
  system_code ignored;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  AskOrWrite();
}

void
connection::AskOrWrite()
{
  // Sent with no time left for the answer, it would be carried out unheard.
  const time_point now = runtime_clock::now();
  const auto& startBefore = mCall->mOptions.mStartBefore;
  if (now >= mCall->mDue || (startBefore && now >= *startBefore)) {
    FailCall(code::Timeout, "no time was left to send it");
    CloseNow();
    return;
  }
  const std::optional<peer_check>& check = mCall->mOptions.mPeer;
  mAsking = check && check->mName != mPeerName;
  if (mAsking) {
    Write(check->mQuestion, check->mQuestion.mBody);
  } else {
    // A copy would be needed only for a resend; the body is moved back into the
    // call if nothing was written.
    Write(mCall->mRequest, std::move(mCall->mRequest.mBody));
  }
}

void
connection::Write(const request& aHead, bytes aBody)
{
  mState = state::Sending;
  mBytesWritten = false;
  mInterimAnswers = 0;
  mWriting = true;
  mDeadline.Set(mCall->mDue);
  StartAnswer();
  mMessage.emplace();
  mMessage->version(kVersion11);
  mMessage->method_string(aHead.mMethod);
  mMessage->target(aHead.mTarget);
  if (!aHead.Find("Host")) { // a caller may mean another name at this address
    mMessage->set(beast::http::field::host, mTo.ToString());
  }
  for (const header& one : aHead.mHeaders) {
    if (!IsOurs(one)) {
      mMessage->insert(one.mName, one.mValue);
    }
  }
  mMessage->body() = std::move(aBody);
  mMessage->prepare_payload();
  beast::http::async_write(
    mSocket,
    *mMessage,
    [self = shared_from_this()](system_code aCode, std::size_t aCount) {
      self->HandleWritten(aCode, aCount);
    });
  Read();
}

void
connection::HandleWritten(system_code aCode, std::size_t aCount)
{
  mWriting = false;
  mBytesWritten = mBytesWritten || aCount > 0;
  if (!aCode && mAsking && mCall && mParser->is_done()) {
    HandleAnswer(); // it came before this handler ran
    return;
  }
  if (!aCode || mState != state::Sending || !mCall) {
    return;
  }
  if (mUsedBefore && !mBytesWritten && mMessage) {
    if (!mAsking) {
      mCall->mRequest.mBody = std::move(mMessage->body());
    }
    auto call = std::move(mCall);
    CloseNow();
    mCore->Launch(std::move(call));
    return;
  }
  FailCall(code::Unavailable, aCode.message());
  CloseNow();
}

void
connection::Read()
{
  if (mReading || mState == state::Closed) {
    return;
  }
  const std::size_t count = mState == state::Idle ? kIdleReadBytes : kReadBytes;
  if (mBuffer.size() == 0 && mBuffer.capacity() > count) {
    mBuffer.shrink_to_fit();
  }
  mReading = true;
  mSocket.async_read_some(
    mBuffer.prepare(count),
    [self = shared_from_this()](system_code aCode, std::size_t aCount) {
      self->mReading = false;
      self->HandleRead(aCode, aCount);
    });
}

void
connection::HandleRead(system_code aCode, std::size_t aCount)
{
  mBuffer.commit(aCount);
  if (mState == state::Closed) {
    return;
  }
  if (mState == state::Idle) {
    // Closed by the peer, or an answer that nobody asked for.
    CloseNow();
    return;
  }
  if (aCode) {
    FailCall(code::Unavailable,
             aCode == asio::error::eof ? "the answer was cut off"
                                       : aCode.message());
    CloseNow();
    return;
  }
  Parse();
}

void
connection::StartAnswer()
{
  mParser = std::make_unique<parser>();
  mParser->eager(true);
  mParser->header_limit(
    static_cast<std::uint32_t>(mCall->mOptions.mMaxAnswerHeaderBytes));
  mParser->body_limit(mCall->mOptions.mMaxAnswerBytes);
  mParser->skip(mCall->mRequest.mMethod == "HEAD");
  mFeed.emplace(feed_limits{ mCall->mOptions.mMaxAnswerHeaderBytes,
                             mCall->mOptions.mMaxAnswerFields });
}

// Gives the parser what has come. need_more is no error here.
system_code
connection::Feed()
{
  using beast::http::error;
  while (mBuffer.size() > 0 && !mParser->is_done()) {
    if (const system_code wrong = mFeed->Put(*mParser, mBuffer); wrong) {
      return wrong;
    }
    if (!mParser->is_done()) {
      break;
    }
    if (mParser->get().result_int() < kFirstFinalStatus) {
      if (++mInterimAnswers > kMaxInterimAnswers) {
        return error::header_limit;
      }
      StartAnswer(); // the answer itself is still to come
    }
  }
  if (mParser->is_header_done() && mParser->need_eof()) {
    return error::bad_content_length; // an end that can't be told from a cut
  }
  return {};
}

bool
connection::HoldReceived()
{
  const std::string& body = mParser->get().body();
  const std::size_t bytes =
    mBuffer.capacity() + std::min(body.capacity(), 2 * body.size());
  const bool room = mCore->Hold(std::exchange(mHeldBytes, bytes), bytes);
  return room || bytes <= kSmallAnswerBytes;
}

void
connection::ReleaseHeld()
{
  mCore->Hold(std::exchange(mHeldBytes, 0), 0);
}

void
connection::Parse()
{
  using beast::http::error;
  // An answer proves that something was written, whatever our own handler has
  // seen so far.
  mBytesWritten = true;
  const system_code wrong = Feed();
  if (wrong == error::body_limit || wrong == error::header_limit) {
    FailCall(code::InvalidArgument, "the answer is too large");
    CloseNow();
  } else if (wrong) {
    FailCall(code::Corrupt, wrong.message());
    CloseNow();
  } else if (mParser->is_done() && !(mAsking && mWriting)) {
    HandleAnswer();
  } else if (!mParser->is_done() && !HoldReceived()) {
    FailCall(code::Busy, "no memory is left for the answer");
    CloseNow();
  } else if (!mParser->is_done()) {
    Read();
  }
}

bool
connection::Matches(const response& aResponse) const
{
  return std::ranges::all_of(mCall->mOptions.mMustMatch,
                             [&](const header& aWanted) {
                               const auto value = aResponse.Find(aWanted.mName);
                               return !value || *value == aWanted.mValue;
                             });
}

void
connection::HandleAnswer()
{
  const bool reuse = mParser->keep_alive() && !mWriting && mBuffer.size() == 0;
  auto message = mParser->release();
  ReleaseHeld();
  response whole{ message.result_int(), {}, std::move(message.body()) };
  for (const auto& field : message) {
    whole.mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  std::erase_if(whole.mHeaders, IsOurs);
  if (mAsking) {
    HandleName(std::move(whole), reuse);
    return;
  }
  if (!Matches(whole)) {
    FailCall(code::Corrupt, "the answer is to another request");
    CloseNow();
    return;
  }
  const auto call = std::move(mCall);
  mState = state::Idle;
  mDeadline.Set(runtime_clock::now() + mCore->Limits().mIdleTimeout);
  Read();
  if (!reuse || !mCore->Return(shared_from_this(), mPeerName)) {
    CloseNow();
  }
  call->mDone(answered{ std::move(whole) });
}

void
connection::HandleName(response aAnswer, bool aReuse)
{
  const peer_check& check = *mCall->mOptions.mPeer;
  mPeerName = check.mReadName(aAnswer);
  if (aReuse && mPeerName == check.mName) {
    AskOrWrite();
    return;
  }
  FailCall(code::Conflict,
           aReuse ? "another process is there" : "the peer keeps no connection",
           std::move(aAnswer));
  CloseNow();
}

void
connection::HandleTimeout()
{
  if (mState == state::Connecting) {
    FailCall(code::Timeout, "no connection in time");
  } else if (mState == state::Sending) {
    FailCall(code::Timeout, "no whole answer in time");
  }
  CloseNow();
}

// Ends the call, if there is one, by what is known of its bytes. While a write
// is under way some may have gone out that its handler has not told of.
void
connection::FailCall(code aCode,
                     std::string_view aReason,
                     std::optional<response> aAnswer)
{
  const auto call = std::move(mCall);
  if (!call) {
    return;
  }
  const bool sent =
    mState == state::Sending && !mAsking && (mBytesWritten || mWriting);
  error problem{ aCode,
                 mState == state::Sending ? "waiting for the answer"
                                          : "connecting",
                 mTo.ToString(),
                 std::string(aReason) };
  if (sent) {
    call->mDone(unknown_outcome{ std::move(problem) });
  } else {
    call->mDone(never_started{ std::move(problem), std::move(aAnswer) });
  }
}

void
connection::CloseNow()
{
  if (mState == state::Closed) {
    return;
  }
  mState = state::Closed;
  mDeadline.Stop();
  ReleaseHeld();
  mParser.reset();
  mCore->Remove(*this);
  system_code ignored;
  mSocket.close(ignored);
}

} // namespace oriolewalk::http
