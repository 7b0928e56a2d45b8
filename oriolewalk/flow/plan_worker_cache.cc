#include "oriolewalk/flow/plan_worker_cache.h"

namespace oriolewalk::flow {

const plan_workers&
plan_worker_cache::Refresh(time_point aNow, const evaluator& aEvaluate)
{
  while (!mExpiries.empty() && mExpiries.begin()->first <= aNow) {
    const worker_number number = mExpiries.begin()->second;
    mExpiries.erase(mExpiries.begin());
    mValidUntil.erase(number);
    mInvalid.insert(number);
  }
  for (const worker_number number : std::exchange(mInvalid, {})) {
    Evaluate(number, aEvaluate);
  }
  mWorkers.UpdateAvoidance();
  return mWorkers;
}

void
plan_worker_cache::Evaluate(worker_number aWorker, const evaluator& aEvaluate)
{
  ++mEvaluations;
  worker_evaluation found = aEvaluate(aWorker);
  if (found.mWorker) {
    mWorkers.Put(std::move(*found.mWorker));
  } else {
    mWorkers.Remove(aWorker);
  }
  if (const auto known = mValidUntil.extract(aWorker); !known.empty()) {
    mExpiries.erase({ known.mapped(), aWorker });
  }
  if (found.mValidUntil != time_point::max()) {
    mValidUntil[aWorker] = found.mValidUntil;
    mExpiries.emplace(found.mValidUntil, aWorker);
  }
}

} // namespace oriolewalk::flow
