#pragma once

// The processor time that was used so far. Shells pass it to the cores as
// values, which weigh by it what their own work costs.
//
//   const processor_times before = ReadProcessorTimes();
//   Work();
//   const duration cost = ReadProcessorTimes().mThread - before.mThread;

#include "oriolewalk/base/clock.h"

namespace oriolewalk {

struct processor_times
{
  duration mThread{};  // of the calling thread
  duration mProcess{}; // of all threads of the process
};

// Zeros if the system doesn't tell. Any thread. Cost: two system calls.
processor_times
ReadProcessorTimes() noexcept;

} // namespace oriolewalk
