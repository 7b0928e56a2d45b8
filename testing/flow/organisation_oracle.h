#pragma once

// The organisations of a random history: their tables, and what callers and
// workers must see. It judges by the tables that were acknowledged and by the
// workers' own record of runs, not by the scheduler's state.
//
// A table may be in force from when it is sent, and until a later one was
// acknowledged. An order that was given under a table may still arrive a short
// time after that.
//
// Owned by a history; one thread.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/messages.h"
#include "testing/flow/fake_worker.h"

namespace oriolewalk::flow {

class organisation_oracle
{
public:
  using choose_function = std::function<std::uint64_t(std::uint64_t aBound)>;

  organisation_oracle(run_oracle& aRuns,
                      choose_function aChoose,
                      std::function<time_point()> aNow,
                      const cell::resources& aTaskSize);

  // A table that differs from the last one: a key is added, taken away or moved
  // to another organisation, or a maximum is changed. The first one has keys of
  // all organisations.
  table_change_with_access NextTable();
  // A table without maxima, in which each organisation has one key of its own.
  table_change_with_access FinalTable();
  void OnAcknowledged(std::int64_t aVersion);

  // A key that some table had, or at times none had.
  std::string AnyKey();
  // In the final table.
  [[nodiscard]] static std::string FinalKeyOf(const std::string& aOwner);
  [[nodiscard]] const std::string& OwnerOf(const std::string& aJob) const;

  // None: there was no answer.
  void OnSubmitted(const std::string& aJob,
                   const std::string& aKey,
                   std::optional<job_reply> aReply);
  void OnQueried(const std::string& aJob,
                 const std::string& aKey,
                 std::optional<job_reply> aReply);

private:
  struct put_table_record
  {
    std::int64_t mVersion = 0;
    std::vector<organisations::organisation_row> mRows;
    std::optional<time_point> mAcknowledgedAt;
  };

  table_change_with_access Put(
    std::vector<organisations::organisation_row> aRows);
  void ChangeKeys(std::vector<organisations::organisation_row>& aRows);
  // Tables that may be in force, or were within aGrace.
  [[nodiscard]] std::vector<const put_table_record*> MaybeInForce(
    duration aGrace) const;
  // The organisations that the key may belong to; empty text: to none.
  [[nodiscard]] std::set<std::string> OwnersOf(const std::string& aKey) const;
  void OnStart(const run_ref& aRun);
  void OnEnd(const run_ref& aRun);

  run_oracle& mRuns;
  choose_function mChoose;
  std::function<time_point()> mNow;
  cell::resources mTaskSize;
  std::vector<put_table_record> mTables;
  int mLastKey = 0;
  std::map<std::string, std::string> mOwners; // by job; absent: not certain
  std::map<std::string, std::set<run_ref>> mRunning; // by organisation
};

} // namespace oriolewalk::flow
