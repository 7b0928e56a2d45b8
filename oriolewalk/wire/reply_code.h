#pragma once

// Encodes a result in the two fields of an RPC answer.

#include <cstdint>
#include <string_view>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"

namespace oriolewalk::wire {

constexpr std::uint16_t kReplyOk = 0;

// kReplyOk, or 1 + error_code.
std::uint16_t
ReplyCode(const result<bytes>& aReply);

// The value, or the error's message.
bytes
ReplyBody(result<bytes> aReply);

// Decodes an answer. An error names aPeer.
result<bytes>
FromReply(std::uint16_t aCode, bytes aBody, std::string_view aPeer);

} // namespace oriolewalk::wire
