#pragma once

// Event files of many processes, merged into one order.
//
//   timeline line;
//   line.Add(text of "e1.events");
//   line.Add(text of "c1.events");
//   for (const event_record& one : line.Select({ .mRequest = "taksa/7" })) ...
//
// The order is that of the hybrid clock's stamps: what a process did after it
// heard of something comes after it, whatever its wall clock says.

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/observe/event.h"

namespace oriolewalk::observe {

// Empty fields match all. All that are given must match.
struct event_filter
{
  std::string mRequest{}; // ORGANISATION/KEY, or KEY alone
  std::string mJob{};     // a job with its tasks, or one task
  std::string mWorker{};
  std::string mTarget{};
  std::string mOrganisation{};
  std::int64_t mFromMs = std::numeric_limits<std::int64_t>::min();
  std::int64_t mToMs = std::numeric_limits<std::int64_t>::max();

  [[nodiscard]] bool Matches(const event_record& aRecord) const;
};

// Events that an instance numbered but that are in no file: dropped under
// load, or in a file that was rotated away or not given.
struct event_gap
{
  std::string mInstance;
  std::uint64_t mAfter = 0; // the last sequence before the gap; 0: the start
  std::uint64_t mMissing = 0;
};

// One thread. Cost: all events in memory, n log n to sort.
class timeline
{
public:
  // The text of one file. Lines that are no events are counted, not fatal: the
  // last line of a killed process is torn.
  void Add(std::string_view aText);

  // In order. Events given twice (the same file under two names) come once.
  [[nodiscard]] std::vector<event_record> Select(
    const event_filter& aFilter) const;
  [[nodiscard]] std::vector<event_gap> Gaps() const;
  [[nodiscard]] std::uint64_t BadLines() const { return mBadLines; }

private:
  std::vector<event_record> mRecords;
  std::uint64_t mBadLines = 0;
};

} // namespace oriolewalk::observe
