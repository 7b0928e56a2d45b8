#pragma once

// Which of the workers with room gets a task.
//
//   packing_policy policy = shaped_fit{};
//   double score = Score(policy, request, free, capacity); // lowest wins

#include <variant>

#include "oriolewalk/cell/resources.h"

namespace oriolewalk::cell {

// The lowest slot with room.
struct first_fit
{};
// The least left over, summed over the dimensions as shares of the worker.
struct best_fit
{};
// Any, drawn evenly.
struct random_fit
{};
// Answers unlike shapes: keeps what is left on a worker in the proportion of
// its capacity, so that the last processors aren't stranded behind used-up
// memory, and keeps accelerators for those that ask for them. Without it a
// memory-heavy night batch leaves processors that nothing can use.
struct shaped_fit
{};

using packing_policy =
  std::variant<first_fit, best_fit, random_fit, shaped_fit>;

// Lower is better. Pure; cost: constant.
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
