#pragma once

// Measures how much longer the messages of one sender were in transit than its
// fastest ones, without synchronised clocks.
//
//   transit_delay delay;
//   // a message says when it was sent, on the sender's clock:
//   const duration excess = delay.OnMessage(sentAt, now);
//
// The difference of the two clocks is estimated by the smallest difference
// between the times of receipt and of sending in the last minutes. A message
// that waited in a suspended receiver's socket shows up with all of its wait.
// The first message counts as a fast one.
//
// Owned by the receiver, one per sender; one thread. Does no I/O.

#include <optional>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::flow {

class transit_delay
{
public:
  // Returns the excess of this message's transit time, 0 for a fast one.
  // aSentAt is on the sender's steady clock.
  duration OnMessage(time_point aSentAt, time_point aReceivedAt);

private:
  // The smallest differences of the present window and of the one before it.
  std::optional<duration> mLeast;
  std::optional<duration> mFormerLeast;
  time_point mWindowStart{};
};

} // namespace oriolewalk::flow
