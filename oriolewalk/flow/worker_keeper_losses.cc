// What the leader knows of the runs at a worker whose life is over without a
// farewell.

#include <algorithm>
#include <string>
#include <utility>

#include "oriolewalk/flow/whole_ms.h"
#include "oriolewalk/flow/worker_keeper.h"

namespace oriolewalk::flow {

std::optional<duration>
worker_keeper::RanFor(const worker_view& aView,
                      const worker_view::run_view& aRun)
{
  if (aRun.mInherited) {
    return std::nullopt;
  }
  return aRun.mStartedAt
           ? std::max(aView.mHeardAt - *aRun.mStartedAt, duration::zero())
           : duration::zero();
}

void
worker_keeper::NoteOver(worker_number aWorker,
                        std::string_view aKnownBy,
                        time_point aNow)
{
  const auto found = mViews.find(aWorker);
  const worker_record* record = mState.FindWorker(aWorker);
  if (found == mViews.end() || record == nullptr) {
    return;
  }
  const worker_view& view = found->second;
  const std::string& id = record->mFacts.mId.Value();
  mNotes.push_back(
    { "worker.over",
      { { "worker", id },
        { "address", record->mFacts.mAddress },
        { "known_by", std::string(aKnownBy) },
        { "draining", record->mDraining ? "yes" : "no" },
        { "silent_ms", std::to_string(ToMs(aNow - view.mHeardAt)) },
        { "runs", std::to_string(view.mRuns.size()) } } });
  for (const auto& [run, seen] : view.mRuns) {
    const std::optional<duration> ran = RanFor(view, seen);
    mNotes.push_back(
      { "run.lost",
        { { "job", run.mTask.mJob.Value() },
          { "step", std::to_string(run.mTask.mStep) },
          { "task", std::to_string(run.mTask.mIndex) },
          { "attempt", std::to_string(run.mAttempt) },
          { "worker", id },
          { "ran_ms", ran ? std::to_string(ToMs(*ran)) : "unknown" } } });
  }
}

} // namespace oriolewalk::flow
