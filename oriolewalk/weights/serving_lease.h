#pragma once

// The instance's side of in_force.h: may this instance act on its table now?
//
//   serving_lease lease;
//   lease.Adopt(7);                 // the table of version 7 is in use
//   // sends "I act on 7" at sentAt, the leader grants:
//   lease.Confirmed(7, sentAt);
//   lease.MayAdmit(now);            // else refuse, and fail /healthz

#include <cstdint>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/weights/in_force.h"

namespace oriolewalk::weights {

// Owned by the thread that owns the table's copy. Sans-I/O.
//
// The lease counts from when the confirmation was sent, not from when the
// answer came: the leader may have accepted a newer version at any moment
// after it answered, and an answer that lay in a buffer over a pause proves
// nothing. A paused instance finds its lease lapsed when it wakes, since time
// is given with each question.
class serving_lease
{
public:
  serving_lease() = default;
  explicit serving_lease(duration aLease)
    : mLease(aLease)
  {
  }

  // The table of this version is in use from now on. A version below the
  // present one is ignored (returns false): it comes from a late message or a
  // deposed leader, and readers must never see versions fall.
  bool Adopt(std::uint64_t aVersion);

  // The leader granted a confirmation for aVersion that was sent at aSentAt.
  // Ignored unless aVersion is in use.
  void Confirmed(std::uint64_t aVersion, time_point aSentAt);

  [[nodiscard]] bool MayAdmit(time_point aNow) const { return aNow < mUntil; }
  [[nodiscard]] time_point Until() const { return mUntil; }
  [[nodiscard]] std::uint64_t Version() const { return mVersion; }

private:
  duration mLease = kServingLease;
  std::uint64_t mVersion = 0;
  time_point mUntil = time_point::min();
};

} // namespace oriolewalk::weights
