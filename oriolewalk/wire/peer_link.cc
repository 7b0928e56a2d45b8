#include "oriolewalk/wire/peer_link.h"

#include <algorithm>
#include <utility>

#include "oriolewalk/wire/reply_code.h"

namespace oriolewalk::wire {

namespace {

kj::Duration
ToKj(duration aDuration)
{
  return std::chrono::duration_cast<nanoseconds>(aDuration).count() *
         kj::NANOSECONDS;
}

std::string
Describe(const kj::Exception& aException)
{
  return { aException.getDescription().cStr() };
}

} // namespace

peer_link::peer_link(std::string aPeer,
                     const rpc_options& aOptions,
                     kj::Network& aNetwork,
                     kj::Timer& aTimer,
                     std::uint64_t aSeed)
  : mPeer(std::move(aPeer))
  , mOptions(aOptions)
  , mNetwork(aNetwork)
  , mTimer(aTimer)
  , mRandom(aSeed)
  , mNextAttemptAt(aTimer.now())
  , mLastContactAt(aTimer.now())
  , mTasks(*this)
{
}

void
peer_link::taskFailed(kj::Exception&& /*aException*/)
{
  // Each task ends its own call, so only cancelled sends get here.
}

error
peer_link::MakeError(error_code aCode, std::string aMessage) const
{
  return { aCode, "rpc", mPeer, std::move(aMessage) };
}

void
peer_link::Call(outgoing_call aCall)
{
  if (mConnection != nullptr) {
    Send(std::move(aCall));
    return;
  }
  if (!mConnecting && mTimer.now() < mNextAttemptAt) {
    aCall.mReply(Fail(
      MakeError(error_code::Unavailable, "not connected, will try again")));
    return;
  }
  mPending.push_back(std::move(aCall));
  if (!mConnecting) {
    Connect();
  }
}

void
peer_link::Deliver(bytes aMessage)
{
  KJ_IF_MAYBE (live, mConnection) {
    if (mUndelivered >= mOptions.mMaxUndelivered) {
      return;
    }
    auto request = (*live)->mChannel.deliverRequest();
    auto messages = request.initMessages(1);
    messages.set(
      0,
      capnp::Data::Reader(reinterpret_cast<const kj::byte*>(aMessage.data()),
                          aMessage.size()));
    ++mUndelivered;
    const std::uint64_t generation = mGeneration;
    auto sent = request.send().then(
      [this](auto&&) {
        --mUndelivered;
        mLastContactAt = mTimer.now();
      },
      [this](kj::Exception&&) { --mUndelivered; });
    // A partitioned peer neither acknowledges nor resets. Without this timeout,
    // replication would wait for the kernel's, which takes minutes.
    mTasks.add(
      sent.exclusiveJoin(mTimer.afterDelay(ToKj(mOptions.mSilenceTimeout))
                           .then([this, generation]() {
                             --mUndelivered;
                             OnTimeout(generation);
                           })));
    return;
  }
  if (!mConnecting && mTimer.now() >= mNextAttemptAt) {
    Connect();
  }
}

void
peer_link::Connect()
{
  mConnecting = true;
  auto stream =
    mNetwork.parseAddress(mPeer).then([](kj::Own<kj::NetworkAddress> aAddress) {
      auto connected = aAddress->connect();
      return connected.attach(kj::mv(aAddress));
    });
  mTasks.add(mTimer.timeoutAfter(ToKj(mOptions.mConnectTimeout), kj::mv(stream))
               .then(
                 [this](kj::Own<kj::AsyncIoStream> aStream) {
                   Connected(kj::mv(aStream));
                 },
                 [this](kj::Exception&& aProblem) {
                   ConnectFailed(Describe(aProblem));
                 }));
}

void
peer_link::Connected(kj::Own<kj::AsyncIoStream> aStream)
{
  mConnecting = false;
  mFailedAttempts = 0;
  mLastContactAt = mTimer.now();
  const std::uint64_t generation = ++mGeneration;
  auto live = kj::heap<connection>(kj::mv(aStream));
  mTasks.add(live->mClient.onDisconnect().then(
    [this, generation]() { Drop(generation); }));
  mConnection = kj::mv(live);
  for (outgoing_call& call : std::exchange(mPending, {})) {
    Send(std::move(call));
  }
}

void
peer_link::ConnectFailed(const std::string& aReason)
{
  constexpr int kMaxDoublings = 10;
  mConnecting = false;
  const duration doubled =
    mOptions.mMinBackoff * (1LL << std::min(mFailedAttempts, kMaxDoublings));
  const duration backoff = std::min<duration>(doubled, mOptions.mMaxBackoff);
  ++mFailedAttempts;
  const double jitter = 0.5 + 0.5 * mRandom.Fraction();
  mNextAttemptAt =
    mTimer.now() + ToKj(std::chrono::duration_cast<duration>(backoff * jitter));
  for (outgoing_call& call : std::exchange(mPending, {})) {
    call.mReply(Fail(MakeError(error_code::Unavailable, aReason)));
  }
}

void
peer_link::Send(outgoing_call aCall)
{
  KJ_IF_MAYBE (live, mConnection) {
    auto request = (*live)->mChannel.callRequest();
    request.setKind(aCall.mKind);
    request.setBody(
      capnp::Data::Reader(reinterpret_cast<const kj::byte*>(aCall.mBody.data()),
                          aCall.mBody.size()));
    const std::uint64_t generation = mGeneration;
    auto reply = std::make_shared<reply_function>(std::move(aCall.mReply));
    auto answered = request.send().then(
      [this, reply](capnp::Response<Channel::CallResults>&& aResults) {
        mLastContactAt = mTimer.now();
        const auto body = aResults.getBody();
        (*reply)(FromReply(
          aResults.getCode(),
          bytes(reinterpret_cast<const char*>(body.begin()), body.size()),
          mPeer));
      },
      [this, reply](kj::Exception&& aProblem) {
        // The request may have arrived before the connection was lost.
        (*reply)(Fail(MakeError(error_code::Timeout, Describe(aProblem))));
      });
    auto late =
      mTimer.atTime(aCall.mDeadline).then([this, reply, generation]() {
        (*reply)(Fail(MakeError(error_code::Timeout, "no answer in time")));
        OnTimeout(generation);
      });
    mTasks.add(answered.exclusiveJoin(kj::mv(late)));
  }
}

void
peer_link::OnTimeout(std::uint64_t aGeneration)
{
  if (mTimer.now() - mLastContactAt >= ToKj(mOptions.mSilenceTimeout)) {
    Drop(aGeneration);
  }
}

// Runs in a promise of the connection that it drops, so the connection is
// destroyed in a later turn of the event loop.
void
peer_link::Drop(std::uint64_t aGeneration)
{
  if (aGeneration != mGeneration) {
    return;
  }
  KJ_IF_MAYBE (live, mConnection) {
    kj::Own<connection> dying = kj::mv(*live);
    mConnection = nullptr;
    mTasks.add(kj::evalLater([dying = kj::mv(dying)]() mutable {
      kj::Own<connection> ended = kj::mv(dying);
    }));
  }
}

} // namespace oriolewalk::wire
