#pragma once

// A history of faults on a fake group, drawn from a source of choices, judged
// by what its workers and callers see.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "oriolewalk/flow/options.h"

namespace oriolewalk::flow {

// A number below the bound; none when there are no more.
using flow_choices =
  std::function<std::optional<std::uint64_t>(std::uint64_t aBound)>;

// Plays aMost actions at most, then heals everything and waits. The first
// promise that was broken, or nothing:
// - no task runs twice at once, or starts after its end as done was noted;
// - no start brings a worker over its capacity, or what that was of late;
// - an accepted job that nobody cancelled ends as done (its tasks fail once at
//   most), or as failed if two workers have crashed under one of its tasks, and
//   is never unknown to a leader that answers;
// - a task that crashes its workers isn't started three times more after three
//   have crashed under it, and its job ends as failed.
// aTroubles: what may befall it beside the usual. aOptions: how the group is
// set up; with mWorkersAlone = 0 the leader's orders are carried by the others.
struct history_faults
{
  // The leader is busy at times: orders and answers take up to seconds, and a
  // commit up to one.
  bool mBusy = false;
  // Workers start again under their ids.
  bool mRestarts = false;
  // Orders stand still on their way for seconds, and then go on.
  bool mHolds = false;
  // Some tasks crash each worker that starts them; it is back after seconds.
  bool mCrashing = false;
  // Workers' capacities shrink and grow again.
  bool mShrinking = false;
};

// What befell the jobs of a history beside its promises.
struct history_counts
{
  std::size_t mCrashingJobs = 0;   // with a task that crashes its workers
  std::size_t mCrashingStarts = 0; // of such tasks
  std::size_t mNormalJobs = 0;
  std::size_t mFailedNormalJobs = 0;
};

std::optional<std::string>
PlayFlowHistory(const flow_choices& aChoose,
                int aMost,
                flow_options aOptions = {},
                history_faults aTroubles = {},
                history_counts* aAccount = nullptr);

// The same, with all choices drawn from a seed.
std::optional<std::string>
PlayFlowSeed(std::uint64_t aSeed,
             int aMost,
             flow_options aOptions = {},
             history_faults aTroubles = {},
             history_counts* aAccount = nullptr);

} // namespace oriolewalk::flow
