#pragma once

// An HTTP/1.1 server: whole requests in, whole answers out.
//
//   server web(context, address, {}, [](request aRequest, responder aCall) {
//     aCall.Send({ .mStatus = 200, .mBody = aRequest.mBody });
//   });
//   result<std::uint16_t> port = web.Start();
//
// The answer may be given later and from any thread; meanwhile
// aCall.OnDisconnected tells that the caller has gone. What is malformed, too
// large or too slow is answered (400, 408, 413, 431) or closed here and never
// reaches the handler.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/connection_budget.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace oriolewalk::http {

// One connection is bounded by its own limits, all of them together by
// mMaxHeldBytes, and what has arrived and was not read by mMaxConnections times
// mReceiveWindow; base/connection_budget.h chooses those of a process.
struct server_limits
{
  // Of the start line with all fields; of a chunk's line; of all trailers.
  // Beyond: 431.
  std::size_t mMaxHeaderBytes = 16UL * 1024;
  std::size_t mMaxFields = 128;              // trailers count; beyond: 431
  std::size_t mMaxBodyBytes = 1024UL * 1024; // beyond: 413
  // Beyond: the connection that was idle for longest is closed; if none is
  // idle, the one that is longest, and for half a second, about sending a
  // request or taking an answer; if there is none either, 503 and a close.
  std::size_t mMaxConnections = 4096;
  // What requests and answers hold, on all connections. Beyond: whoever is
  // longest about sending a request or taking an answer is refused (503, not
  // taken up) or closed, so that those who finish soon are served. Requests in
  // the handler's hands are kept, and count kHandledCopies times.
  std::size_t mMaxHeldBytes = 64UL * 1024 * 1024;
  // The system's buffer of what has arrived on a connection and was not read.
  std::size_t mReceiveWindow = 64UL * 1024;
  milliseconds mHeaderTimeout{ 5'000 }; // from a request's first byte; 408
  milliseconds mBodyTimeout{ 10'000 };  // from the header's end; 408
  milliseconds mIdleTimeout{ 60'000 };  // between requests; a close
  // For a caller to take an answer. A caller that doesn't read would
  // otherwise hold its connection and the answer's memory for good.
  milliseconds mWriteTimeout{ 10'000 };
};

// The limits with those of a process's budget.
server_limits
Within(const connection_limits& aBudget, server_limits aLimits = {});

// The request, its decoded form, and its copy on the way to the leader.
inline constexpr std::size_t kHandledCopies = 4;

class session;

// The right to answer one request. Copies share it: the first Send counts and
// the others do nothing. If the last copy goes without Send, the caller gets
// 500, so that a lost handler can't leave a caller waiting. Any thread.
class responder
{
public:
  responder() = default;
  void Send(response aResponse) const;
  // aGone is called at most once, on the connection's strand, when the caller
  // closed its connection (or its sending half) before the answer was given;
  // at once if that has happened already. An answer is still tried.
  void OnDisconnected(std::function<void()> aGone) const;

  class pending;
  explicit responder(std::shared_ptr<pending> aPending);

private:
  std::shared_ptr<pending> mPending;
};

// Called on a strand of the io_context; must not block.
using handler = std::function<void(request, responder)>;

// Owned by a process's shell. The io_context may run on any number of threads
// and must outlive the server. Requests of one connection are handled one at a
// time, in order.
class server
{
public:
  server(boost::asio::io_context& aContext,
         settings::address aListen,
         server_limits aLimits,
         handler aHandler);
  ~server(); // Close() NOLINT(bugprone-exception-escape)
  server(const server&) = delete;
  server& operator=(const server&) = delete;
  server(server&&) = delete;
  server& operator=(server&&) = delete;

  // The port that is listened on. Errors: Io.
  result<std::uint16_t> Start();
  // From each connection's next request on. Only on the io_context's thread,
  // and only where it has one.
  void SetLimits(const server_limits& aLimits);
  // Answers ask to close their connections, so that callers go elsewhere; new
  // connections are still served.
  void BeginDraining();
  // No new connections, and answers ask to close theirs. Open connections
  // still get their requests answered: a close could cut one that is on its
  // way.
  void StopAccepting();
  // Requests whose answers are not yet wholly written.
  [[nodiscard]] std::size_t Active() const;
  [[nodiscard]] std::size_t Connections() const;
  // Connections that were closed or refused to make room for others.
  [[nodiscard]] std::size_t ClosedForRoom() const;
  // What requests and answers hold.
  [[nodiscard]] std::size_t HeldBytes() const;
  // Cuts all connections.
  void Close();

  class core;

private:
  std::shared_ptr<core> mCore;
};

} // namespace oriolewalk::http
