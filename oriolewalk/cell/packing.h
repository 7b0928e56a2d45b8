#pragma once

// Chooses among the workers that fit a task.
//
//   packing_policy policy = shaped_fit{};
//   double score = Score(policy, request, free, capacity); // lowest wins

#include <variant>

#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

// Takes the lowest slot that fits.
struct first_fit
{};
// Minimises the remainder, summed over the dimensions as shares of the worker.
struct best_fit
{};
// Draws uniformly from all workers that fit.
struct random_fit
{};
// Packs tasks of different shapes: keeps the free resources of a worker in the
// proportion of its capacity, so that processors aren't stranded on workers
// without free memory, and keeps accelerators for tasks that request them.
// Without it a memory-heavy night batch leaves processors that no task can
// use.
struct shaped_fit
{};

using packing_policy =
  std::variant<first_fit, best_fit, random_fit, shaped_fit>;

// Returns the score; lower is better. Pure function; cost: constant.
double
Score(const shaped_fit& aPolicy,
      const resources& aRequest,
      const resources& aFree,
      const resources& aCapacity);
double
Score(const best_fit& aPolicy,
      const resources& aRequest,
      const resources& aFree,
      const resources& aCapacity);

} // namespace oriolewalk::cell
