#include "oriolewalk/wire/kj_compat.h"

#include "oriolewalk/wire/incoming_connections.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include <kj/async-io.h>
#include <kj/async.h>

namespace oriolewalk::wire {

namespace {

// A read that insists on more is that of a message's body; shorter ones are of
// its frame.
constexpr std::size_t kFrameBytes = 4'096;
constexpr std::uint64_t kReadsOfMessage = 2;

} // namespace

// The names of the overriding functions are those of the library.
// NOLINTBEGIN(readability-identifier-naming)
class incoming_connections::counted_stream final : public kj::AsyncIoStream
{
public:
  counted_stream(incoming_connections& aAll, kj::Own<kj::AsyncIoStream> aInner)
    : mAll(aAll)
    , mInner(kj::mv(aInner))
    , mCut(kj::newPromiseAndFulfiller<std::size_t>())
    , mCutBranch(mCut.promise.fork())
    , mActivity(++mAll.mLast)
  {
    mAll.mStrangers.emplace(mActivity, this);
  }
  ~counted_stream()
  {
    EndMessage();
    mAll.Forget(mActivity);
  }
  KJ_DISALLOW_COPY(counted_stream);

  // Reads end at once with the end of the stream.
  void Cut()
  {
    EndMessage();
    mAll.Forget(mActivity);
    mIsCut = true;
    mCut.fulfiller->fulfill(0);
  }

  kj::Promise<std::size_t> tryRead(void* aBuffer,
                                   std::size_t aLeast,
                                   std::size_t aMost) override
  {
    if (mIsCut || aLeast > mAll.mLimits.mMaxMessageBytes) {
      return std::size_t{ 0 };
    }
    if (aLeast > kFrameBytes) {
      BeginMessage(aLeast);
      if (mIsCut) {
        return std::size_t{ 0 };
      }
    }
    return mInner->tryRead(aBuffer, aLeast, aMost)
      .exclusiveJoin(mCutBranch.addBranch())
      .then([this](std::size_t aCount) {
        EndMessage();
        if (!mIsCut) {
          NoteActivity();
        }
        return aCount;
      });
  }

  kj::Promise<void> write(const void* aBuffer, std::size_t aSize) override
  {
    return mInner->write(aBuffer, aSize);
  }
  kj::Promise<void> write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override
  {
    return mInner->write(aPieces);
  }
  kj::Promise<void> whenWriteDisconnected() override
  {
    return mInner->whenWriteDisconnected();
  }
  void shutdownWrite() override { mInner->shutdownWrite(); }
  void abortRead() override { mInner->abortRead(); }
  void getsockopt(int aLevel,
                  int aOption,
                  void* aValue,
                  kj::uint* aLength) override
  {
    mInner->getsockopt(aLevel, aOption, aValue, aLength);
  }
  void setsockopt(int aLevel,
                  int aOption,
                  const void* aValue,
                  kj::uint aLength) override
  {
    mInner->setsockopt(aLevel, aOption, aValue, aLength);
  }

private:
  // The first read is of a message's frame, the second one of what the frame
  // announced.
  void NoteActivity()
  {
    if (++mReads < kReadsOfMessage) {
      return;
    }
    mAll.Forget(mActivity);
    mActivity = ++mAll.mLast;
    mAll.mKnown.emplace(mActivity, this);
  }

  void BeginMessage(std::size_t aBytes)
  {
    mMessage = ++mAll.mLast;
    mMessageBytes = aBytes;
    mAll.mReceiving.emplace(mMessage, this);
    mAll.mReceivingBytes += aBytes;
    while (mAll.mReceivingBytes > mAll.mLimits.mMaxReceivingBytes) {
      mAll.CutFirst(mAll.mReceiving);
    }
  }

  void EndMessage()
  {
    if (mAll.mReceiving.erase(mMessage) > 0) {
      mAll.mReceivingBytes -= mMessageBytes;
    }
  }

  incoming_connections& mAll;
  kj::Own<kj::AsyncIoStream> mInner;
  kj::PromiseFulfillerPair<std::size_t> mCut;
  kj::ForkedPromise<std::size_t> mCutBranch;
  std::uint64_t mActivity = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mMessage = 0;
  std::size_t mMessageBytes = 0;
  bool mIsCut = false;
};
// NOLINTEND(readability-identifier-naming)

incoming_connections::incoming_connections(incoming_limits aLimits)
  : mLimits(aLimits)
{
  mLimits.mMaxConnections = std::max<std::size_t>(mLimits.mMaxConnections, 1);
  mLimits.mMaxMessageBytes =
    std::min(mLimits.mMaxMessageBytes, mLimits.mMaxReceivingBytes);
}

kj::Own<kj::AsyncIoStream>
incoming_connections::Add(kj::Own<kj::AsyncIoStream> aStream)
{
  while (Open() >= mLimits.mMaxConnections) {
    CutFirst(mStrangers.empty() ? mKnown : mStrangers);
  }
  return kj::heap<counted_stream>(*this, kj::mv(aStream));
}

void
incoming_connections::Forget(std::uint64_t aActivity)
{
  mStrangers.erase(aActivity);
  mKnown.erase(aActivity);
}

void
incoming_connections::CutFirst(const stream_order& aOrder)
{
  ++mCut;
  aOrder.begin()->second->Cut();
}

} // namespace oriolewalk::wire
