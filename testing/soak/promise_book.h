#pragma once

// What callers, workers and operators of a soak have seen, held against what
// they were promised.
//
//   promise_book book;
//   book.Sent(id, { 4, 2 });  book.Accepted(id, now);
//   book.Started(run, now);   book.Ended(run, run_outcome::Done);
//   book.Shown(id, "done", now);
//   for (const std::string& broken : book.Broken()) { ... }
//
// It knows nothing of how the system works. That no task runs in two places and
// no worker is over its capacity is judged by flow::run_oracle. Pure; one
// thread.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::soak {

// Tasks of each step; each step waits for the one before it.
using job_shape = std::vector<std::uint32_t>;

class promise_book
{
public:
  void Sent(const job_id& aId, job_shape aShape);
  void Accepted(const job_id& aId, time_point aNow);
  // The last try was refused, as were all before it.
  void Refused(const job_id& aId);
  void CancelSent(const job_id& aId);
  void CancelAcked(const job_id& aId, time_point aNow);
  // aState is empty where the answer said that there is no such job.
  void Shown(const job_id& aId, const std::string& aState, time_point aNow);

  void Started(const flow::run_ref& aRun, time_point aNow);
  void Ended(const flow::run_ref& aRun, flow::run_outcome aHow);

  void TableAcked(std::int64_t aVersion, time_point aNow);
  // A read that was sent at aAskedAt gave this version.
  void TableShown(std::int64_t aVersion, time_point aAskedAt);

  // An entry broke off a call beside nothing but a planned stop.
  void CutAtPlannedStop(const std::string& aWhere);

  // Accepted, not cancelled, and not shown as done so far.
  [[nodiscard]] std::vector<job_id> Owed() const;
  [[nodiscard]] std::size_t DoneCount() const;
  [[nodiscard]] std::int64_t NewestTable() const { return mAcked; }
  [[nodiscard]] const std::vector<std::string>& Broken() const
  {
    return mBroken;
  }
  void Note(std::string aWhat) { mBroken.push_back(std::move(aWhat)); }

private:
  struct job
  {
    job_shape mShape;
    std::optional<time_point> mAcceptedAt;
    bool mRefused = false;
    bool mCancelSent = false;
    std::optional<time_point> mCancelledAt;
    bool mShownDone = false;
    std::vector<std::set<std::uint32_t>> mDone; // tasks by step
    bool mFailedOnce = false;                   // a task ended as failed

    [[nodiscard]] bool IsStepDone(std::size_t aStep) const;
    [[nodiscard]] bool IsDone() const;
  };

  std::map<job_id, job> mJobs;
  std::int64_t mAcked = 0;
  // Versions with the moment of their acknowledgement, rising.
  std::vector<std::pair<std::int64_t, time_point>> mAcks;
  std::vector<std::string> mBroken;
};

} // namespace oriolewalk::soak
