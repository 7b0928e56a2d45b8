#pragma once

// HTTP messages as plain values, so that users of the server and the client
// need no Beast header.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/codec.h"

namespace oriolewalk::http {

struct header
{
  std::string mName;
  std::string mValue;
};

// The first value of that name, whatever its case; linear in the headers.
std::optional<std::string_view>
FindHeader(const std::vector<header>& aHeaders, std::string_view aName);

struct request
{
  std::string mMethod = "GET";
  std::string mTarget = "/"; // path and query
  std::vector<header> mHeaders{};
  bytes mBody{};
  std::string mPeer{}; // "IP:PORT" of who sent it; filled by the server

  [[nodiscard]] std::optional<std::string_view> Find(
    std::string_view aName) const
  {
    return FindHeader(mHeaders, aName);
  }
  // The target without its query, and the query without its mark.
  [[nodiscard]] std::string_view Path() const;
  [[nodiscard]] std::string_view Query() const;
};

// Content-Length and Connection are the server's and the client's own work:
// they are added on sending, and left out of mHeaders if they stand there.
struct response
{
  unsigned mStatus = 200;
  std::vector<header> mHeaders{};
  bytes mBody{};

  [[nodiscard]] std::optional<std::string_view> Find(
    std::string_view aName) const
  {
    return FindHeader(mHeaders, aName);
  }
};

// The non-empty parts between aAt: "/v1/jobs" at '/' is "v1", "jobs".
std::vector<std::string>
SplitParts(std::string_view aText, char aAt);

// The value of NAME in "a=1&NAME=2", with %XX decoded; nothing if not there.
std::optional<std::string>
FindQuery(std::string_view aQuery, std::string_view aName);

} // namespace oriolewalk::http
