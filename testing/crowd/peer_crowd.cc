#include "testing/crowd/peer_crowd.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/settings/address.h"
#include "testing/crowd/peer_script.h"

namespace oriolewalk::crowd {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Between a close and the next connection, so that a refusal at once doesn't
// spin.
constexpr milliseconds kReopenPause{ 5 };
// What the system takes for a peer that doesn't read.
constexpr int kUnreadBytes = 4'096;

tcp::endpoint
EndOf(const settings::address& aAddress)
{
  return { boost::asio::ip::make_address(aAddress.mHost), aAddress.mPort };
}

} // namespace

class peer_crowd::peer : public std::enable_shared_from_this<peer>
{
public:
  peer(peer_crowd& aCrowd, tcp::socket aSocket)
    : mCrowd(aCrowd)
    , mSocket(std::move(aSocket))
  {
  }

  void Connect()
  {
    if (!mCrowd.mScript.mReads) {
      error_code ignored;
      mSocket.open(tcp::v4(), ignored);
      mSocket.set_option(tcp::socket::receive_buffer_size(kUnreadBytes),
                         ignored);
    }
    mSocket.async_connect(EndOf(mCrowd.mAddress),
                          [self = shared_from_this()](error_code aCode) {
                            if (!self->mEnded) {
                              aCode ? self->End() : self->Begin();
                            }
                          });
  }

  void Begin()
  {
    if (mCrowd.mScript.mReads) {
      Read();
    }
    if (mCrowd.mScript.mOpening.empty()) {
      Repeat();
    } else {
      Write(mCrowd.mScript.mOpening);
    }
  }

  void Close()
  {
    mEnded = true;
    error_code ignored;
    mSocket.close(ignored);
  }

private:
  void Write(const std::string& aText)
  {
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(aText),
      [self = shared_from_this()](error_code aCode, std::size_t aCount) {
        if (self->mEnded) {
          return;
        }
        self->mCrowd.mSent += aCount;
        aCode ? self->End() : self->Repeat();
      });
  }

  void Repeat()
  {
    const std::string& text = mCrowd.mScript.mRepeated;
    if (!text.empty() && mRepeated + text.size() <= mCrowd.mScript.mBytes) {
      mRepeated += text.size();
      Write(text);
    }
  }

  void Read()
  {
    mSocket.async_read_some(
      boost::asio::buffer(mRoom),
      [self = shared_from_this()](error_code aCode, std::size_t) {
        if (!self->mEnded) {
          aCode ? self->End() : self->Read();
        }
      });
  }

  void End()
  {
    if (!mEnded) {
      Close();
      mCrowd.Closed();
    }
  }

  peer_crowd& mCrowd;
  tcp::socket mSocket;
  std::array<char, 16UL * 1024> mRoom{};
  std::size_t mRepeated = 0;
  bool mEnded = false;
};

peer_crowd::peer_crowd(boost::asio::io_context& aContext,
                       peer_script aScript,
                       settings::address aAddress)
  : mContext(aContext)
  , mScript(std::move(aScript))
  , mAddress(std::move(aAddress))
  , mAcceptor(aContext)
{
}

peer_crowd::~peer_crowd()
{
  for (const auto& one : mPeers) {
    one->Close();
  }
}

result<void>
peer_crowd::Start()
{
  if (mScript.mPlace != place::Worker) {
    for (std::size_t number = 0; number < mScript.mConnections; ++number) {
      Open();
    }
    return {};
  }
  error_code code;
  mAcceptor.open(tcp::v4(), code);
  mAcceptor.set_option(boost::asio::socket_base::reuse_address(true), code);
  mAcceptor.bind(EndOf(mAddress), code);
  if (!code) {
    mAcceptor.listen(boost::asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return Fail(
      oriolewalk::error_code::Io, "listening as a service", code.message());
  }
  Accept();
  return {};
}

void
peer_crowd::Open()
{
  ++mOpened;
  mPeers.push_back(std::make_shared<peer>(*this, tcp::socket(mContext)));
  mPeers.back()->Connect();
}

void
peer_crowd::Accept()
{
  mAcceptor.async_accept([this](error_code aCode, tcp::socket aSocket) {
    if (aCode) {
      return;
    }
    ++mOpened;
    mPeers.push_back(std::make_shared<peer>(*this, std::move(aSocket)));
    mPeers.back()->Begin();
    Accept();
  });
}

void
peer_crowd::Closed()
{
  if (mScript.mPlace == place::Worker || mReopened >= mScript.mReopens) {
    return;
  }
  ++mReopened;
  auto pause = std::make_shared<runtime_timer>(mContext);
  pause->expires_after(kReopenPause);
  pause->async_wait(
    [this, pause, here = std::weak_ptr(mHere)](error_code aCode) {
      if (!aCode && !here.expired()) {
        Open();
      }
    });
}

} // namespace oriolewalk::crowd
