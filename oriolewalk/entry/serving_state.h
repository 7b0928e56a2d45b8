#pragma once

// The serving lease, and whether the entry is stopping. The control thread sets
// them; traffic threads check them before they admit a request.
//
// An entry that can't confirm its weights version within the lease admits no
// requests. Otherwise a partitioned entry would use an old table until the
// partition ends. Any thread.

#include <atomic>
#include <cstdint>
#include <string_view>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::entry {

class serving_state
{
public:
  void SetLease(time_point aUntil, std::uint64_t aVersion)
  {
    mVersion.store(aVersion);
    mLeaseUntil.store(aUntil.time_since_epoch().count());
  }
  void StartDraining() { mDraining.store(true); }

  [[nodiscard]] bool HasLease(time_point aNow) const
  {
    return aNow.time_since_epoch().count() < mLeaseUntil.load();
  }
  [[nodiscard]] bool IsDraining() const { return mDraining.load(); }
  [[nodiscard]] std::uint64_t Version() const { return mVersion.load(); }
  // Returns an empty text if the balancer may send requests to this entry.
  [[nodiscard]] std::string_view UnhealthyReason(time_point aNow) const
  {
    if (IsDraining()) {
      return "stopping";
    }
    return HasLease(aNow) ? "" : "no contact with the leader";
  }

private:
  std::atomic<std::int64_t> mLeaseUntil = 0;
  std::atomic<std::uint64_t> mVersion = 0;
  std::atomic<bool> mDraining = false;
};

} // namespace oriolewalk::entry
