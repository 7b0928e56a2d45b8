#pragma once

// What copies of a responder share. Inside http only.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "oriolewalk/http/message.h"
#include "oriolewalk/http/server.h"
#include "oriolewalk/http/session.h"

namespace oriolewalk::http {

class responder::pending
{
public:
  pending(std::shared_ptr<session> aSession, std::uint64_t aNumber)
    : mSession(std::move(aSession))
    , mNumber(aNumber)
  {
  }
  ~pending();
  pending(const pending&) = delete;
  pending& operator=(const pending&) = delete;
  pending(pending&&) = delete;
  pending& operator=(pending&&) = delete;

  void Send(response aResponse)
  {
    if (!mSent.exchange(true)) {
      mSession->Answer(mNumber, std::move(aResponse));
    }
  }
  void OnDisconnected(std::function<void()> aGone)
  {
    mSession->Watch(mNumber, std::move(aGone));
  }

private:
  std::shared_ptr<session> mSession;
  std::uint64_t mNumber;
  std::atomic<bool> mSent = false;
};

} // namespace oriolewalk::http
