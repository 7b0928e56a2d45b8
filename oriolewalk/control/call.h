#pragma once

// A question that came in by RPC and is still to be answered.

#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/protocol/messages.h"

namespace oriolewalk::control {

using call_id = number_id<struct call_tag>;

struct call_reply
{
  call_id mCall;
  result<protocol::answer_body> mAnswer;
};

} // namespace oriolewalk::control
