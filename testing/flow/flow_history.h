#pragma once

// Plays a random history of faults on a fake_group, drawn from a source of
// choices, and checks what its workers and callers see.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "oriolewalk/flow/options.h"

namespace oriolewalk::flow {

// Returns a number below the bound, or none when the source is exhausted.
using flow_choices =
  std::function<std::optional<std::uint64_t>(std::uint64_t aBound)>;

// The faults of a history besides the usual ones.
struct history_faults
{
  // The leader is overloaded at times: orders and answers take up to seconds,
  // and a commit up to one second.
  bool mBusy = false;
  // Workers restart under their ids.
  bool mRestarts = false;
  // Workers drain, deregister and end: when they receive the answer, or seconds
  // later without one.
  bool mLeaving = false;
  // Orders are held in transit for seconds and then delivered.
  bool mHolds = false;
  // Fifteen control processes, of which five vote and ten are spares.
  bool mSpares = false;
  // Some tasks crash each worker that starts them; it restarts after seconds.
  bool mCrashing = false;
  // Workers' capacities shrink and grow again.
  bool mShrinking = false;
  // Jobs belong to organisations, whose keys and maxima change.
  bool mOrganisations = false;
  // Some steps allow copies of their tasks, workers slow down for a while, and
  // second attempts may fail as well. There are more workers, and tasks are
  // small.
  bool mCopies = false;
  // Callers submit more than the workers can do, and come back when refused.
  // Jobs have steps of fifty tasks or more and no gangs.
  bool mFull = false;
};

// Counts of what happened to the jobs of a history.
struct history_counts
{
  std::size_t mCrashingJobs = 0;   // with a task that crashes its workers
  std::size_t mCrashingStarts = 0; // of such tasks
  std::size_t mNormalJobs = 0;
  std::size_t mFailedNormalJobs = 0;
  std::size_t mStarts = 0;
  std::size_t mSecondStarts = 0; // beside another run of the same task
  std::size_t mRefusals = 0;
};

// Plays up to aMaxActions actions, then heals all faults and waits. Returns the
// first violation of these guarantees, or none:
// - No task runs twice at once, or starts after its end as done was
//   acknowledged.
// - With copies: a task of a step that allows copies has two runs at most, on
// two
//   workers, and starts no later than 1 s after its end as done or its last
//   allowed failure was acknowledged or its job was shown as done.
// - No start brings a worker over its capacity and over its recent ones.
// - With organisations: callers are accepted by their keys in the table in
// force
//   alone and see no other organisation's job, and no start brings an
//   organisation above its maximum; see organisation_oracle.
// - An accepted job that was not cancelled ends as done (its tasks fail once at
//   most), or as failed if two workers have crashed under one of its tasks, and
//   is never unknown to a leader that answers.
// - A refused job doesn't run, unless it is submitted again.
// - A task that crashes its workers isn't started three more times after three
//   have crashed under it, and its job ends as failed.
// aOptions configures the group; with mMaxWorkersWithoutRelays = 0 relays make
// the leader's calls.
std::optional<std::string>
PlayFlowHistory(const flow_choices& aChoose,
                int aMaxActions,
                flow_options aOptions = {},
                history_faults aFaults = {},
                history_counts* aCounts = nullptr);

// Like PlayFlowHistory(), with all choices drawn from a seed.
std::optional<std::string>
PlayFlowSeed(std::uint64_t aSeed,
             int aMaxActions,
             flow_options aOptions = {},
             history_faults aFaults = {},
             history_counts* aCounts = nullptr);

} // namespace oriolewalk::flow
