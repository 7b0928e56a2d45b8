#pragma once

// What an organisation has running, against its maximum.
//
//   quota_account account{ .mMaximum = row.mMaximum };
//   if (account.MayStart(size)) { account.Add(size); }
//   ... account.Remove(size); // only on proof that the task doesn't run
//
// A task that is larger than the maximum by itself may run while nothing else
// of its organisation does. Otherwise it would never run; beside other tasks it
// would take the organisation further above its maximum.
//
// A value; any thread. Does no I/O.

#include <cstddef>
#include <cstdint>
#include <optional>

#include "oriolewalk/cell/resources.h"

namespace oriolewalk::organisations {

// The limit as an amount that anything fits in, where the dimension has none.
cell::resources
EffectiveMaximum(const cell::resources& aMaximum);

struct quota_account
{
  cell::resources mMaximum{}; // 0 in a dimension: no limit
  cell::resources mRunning{};
  std::uint32_t mTasks = 0; // running

  void Add(const cell::resources& aSize)
  {
    mRunning += aSize;
    ++mTasks;
  }
  void Remove(const cell::resources& aSize)
  {
    mRunning -= aSize;
    --mTasks;
  }

  // Whether one more task of this size may start.
  [[nodiscard]] bool MayStart(const cell::resources& aSize) const
  {
    return StartableTasks(aSize, 1) == 1;
  }
  // How many of aWanted tasks of this size may start together.
  [[nodiscard]] std::size_t StartableTasks(const cell::resources& aSize,
                                           std::size_t aWanted) const;
  // Whether no task of this size may run, unless nothing else does.
  [[nodiscard]] bool IsOversize(const cell::resources& aSize) const
  {
    return !aSize.FitsIn(EffectiveMaximum(mMaximum));
  }
  // The dimension in which one more task would exceed the maximum.
  [[nodiscard]] std::optional<cell::dimension> Exceeded(
    const cell::resources& aSize) const
  {
    return (mRunning + aSize).FirstExcess(EffectiveMaximum(mMaximum));
  }
};

} // namespace oriolewalk::organisations
