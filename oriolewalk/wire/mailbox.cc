#include "oriolewalk/wire/mailbox.h"

#include <cstdint>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace oriolewalk::wire {

mailbox::mailbox()
  : mDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

mailbox::~mailbox()
{
  close(mDescriptor);
}

void
mailbox::Post(task aTask)
{
  bool first = false;
  {
    const std::lock_guard lock(mMutex);
    if (mClosed) {
      return;
    }
    first = mTasks.empty();
    mTasks.push_back(std::move(aTask));
  }
  if (first) {
    const std::uint64_t one = 1;
    // Fails only when the counter is full, and then the loop is awake anyway.
    [[maybe_unused]] const auto written = write(mDescriptor, &one, sizeof one);
  }
}

std::vector<mailbox::task>
mailbox::Take()
{
  const std::lock_guard lock(mMutex);
  return std::exchange(mTasks, {});
}

void
mailbox::Close()
{
  const std::lock_guard lock(mMutex);
  mClosed = true;
  mTasks.clear();
}

} // namespace oriolewalk::wire
