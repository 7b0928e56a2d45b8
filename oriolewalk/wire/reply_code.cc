#include "oriolewalk/wire/reply_code.h"

#include <utility>

namespace oriolewalk::wire {

std::uint16_t
ReplyCode(const result<bytes>& aReply)
{
  return aReply ? kReplyOk
                : static_cast<std::uint16_t>(
                    1 + static_cast<std::uint16_t>(aReply.error().mCode));
}

bytes
ReplyBody(result<bytes> aReply)
{
  return aReply ? std::move(*aReply) : std::move(aReply.error().mMessage);
}

result<bytes>
FromReply(std::uint16_t aCode, bytes aBody, std::string_view aPeer)
{
  if (aCode == kReplyOk) {
    return aBody;
  }
  constexpr auto kLast = static_cast<std::uint16_t>(error_code::Full);
  const bool known = aCode - 1 <= kLast;
  return Fail(
    error{ known ? static_cast<error_code>(aCode - 1) : error_code::Internal,
           "rpc",
           std::string(aPeer),
           std::move(aBody) });
}

} // namespace oriolewalk::wire
