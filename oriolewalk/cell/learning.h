#pragma once

// What jobs of a family really take, learnt from those that ran.
//
//   family_learning learning;
//   learning.NoteRun("taksa/settlement", declaredMs, ranMs);
//   learning.ExpectedMs(spec);
//
// The load it answers: declared sizes and run times are often far off. Used
// for choices only; bookings are always as declared.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

// Owned by a scheduler; one thread. Memory: one small record a family, at
// most kMostFamilies; later families are taken at their word.
class family_learning
{
public:
  void NoteRun(const job_spec& aSpec, std::int64_t aRanMs);
  void NoteUsage(const job_spec& aSpec, const resources& aUsage);

  // The upper quartile of the latest runs, once there are three; before that
  // what is declared. For choices of reservation and backfilling.
  [[nodiscard]] std::int64_t ExpectedMs(const job_spec& aSpec) const;
  // The room to look for: at least what is declared, and what the family was
  // seen to use. The one who declares too little waits for a larger place.
  [[nodiscard]] resources RoomFor(const job_spec& aSpec) const;

private:
  static constexpr std::size_t kRuns = 16;
  struct family
  {
    std::array<std::int64_t, kRuns> mRunMs{};
    std::size_t mCount = 0;
    // Peak use as a multiple of the declared size, slowly forgotten.
    double mProcessors = 1;
    double mMemory = 1;
  };

  family* Find(const job_spec& aSpec);
  [[nodiscard]] const family* Find(const job_spec& aSpec) const;

  std::unordered_map<std::string, family> mFamilies;
};

// "organisation/family": one organisation's lies don't touch another's.
std::string
FamilyKey(const job_spec& aSpec);

} // namespace oriolewalk::cell
