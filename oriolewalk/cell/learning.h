#pragma once

// Estimates the resources and run time of a job family from earlier runs.
//
//   family_learning learning;
//   learning.OnRunEnd(spec, ranMs);
//   learning.ExpectedMs(spec);
//
// Declared sizes and run times are often far off. The estimates influence
// placement choices only; bookings always use the declared sizes.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

// Owned by a scheduler; one thread. Memory: one small record per family,
// at most kMaxFamilies; declared values are used for any further family.
class family_learning
{
public:
  void OnRunEnd(const job_spec& aSpec, std::int64_t aRanMs);
  void OnUsage(const job_spec& aSpec, const resources& aUsage);

  // Returns the upper quartile of the latest runs, or the declared time if
  // there are fewer than three. Used for reservations and backfilling.
  [[nodiscard]] std::int64_t ExpectedMs(const job_spec& aSpec) const;
  // Returns the capacity to search for: the larger of the declared size and
  // the family's observed use. A job that declares too little waits for a
  // worker with more free capacity.
  [[nodiscard]] resources CapacityToSearch(const job_spec& aSpec) const;

private:
  static constexpr std::size_t kRuns = 16;
  struct family
  {
    std::array<std::int64_t, kRuns> mRunMs{};
    std::size_t mCount = 0;
    // Peak use as a multiple of the declared size, with slow decay.
    double mProcessors = 1;
    double mMemory = 1;
  };

  family* Find(const job_spec& aSpec);
  [[nodiscard]] const family* Find(const job_spec& aSpec) const;

  std::unordered_map<std::string, family> mFamilies;
};

// Returns "organisation/family", so that an organisation's wrong declarations
// don't affect another organisation.
std::string
FamilyKey(const job_spec& aSpec);

} // namespace oriolewalk::cell
