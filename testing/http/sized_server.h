#pragma once

// A server with small limits for the HTTP tests, which answers with as many
// bytes as its callers ask for.

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "oriolewalk/http/message.h"
#include "oriolewalk/http/server.h"
#include "testing/http/loopback.h"

namespace oriolewalk::http {

inline constexpr std::size_t kKiB = 1024;

// Answers with as many bytes as the query's "size" says.
struct sized_server
{
  explicit sized_server(server_limits aLimits)
    : mServer(mContext.Get(),
              kAnyPort,
              aLimits,
              [this](const request& aRequest, const responder& aCall) {
                ++mHandled;
                const auto size = FindQuery(aRequest.Query(), "size");
                aCall.Send(
                  { .mBody =
                      std::string(size ? std::stoul(*size) : 0, 'a') + "end" });
              })
    , mPort(mServer.Start().value())
  {
  }

  running_context mContext;
  std::atomic<int> mHandled = 0;
  server mServer;
  std::uint16_t mPort;
};

inline server_limits
SmallLimits()
{
  server_limits limits;
  limits.mMaxHeaderBytes = 2 * kKiB;
  limits.mMaxFields = 16;
  limits.mMaxBodyBytes = 64 * kKiB;
  limits.mMaxHeldBytes = 256 * kKiB;
  return limits;
}

} // namespace oriolewalk::http
