#pragma once

// An HTTP/1.1 client that never guesses: each outcome says what is known of
// the request.
//
//   client web(context, {});
//   web.Send({ "127.0.0.1", 9001 }, { .mMethod = "POST", .mTarget = "/pay" },
//            {}, [](send_outcome aOutcome) {
//     std::visit(overloaded{
//       [](answered& aAnswer) { ... aAnswer.mResponse ... },
//       [](never_started& aNone) { ... safe to send elsewhere ... },
//       [](unknown_outcome& aLost) { ... it may have run ... } }, aOutcome);
//   });
//
// A request that only one process may get, whatever listens at its address by
// the time it is sent:
//
//   options.mPeer = peer_check{ "1785721069176", askForName, ReadName };

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace oriolewalk::http {

// The peer's whole answer to this very request.
struct answered
{
  response mResponse;
};

// Not one byte of the request was written: the peer can't have begun it.
struct never_started
{
  error mError;
  // What the process that is there answered to peer_check's question, where
  // that is why.
  std::optional<response> mAnswer{};
};

// Some of the request was written, but no whole answer to it came: cut off,
// too late, too large, malformed or somebody else's. It may have run.
struct unknown_outcome
{
  error mError;
};

using send_outcome = std::variant<answered, never_started, unknown_outcome>;
// On a strand of the io_context, exactly once.
using send_callback = std::function<void(send_outcome)>;

// Which process may get a request. A connection doesn't outlive the process
// that accepted it: what is sent where that process has told its name reaches
// it or nobody, also if another one listens at its address by then.
struct peer_check
{
  std::string mName; // not empty
  // Sent before the request on a connection where no name was told yet.
  request mQuestion{};
  // The name that the question's answer tells; empty: none.
  std::function<std::string(const response&)> mReadName;
};

struct send_options
{
  milliseconds mConnectTimeout{ 1'000 };
  milliseconds mTotalTimeout{ 10'000 }; // from Send to the whole answer
  // The request isn't written from this time on; it is never_started then.
  std::optional<time_point> mStartBefore{};
  std::size_t mMaxAnswerBytes = 1024UL * 1024;
  // Of the start line with all fields; of a chunk's line; of all trailers.
  std::size_t mMaxAnswerHeaderBytes = 16UL * 1024;
  std::size_t mMaxAnswerFields = 128; // trailers count
  // Headers that must have this value in the answer, if it has them at all.
  // A faulty peer that answers one request twice would otherwise have its
  // second answer taken for the next request's.
  std::vector<header> mMustMatch{};
  // Where the process has another name the request is never_started
  // (Conflict).
  std::optional<peer_check> mPeer{};
};

struct client_limits
{
  // To one address, busy and idle. One more request is never_started (Busy):
  // waiting belongs to the caller, who knows what is urgent.
  std::size_t mMaxConnections = 256;
  // To all addresses. Where that many are open, the one that was idle for
  // longest is closed for a new one; if none is idle, a request more is
  // never_started (Busy).
  std::size_t mMaxOpen = std::numeric_limits<std::size_t>::max();
  // Under the server's 60 s, so that it is we who close and a request never
  // meets a connection that the peer is just closing.
  milliseconds mIdleTimeout{ 20'000 };
  // What answers hold that are being received, from all addresses together.
  // Beyond, a large one is given up (unknown_outcome).
  std::size_t mMaxHeldBytes = 64UL * 1024 * 1024;
  // The system's buffer of what has arrived on a connection and was not read.
  std::size_t mReceiveWindow = 64UL * 1024;
};

// The limits with those of a process's budget.
client_limits
Within(const connection_limits& aBudget, client_limits aLimits);

// Keeps idle connections per address and uses the latest first. One read is
// always under way, so that a peer's close is seen while a connection is idle;
// a connection found dead before a byte was written is replaced, one that dies
// later makes unknown_outcome. Owned by a process's shell; any thread may
// call. The io_context must outlive it.
class client
{
public:
  client(boost::asio::io_context& aContext, client_limits aLimits);
  ~client(); // Close()
  client(const client&) = delete;
  client& operator=(const client&) = delete;
  client(client&&) = delete;
  client& operator=(client&&) = delete;

  void Send(const settings::address& aTo,
            request aRequest,
            send_options aOptions,
            send_callback aDone);
  // Connections, busy and idle.
  [[nodiscard]] std::size_t Open() const;
  // Closed while idle to make room for others, since the beginning.
  [[nodiscard]] std::size_t ClosedForRoom() const;
  // What answers hold that are being received.
  [[nodiscard]] std::size_t HeldBytes() const;
  // Cuts all connections; requests under way end as never_started or unknown.
  void Close();

  class core;

private:
  std::shared_ptr<core> mCore;
};

} // namespace oriolewalk::http
