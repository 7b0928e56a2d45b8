#include "oriolewalk/http/message.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <ranges>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <boost/beast/core/string.hpp>

namespace oriolewalk::http {

namespace {

// "%2F" as "/"; a mark without two hex digits stays as it is.
std::string
Decode(std::string_view aText)
{
  constexpr std::size_t kDigits = 2;
  constexpr int kHex = 16;
  std::string text;
  for (std::size_t place = 0; place < aText.size(); ++place) {
    const std::string_view digits = aText.substr(place + 1, kDigits);
    unsigned char code = 0;
    const bool coded =
      aText[place] == '%' && digits.size() == kDigits &&
      std::from_chars(digits.data(), digits.data() + kDigits, code, kHex).ptr ==
        digits.data() + kDigits;
    text += coded ? static_cast<char>(code) : aText[place];
    place += coded ? kDigits : 0;
  }
  return text;
}

} // namespace

std::optional<std::string_view>
FindHeader(const std::vector<header>& aHeaders, std::string_view aName)
{
  const auto found = std::ranges::find_if(aHeaders, [&](const header& aOne) {
    return boost::beast::iequals(aOne.mName, aName);
  });
  return found == aHeaders.end()
           ? std::nullopt
           : std::optional<std::string_view>(found->mValue);
}

std::string_view
request::Path() const
{
  const std::string_view target = mTarget;
  return target.substr(0, target.find('?'));
}

std::string_view
request::Query() const
{
  const std::string_view target = mTarget;
  const std::size_t mark = target.find('?');
  return mark == std::string_view::npos ? std::string_view()
                                        : target.substr(mark + 1);
}

std::vector<std::string>
SplitParts(std::string_view aText, char aAt)
{
  std::vector<std::string> parts;
  for (const auto piece : std::views::split(aText, aAt)) {
    if (!piece.empty()) {
      parts.emplace_back(piece.begin(), piece.end());
    }
  }
  return parts;
}

std::optional<std::string>
FindQuery(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::size_t end = std::min(aQuery.find('&'), aQuery.size());
    const std::string_view pair = aQuery.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == aName) {
      return Decode(pair.substr(std::min(equals + 1, pair.size())));
    }
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
  }
  return std::nullopt;
}

} // namespace oriolewalk::http
