#include "oriolewalk/wire/task_queue.h"

#include <cstdint>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace oriolewalk::wire {

task_queue::task_queue()
  : mDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

task_queue::~task_queue()
{
  close(mDescriptor);
}

void
task_queue::Post(task aTask)
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
    // Fails only if the counter is at its maximum; the loop is awake then.
    [[maybe_unused]] const auto written = write(mDescriptor, &one, sizeof one);
  }
}

std::vector<task_queue::task>
task_queue::TakeAll()
{
  const std::lock_guard lock(mMutex);
  return std::exchange(mTasks, {});
}

void
task_queue::Close()
{
  const std::lock_guard lock(mMutex);
  mClosed = true;
  mTasks.clear();
}

} // namespace oriolewalk::wire
