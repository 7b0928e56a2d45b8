#pragma once

// The last list of machines that the machine service told, read page by page.
//
//   machine_list list;
//   list.Begin(now);                       // ask for the first page
//   list.OnPage(page, askedAt);            // ask for list.NextToken(), or done
//   const listed_row* row = list.Find(id); // with the age of what it says
//
// A reading replaces the list once it is complete. Soft state of the leader,
// bounded by the number of machines. Pure; no clock.

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/machines/machine_call.h"

namespace oriolewalk::machines {

struct listed_row
{
  machine_state mState = machine_state::Down;
  worker_id mWorker;
  time_point mAskedAt{}; // the row is as old as the question for its page
};

class machine_list
{
public:
  void Begin(time_point aNow);
  void OnPage(const list_page& aPage, time_point aAskedAt);
  // The reading failed; the list stays as it was.
  void Abandon() { mReading.reset(); }

  [[nodiscard]] bool IsReading() const { return mReading.has_value(); }
  // How many pages the reading in progress has so far.
  [[nodiscard]] std::size_t Pages() const
  {
    return mReading ? mReading->mPages : 0;
  }
  // The page to ask for next, while a reading is in progress.
  [[nodiscard]] const std::string& NextToken() const
  {
    return mReading->mNextToken;
  }
  [[nodiscard]] bool IsKnown() const { return mBeganAt.has_value(); }
  // When the first page of the list was asked for, if it is known.
  [[nodiscard]] std::optional<time_point> BeganAt() const { return mBeganAt; }
  // How long the last complete reading took.
  [[nodiscard]] duration ReadingTime() const { return mReadingTime; }
  // Null: the list doesn't have it.
  [[nodiscard]] const listed_row* Find(const machine_id& aMachine) const;
  // Whether the machine has left: no reading has had it, from one to another
  // that began at least 2 s later. aMachines of Watch() only.
  [[nodiscard]] bool HasLeft(const machine_id& aMachine) const;
  // The machines whose absence is to be noted.
  void Watch(std::set<machine_id> aMachines);

private:
  struct reading
  {
    time_point mBeganAt;
    std::string mNextToken;
    std::map<machine_id, listed_row> mRows;
    std::size_t mPages = 0;
  };
  struct absence
  {
    time_point mFirst; // beginnings of readings
    time_point mLast;
  };

  std::optional<reading> mReading;
  std::map<machine_id, listed_row> mRows;
  std::optional<time_point> mBeganAt;
  duration mReadingTime{};
  std::set<machine_id> mWatched;
  std::map<machine_id, absence> mAbsences;
};

} // namespace oriolewalk::machines
