#pragma once

// How long the tasks of waiting jobs are expected to take, by the best that is
// known of each step: its finished tasks, else what the model has learned, else
// the caller's estimate.
//
//   expected_durations durations(model, stragglers);
//   const auto steps = durations.Of(id, job, queue, occurrence, now);
//   steps[2].mMeanMs; // of a task of step 2
//
// A run that is longer than expected raises the expectation for its step until
// a task of the step has finished.
//
// Soft state of the leader: keeps the figures of an occurrence for
// kKeptFor, since plans ask for all waiting ones many times a second. Pure; no
// clock. Cost of a call: logarithmic in the occurrences that were asked for
// lately.

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/duration_model.h"
#include "oriolewalk/flow/records.h"
#include "oriolewalk/flow/straggler_detector.h"

namespace oriolewalk::flow {

class expected_durations
{
public:
  // An urgent task takes most of a second, and the figures change when the
  // first task of a step ends.
  static constexpr milliseconds kKeptFor{ 100 };

  // Both must outlive this object.
  expected_durations(const duration_model& aModel,
                     const straggler_detector& aStragglers)
    : mModel(aModel)
    , mStragglers(aStragglers)
  {
  }

  // Of the occurrence's steps, on a worker of speed 1. mIsLearned is set for
  // those whose spread the model knows. Valid until the next call.
  [[nodiscard]] std::span<const duration_estimate> Of(const job_id& aId,
                                                      const job_record& aJob,
                                                      const queue_row& aQueue,
                                                      std::uint32_t aOccurrence,
                                                      time_point aNow);

private:
  struct entry
  {
    std::vector<duration_estimate> mSteps;
    time_point mUntil{};
  };

  [[nodiscard]] duration_estimate OfStep(const step_ref& aStep,
                                         const step_spec& aSpec,
                                         const queue_row& aQueue,
                                         time_point aNow) const;
  void ForgetUnused(time_point aNow);

  const duration_model& mModel;
  const straggler_detector& mStragglers;
  std::map<std::pair<job_id, std::uint32_t>, entry> mEntries;
  time_point mSweptAt{};
};

// The model's figure for one task of the step. The caller's estimate for steps
// whose tasks have no duration of their own: they run until they are cancelled,
// or as far as other tasks leave capacity.
duration_estimate
EstimateOf(const duration_model& aModel,
           const step_spec& aSpec,
           std::uint32_t aStep,
           const queue_row& aQueue,
           time_point aNow);

} // namespace oriolewalk::flow
