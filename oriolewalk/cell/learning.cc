#include "oriolewalk/cell/learning.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {
namespace {

constexpr std::size_t kMaxFamilies = 20'000;
constexpr std::size_t kMinRuns = 3;
// The estimate is at most four times the declared size: a broken usage report
// must not make a family unplaceable.
constexpr double kMaxRatio = 4.0;
// Each report lowers the peak by a hundredth of its excess over the report.
constexpr double kPeakDecay = 0.01;

double
NewPeak(double aPeak, std::int64_t aUsed, std::int64_t aDeclared)
{
  if (aDeclared <= 0) {
    return aPeak;
  }
  const double ratio =
    std::clamp(static_cast<double>(aUsed) / static_cast<double>(aDeclared),
               1.0,
               kMaxRatio);
  return ratio > aPeak ? ratio : aPeak + (ratio - aPeak) * kPeakDecay;
}

std::int64_t
Times(std::int64_t aDeclared, double aRatio)
{
  // Reports just above the declared size are measurement noise.
  constexpr double kNoise = 1.05;
  return aRatio <= kNoise
           ? aDeclared
           : static_cast<std::int64_t>(static_cast<double>(aDeclared) * aRatio);
}

} // namespace

std::string
FamilyKey(const job_spec& aSpec)
{
  return aSpec.mOrganisation.Value() + "/" + aSpec.mFamily;
}

family_learning::family*
family_learning::Find(const job_spec& aSpec)
{
  if (aSpec.mFamily.empty()) {
    return nullptr;
  }
  const std::string key = FamilyKey(aSpec);
  const auto found = mFamilies.find(key);
  if (found != mFamilies.end()) {
    return &found->second;
  }
  return mFamilies.size() < kMaxFamilies ? &mFamilies[key] : nullptr;
}

const family_learning::family*
family_learning::Find(const job_spec& aSpec) const
{
  if (aSpec.mFamily.empty() || mFamilies.empty()) {
    return nullptr;
  }
  const auto found = mFamilies.find(FamilyKey(aSpec));
  return found == mFamilies.end() ? nullptr : &found->second;
}

void
family_learning::OnRunEnd(const job_spec& aSpec, std::int64_t aRanMs)
{
  if (family* known = Find(aSpec)) {
    known->mRunMs.at(known->mCount++ % kRuns) = aRanMs;
  }
}

void
family_learning::OnUsage(const job_spec& aSpec, const resources& aUsage)
{
  const bool above = aUsage.mMilliProcessors > aSpec.mEach.mMilliProcessors ||
                     aUsage.mMemoryMb > aSpec.mEach.mMemoryMb;
  if (!above && mFamilies.empty()) {
    return;
  }
  if (family* known = Find(aSpec)) {
    known->mProcessors = NewPeak(known->mProcessors,
                                 aUsage.mMilliProcessors,
                                 aSpec.mEach.mMilliProcessors);
    known->mMemory =
      NewPeak(known->mMemory, aUsage.mMemoryMb, aSpec.mEach.mMemoryMb);
  }
}

std::int64_t
family_learning::ExpectedMs(const job_spec& aSpec) const
{
  const family* known = Find(aSpec);
  if (known == nullptr || known->mCount < kMinRuns) {
    return aSpec.mExpectedMs;
  }
  const std::size_t count = std::min(known->mCount, kRuns);
  auto runs = known->mRunMs;
  const auto end = runs.begin() + static_cast<std::ptrdiff_t>(count);
  const auto quartile =
    runs.begin() + static_cast<std::ptrdiff_t>(count * 3 / 4);
  std::nth_element(runs.begin(), quartile, end);
  return *quartile;
}

resources
family_learning::CapacityToSearch(const job_spec& aSpec) const
{
  const family* known = Find(aSpec);
  if (known == nullptr) {
    return aSpec.mEach;
  }
  return { Times(aSpec.mEach.mMilliProcessors, known->mProcessors),
           Times(aSpec.mEach.mMemoryMb, known->mMemory),
           aSpec.mEach.mAccelerators };
}

} // namespace oriolewalk::cell
