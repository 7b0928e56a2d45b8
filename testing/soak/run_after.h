#pragma once

// Does something once, later:
//
//   RunAfter(context, seconds(1), []() { ... });
//
// Nothing happens if the context ends before. The context's thread.

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/timer.h"

namespace oriolewalk::soak {

inline void
RunAfter(boost::asio::io_context& aContext,
         duration aWait,
         std::function<void()> aDo)
{
  auto timer = std::make_shared<runtime_timer>(aContext);
  timer->expires_after(aWait);
  timer->async_wait([timer, what = std::move(aDo)](const auto& aProblem) {
    if (!aProblem) {
      what();
    }
  });
}

} // namespace oriolewalk::soak
