#include "oriolewalk/settings/address.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <tl/expected.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::settings {

namespace {

constexpr std::string_view kStep = "reading settings";
constexpr std::string_view kAddressForm =
  "allowed is IP:PORT with an IP number, as 127.0.0.1:7001 or [::1]:7001";
constexpr std::string_view kPeerForm =
  "allowed is ID=IP:PORT@DATA-CENTRE, as 1=127.0.0.1:7001@a";

template<class Number>
bool
ReadNumber(std::string_view aText, Number& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, problem] = std::from_chars(aText.data(), end, aNumber);
  return problem == std::errc() && stop == end;
}

bool
IsIpNumber(const std::string& aHost, int aFamily)
{
  std::array<unsigned char, sizeof(in6_addr)> number{};
  return inet_pton(aFamily, aHost.c_str(), number.data()) == 1;
}

tl::unexpected<error>
Wrong(std::string_view aText, std::string_view aForm)
{
  return Fail(error_code::InvalidArgument,
              kStep,
              "'" + std::string(aText) + "': " + std::string(aForm));
}

result<peer>
ParsePeer(std::string_view aText)
{
  const std::size_t equals = aText.find('=');
  const std::size_t at = aText.rfind('@');
  if (equals == std::string_view::npos || at == std::string_view::npos ||
      at < equals || at + 1 == aText.size()) {
    return Wrong(aText, kPeerForm);
  }
  peer found;
  if (!ReadNumber(aText.substr(0, equals), found.mId) || found.mId == 0) {
    return Wrong(aText, "allowed ids are numbers from 1");
  }
  auto where = ParseAddress(aText.substr(equals + 1, at - equals - 1));
  if (!where) {
    return Fail(where.error());
  }
  found.mAddress = *std::move(where);
  found.mDataCentre = data_centre_id(std::string(aText.substr(at + 1)));
  if (found.mAddress.mPort == 0) {
    return Wrong(aText, "a peer needs a port from 1 to 65535");
  }
  return found;
}

} // namespace

std::string
address::ToString() const
{
  if (mHost.empty()) {
    return {};
  }
  const bool six = mHost.find(':') != std::string::npos;
  return (six ? "[" + mHost + "]" : mHost) + ":" + std::to_string(mPort);
}

std::string
peer::ToString() const
{
  return std::to_string(mId) + "=" + mAddress.ToString() + "@" +
         mDataCentre.Value();
}

result<address>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return Wrong(aText, kAddressForm);
  }
  std::string_view host = aText.substr(0, colon);
  const bool bracketed =
    host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  address found{ std::string(host), 0 };
  if (!IsIpNumber(found.mHost, bracketed ? AF_INET6 : AF_INET) ||
      !ReadNumber(aText.substr(colon + 1), found.mPort)) {
    return Wrong(aText, kAddressForm);
  }
  return found;
}

result<std::vector<address>>
ParseAddresses(std::string_view aText)
{
  std::vector<address> found;
  for (const std::string& word : SplitList(aText)) {
    auto one = ParseAddress(word);
    if (!one) {
      return Fail(one.error());
    }
    if (one->mPort == 0) {
      return Wrong(word, "a port from 1 to 65535 is needed");
    }
    if (std::ranges::find(found, *one) != found.end()) {
      return Wrong(word, "stands twice in the list");
    }
    found.push_back(*std::move(one));
  }
  if (found.empty()) {
    return Wrong(aText, "at least one IP:PORT is needed");
  }
  return found;
}

result<std::vector<peer>>
ParsePeers(std::string_view aText)
{
  std::vector<peer> found;
  for (const std::string& word : SplitList(aText)) {
    auto one = ParsePeer(word);
    if (!one) {
      return Fail(one.error());
    }
    const bool twice = std::ranges::any_of(found, [&](const peer& aOther) {
      return aOther.mId == one->mId || aOther.mAddress == one->mAddress;
    });
    if (twice) {
      return Wrong(word, "its id or address stands twice in the list");
    }
    found.push_back(*std::move(one));
  }
  if (found.empty()) {
    return Wrong(aText, kPeerForm);
  }
  return found;
}

std::vector<std::string>
SplitList(std::string_view aText)
{
  std::vector<std::string> words;
  while (!aText.empty()) {
    const std::size_t comma = std::min(aText.find(','), aText.size());
    if (comma > 0) {
      words.emplace_back(aText.substr(0, comma));
    }
    aText.remove_prefix(std::min(comma + 1, aText.size()));
  }
  return words;
}

} // namespace oriolewalk::settings
