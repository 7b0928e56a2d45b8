#include "oriolewalk/base/processor_time.h"

#include <ctime>

namespace oriolewalk {

namespace {

duration
Read(clockid_t aClock) noexcept
{
  timespec value{};
  return clock_gettime(aClock, &value) == 0
           ? seconds(value.tv_sec) + nanoseconds(value.tv_nsec)
           : duration::zero();
}

} // namespace

processor_times
ReadProcessorTimes() noexcept
{
  return { Read(CLOCK_THREAD_CPUTIME_ID), Read(CLOCK_PROCESS_CPUTIME_ID) };
}

} // namespace oriolewalk
