#pragma once

// The decision logs of several processes, merged, and what a job waited for.
//
//   decision_timeline line;
//   line.Add(text of "core-a-1.log");
//   for (const logged_decision& one : line.OfJob("5c0e7a21d94b36f8")) ...
//   job_account account = line.Account("5c0e7a21d94b36f8");
//
// The logs carry the writer's time of day, which may jump. Lines of one process
// keep their order whatever it says; where it goes back, that process's later
// lines are moved on by as much. A jump forward can't be told from a pause.
//
// One thread. Cost: all lines in memory, n log n to sort.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolewalk::observe {

struct logged_decision
{
  std::int64_t mMs = 0; // since 1970, with the jumps back taken out
  std::string mNode;
  std::string mEvent;
  std::vector<std::pair<std::string, std::string>> mFields; // as written

  [[nodiscard]] std::string_view Field(std::string_view aName) const;
};

// Where a job's time went, by its lines.
struct job_account
{
  struct part
  {
    std::string mWhat; // "step 1 waits for the policy service"
    std::int64_t mMs = 0;
  };
  std::vector<part> mParts; // the longest first
  std::string mState;       // as it ended; empty: not by these logs
  std::int64_t mWholeMs = 0;
  std::size_t mRetries = 0; // runs beyond each task's first
  std::size_t mLeaders = 0; // that took over meanwhile
};

class decision_timeline
{
public:
  // One process's log, or one with lines of several; text before a line's
  // object is passed over.
  void Add(std::string_view aText);

  // What names the job, in order, with the changes of leader between.
  [[nodiscard]] std::vector<logged_decision> OfJob(std::string_view aJob) const;
  [[nodiscard]] job_account Account(std::string_view aJob) const;
  // Lines that are no decisions: cut off, or somebody else's.
  [[nodiscard]] std::size_t BadLines() const { return mBadLines; }

private:
  std::vector<logged_decision> mLines;
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> mClocks;
  std::size_t mBadLines = 0;
};

} // namespace oriolewalk::observe
