#include "oriolewalk/flow/plan_worker_cache.h"

#include <algorithm>

namespace oriolewalk::flow {

const plan_workers&
plan_worker_cache::Refresh(time_point aNow, const evaluator& aEvaluate)
{
  while (!mExpiries.empty() && mExpiries.begin()->first <= aNow) {
    const worker_number number = mExpiries.begin()->second;
    mExpiries.erase(mExpiries.begin());
    mExpiryOf.erase(number);
    mInvalid.push_back(number);
  }
  std::ranges::sort(mInvalid);
  const auto repeated = std::ranges::unique(mInvalid);
  mInvalid.erase(repeated.begin(), repeated.end());
  for (const worker_number number : mInvalid) {
    Evaluate(number, aEvaluate);
  }
  mInvalid.clear();
  mWorkers.UpdateAvoidance();
  return mWorkers;
}

void
plan_worker_cache::Evaluate(worker_number aWorker, const evaluator& aEvaluate)
{
  ++mEvaluations;
  const worker_evaluation found = aEvaluate(aWorker);
  if (found.mWorker) {
    mWorkers.Put(*found.mWorker);
  } else {
    mWorkers.Remove(aWorker);
  }
  if (found.mValidUntil == time_point::max()) {
    return;
  }
  const auto [expiry, isNew] =
    mExpiryOf.try_emplace(aWorker, found.mValidUntil);
  if (!isNew) {
    if (expiry->second <= found.mValidUntil) {
      return;
    }
    mExpiries.erase({ expiry->second, aWorker });
    expiry->second = found.mValidUntil;
  }
  mExpiries.emplace(found.mValidUntil, aWorker);
}

} // namespace oriolewalk::flow
