#pragma once

// Addresses and peers as settings write them: by IP number, never by name, so
// that no process waits for a name server.
//
//   auto one = ParseAddress("127.0.0.1:7001");
//   auto cell = ParsePeers("1=127.0.0.1:7001@a,2=127.0.0.1:7002@b");

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::settings {

// An IP number and a port. Port 0 asks the system for a free one when it is
// listened on, and is refused wherever a peer is meant.
struct address
{
  std::string mHost;
  std::uint16_t mPort = 0;

  auto operator<=>(const address&) const = default;
  // "127.0.0.1:7001" or "[::1]:7001"; empty for no address.
  [[nodiscard]] std::string ToString() const;
};

// A process of ours: its number, where it listens, and its data centre.
struct peer
{
  std::uint64_t mId = 0;
  address mAddress;
  data_centre_id mDataCentre;

  auto operator<=>(const peer&) const = default;
  [[nodiscard]] std::string ToString() const;
};

// "IP:PORT" or "[IP6]:PORT". Errors: InvalidArgument, with what is allowed.
result<address>
ParseAddress(std::string_view aText);

// "IP:PORT,IP:PORT,…", each with a port, none twice.
result<std::vector<address>>
ParseAddresses(std::string_view aText);

// "ID=IP:PORT@DATA-CENTRE,…": at least one, ids from 1, no id or address
// twice.
result<std::vector<peer>>
ParsePeers(std::string_view aText);

// The non-empty pieces of a comma-separated list.
std::vector<std::string>
SplitList(std::string_view aText);

} // namespace oriolewalk::settings
