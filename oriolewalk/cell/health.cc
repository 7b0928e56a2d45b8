#include "oriolewalk/cell/health.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/cell/records.h"

namespace oriolewalk::cell {
namespace {

// Reached by three consecutive failures of families that always succeed
// elsewhere, or by four of families without other results.
constexpr double kMaxBlame = 2.0;
constexpr std::uint32_t kMinFailures = 3;
// One family without results from other workers is never enough.
constexpr double kMaxBlamePerFamily = 1.5;
constexpr double kUnknownRate = 0.5;
constexpr seconds kFirstProbe{ 60 };
constexpr std::uint32_t kMaxDoublings = 3;
constexpr std::size_t kMaxOutDivisor = 5;
constexpr std::uint32_t kHalveAt = 64;

} // namespace

double
worker_health::Blame(const record& aRecord) const
{
  double blame = 0;
  for (const auto& [family, own] : aRecord.mFailures) {
    const auto found = mFamilies.find(family);
    const counts all = found == mFamilies.end() ? own : found->second;
    const double ended = all.mEnded > own.mEnded ? all.mEnded - own.mEnded : 0;
    const double failed =
      all.mFailed > own.mFailed ? all.mFailed - own.mFailed : 0;
    const double elsewhere = (failed + kUnknownRate) / (ended + 1.0);
    const double each = std::max(0.0, 1.0 - elsewhere) * own.mFailed;
    blame += ended < 1 ? std::min(each, kMaxBlamePerFamily) : each;
  }
  return blame;
}

void
worker_health::TakeOut(record& aRecord, time_point aNow)
{
  const std::size_t most =
    std::max<std::size_t>(mWorkers > 2 ? 1 : 0, mWorkers / kMaxOutDivisor);
  if (!aRecord.mOut) {
    if (mOut >= most) {
      return;
    }
    aRecord.mOut = true;
    ++mOut;
  }
  aRecord.mOutUntil =
    aNow + kFirstProbe * (1U << std::min(aRecord.mOutCount, kMaxDoublings));
  ++aRecord.mOutCount;
}

void
worker_health::OnResult(worker_slot aSlot,
                        const std::string& aFamily,
                        bool aFailed,
                        time_point aNow)
{
  counts& family = mFamilies[aFamily];
  family.mEnded += 1;
  family.mFailed += aFailed ? 1 : 0;
  if (family.mEnded >= kHalveAt) { // Decays the weight of old results.
    family.mEnded /= 2;
    family.mFailed /= 2;
  }
  if (!aFailed && !mRecords.contains(aSlot)) {
    return;
  }
  record& worker = mRecords[aSlot];
  if (!aFailed) {
    worker.mFailures.clear();
    worker.mConsecutiveFailures = 0;
    mOut -= worker.mOut ? 1 : 0;
    worker.mOut = false;
    return;
  }
  counts& own = worker.mFailures[aFamily];
  ++own.mEnded;
  ++own.mFailed;
  ++worker.mConsecutiveFailures;
  if (worker.mOut || (worker.mConsecutiveFailures >= kMinFailures &&
                      Blame(worker) >= kMaxBlame)) {
    TakeOut(worker, aNow);
  }
}

void
worker_health::Reset(worker_slot aSlot)
{
  const auto found = mRecords.find(aSlot);
  if (found != mRecords.end()) {
    mOut -= found->second.mOut ? 1 : 0;
    mRecords.erase(found);
  }
}

worker_standing
worker_health::Standing(worker_slot aSlot, time_point aNow) const
{
  if (mOut == 0) {
    return worker_standing::Good;
  }
  const auto found = mRecords.find(aSlot);
  if (found == mRecords.end() || !found->second.mOut) {
    return worker_standing::Good;
  }
  return aNow < found->second.mOutUntil ? worker_standing::Out
                                        : worker_standing::Probing;
}

} // namespace oriolewalk::cell
