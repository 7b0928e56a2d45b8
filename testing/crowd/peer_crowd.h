#pragma once

// Plays a peer_script against one address: connects and sends, or, for a
// service that the system calls, waits and answers.
//
//   peer_crowd crowd(context, script, { "127.7.2.1", 8161 });
//   if (const auto started = crowd.Start(); !started) { ... }
//   ... context.run() ...
//   crowd.Sent();
//
// Connections that are left open stay open until the crowd goes. The context's
// thread.

#include <cstddef>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/settings/address.h"
#include "testing/crowd/peer_script.h"

namespace oriolewalk::crowd {

class peer_crowd
{
public:
  peer_crowd(boost::asio::io_context& aContext,
             peer_script aScript,
             settings::address aAddress);
  ~peer_crowd();
  peer_crowd(const peer_crowd&) = delete;
  peer_crowd& operator=(const peer_crowd&) = delete;
  peer_crowd(peer_crowd&&) = delete;
  peer_crowd& operator=(peer_crowd&&) = delete;

  // Errors: Io, where it can't listen.
  result<void> Start();
  [[nodiscard]] std::size_t Sent() const { return mSent; }
  [[nodiscard]] std::size_t Opened() const { return mOpened; }

  class peer;

private:
  friend class peer;

  void Open();
  void Accept();
  void Closed();

  boost::asio::io_context& mContext;
  const peer_script mScript;
  const settings::address mAddress;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<peer>> mPeers;
  // Goes with the crowd: a pause may end later.
  std::shared_ptr<char> mHere = std::make_shared<char>();
  std::size_t mSent = 0;
  std::size_t mOpened = 0;
  std::size_t mReopened = 0;
};

} // namespace oriolewalk::crowd
