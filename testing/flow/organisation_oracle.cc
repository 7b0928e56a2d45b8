#include "testing/flow/organisation_oracle.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

constexpr int kOrganisations = 3;
// How long an order that was given under a former table may be on its way: the
// platform's time to apply a table.
constexpr milliseconds kOrderGrace{ 2'500 };

std::string
Name(std::uint64_t aNumber)
{
  return "org" + std::to_string(aNumber);
}

} // namespace

organisation_oracle::organisation_oracle(run_oracle& aRuns,
                                         choose_function aChoose,
                                         std::function<time_point()> aNow,
                                         const cell::resources& aTaskSize)
  : mRuns(aRuns)
  , mChoose(std::move(aChoose))
  , mNow(std::move(aNow))
  , mTaskSize(aTaskSize)
{
  const auto former = mRuns.mOnStart;
  mRuns.mOnStart = [this, former](const run_ref& aRun) {
    if (former) {
      former(aRun);
    }
    OnStart(aRun);
  };
  mRuns.mOnEnd = [this](const run_ref& aRun, run_outcome /*aHow*/) {
    OnEnd(aRun);
  };
}

table_change_with_access
organisation_oracle::Put(std::vector<organisations::organisation_row> aRows)
{
  table_change_with_access change;
  change.mChange.mSource = "source";
  change.mChange.mTable.mVersion =
    mTables.empty() ? 2 : mTables.back().mVersion + 1;
  change.mChange.mTable.mQueues = { testing::Queue("fees", 0) };
  change.mChange.mTable.mServices = { { service_id("pay"), false, false } };
  change.mAccess.mOrganisations = aRows;
  mTables.push_back(
    { change.mChange.mTable.mVersion, std::move(aRows), std::nullopt });
  return change;
}

void
organisation_oracle::ChangeKeys(
  std::vector<organisations::organisation_row>& aRows)
{
  auto& from = aRows[mChoose(aRows.size())].mKeys;
  auto& to = aRows[mChoose(aRows.size())].mKeys;
  if (mChoose(3) == 0 || from.empty()) {
    to.push_back("key" + std::to_string(++mLastKey));
    return;
  }
  const auto chosen =
    from.begin() + static_cast<std::ptrdiff_t>(mChoose(from.size()));
  std::string key = *chosen;
  from.erase(chosen);
  if (mChoose(2) == 0) {
    to.push_back(std::move(key));
  }
}

table_change_with_access
organisation_oracle::NextTable()
{
  if (mTables.empty()) {
    std::vector<organisations::organisation_row> rows;
    rows.reserve(kOrganisations);
    for (int number = 0; number < kOrganisations; ++number) {
      rows.push_back(testing::Organisation(Name(number), 0));
      rows.back().mKeys = { "key" + std::to_string(++mLastKey) };
    }
    return Put(std::move(rows));
  }
  auto rows = mTables.back().mRows;
  if (mChoose(2) == 0) {
    ChangeKeys(rows);
  } else {
    // From less than one task to more than all workers, and no limit.
    constexpr std::int64_t kMaxHalves = 14;
    auto& row = rows[mChoose(rows.size())];
    row.mMaximum = {};
    row.mMaximum.mMilliProcessors =
      static_cast<std::int64_t>(mChoose(kMaxHalves)) *
      mTaskSize.mMilliProcessors / 2;
  }
  return Put(std::move(rows));
}

std::string
organisation_oracle::FinalKeyOf(const std::string& aOwner)
{
  return "final-" + aOwner;
}

table_change_with_access
organisation_oracle::FinalTable()
{
  std::vector<organisations::organisation_row> rows;
  rows.reserve(kOrganisations);
  for (int number = 0; number < kOrganisations; ++number) {
    rows.push_back(testing::Organisation(Name(number), 0));
    rows.back().mKeys = { FinalKeyOf(Name(number)) };
  }
  return Put(std::move(rows));
}

void
organisation_oracle::OnAcknowledged(std::int64_t aVersion)
{
  for (put_table_record& table : mTables) {
    if (table.mVersion == aVersion && !table.mAcknowledgedAt) {
      table.mAcknowledgedAt = mNow();
    }
  }
}

std::string
organisation_oracle::AnyKey()
{
  constexpr std::uint64_t kWrongOneIn = 8;
  if (mChoose(kWrongOneIn) == 0) {
    return "key";
  }
  return "key" +
         std::to_string(1 + mChoose(static_cast<std::uint64_t>(mLastKey)));
}

std::vector<const organisation_oracle::put_table_record*>
organisation_oracle::MaybeInForce(duration aGrace) const
{
  const auto last =
    std::find_if(mTables.rbegin(), mTables.rend(), [&](const auto& aTable) {
      return aTable.mAcknowledgedAt &&
             *aTable.mAcknowledgedAt + aGrace <= mNow();
    });
  std::vector<const put_table_record*> maybe;
  maybe.reserve(mTables.size());
  const auto from = last == mTables.rend() ? mTables.begin() : last.base() - 1;
  for (auto table = from; table != mTables.end(); ++table) {
    maybe.push_back(&*table);
  }
  return maybe;
}

std::set<std::string>
organisation_oracle::OwnersOf(const std::string& aKey) const
{
  std::set<std::string> owners;
  for (const put_table_record* table : MaybeInForce(duration::zero())) {
    const auto owner =
      std::ranges::find_if(table->mRows, [&](const auto& aRow) {
        return std::ranges::count(aRow.mKeys, aKey) > 0;
      });
    owners.insert(owner == table->mRows.end() ? "" : owner->mName.Value());
  }
  return owners;
}

const std::string&
organisation_oracle::OwnerOf(const std::string& aJob) const
{
  static const std::string sUnknown;
  const auto found = mOwners.find(aJob);
  return found == mOwners.end() ? sUnknown : found->second;
}

void
organisation_oracle::OnSubmitted(const std::string& aJob,
                                 const std::string& aKey,
                                 std::optional<job_reply> aReply)
{
  const std::set<std::string> owners = OwnersOf(aKey);
  const bool mayBeNobodys = owners.contains("");
  const bool mayBeSomebodys = owners.size() > (mayBeNobodys ? 1 : 0);
  if (aReply == job_reply::Accepted && !mayBeSomebodys) {
    mRuns.AddViolation("a job was accepted with a key of nobody: " + aJob);
  }
  if (aReply == job_reply::Unauthorized && !mayBeNobodys) {
    mRuns.AddViolation("a job was refused with a valid key: " + aJob);
  }
  // A refused job is unknown; another organisation may submit its id.
  if (owners.size() == 1 && mayBeSomebodys && aReply != job_reply::Refused) {
    mOwners.emplace(aJob, *owners.begin());
  }
}

void
organisation_oracle::OnQueried(const std::string& aJob,
                               const std::string& aKey,
                               std::optional<job_reply> aReply)
{
  const std::set<std::string> owners = OwnersOf(aKey);
  const std::string& owner = OwnerOf(aJob);
  const bool isSeen =
    aReply == job_reply::State || aReply == job_reply::Cancelled;
  if (isSeen && !owner.empty() && !owners.contains(owner)) {
    mRuns.AddViolation("a job was shown to another's key: " + aJob);
  }
  if (aReply == job_reply::Unauthorized && !owners.contains("")) {
    mRuns.AddViolation("a caller was refused with a valid key: " + aJob);
  }
}

void
organisation_oracle::OnStart(const run_ref& aRun)
{
  const std::string& owner = OwnerOf(aRun.mTask.mJob.Value());
  if (owner.empty()) {
    return;
  }
  auto& running = mRunning[owner];
  running.insert(aRun);
  if (running.size() == 1) {
    return; // a task that runs alone may exceed the maximum
  }
  // An order that was held up on its way may be older than any table.
  const duration grace =
    mRuns.mIsLateOrder ? duration(seconds(60)) : duration(kOrderGrace);
  std::int64_t highest = 0;
  for (const put_table_record* table : MaybeInForce(grace)) {
    const auto row = std::ranges::find(table->mRows,
                                       organisation_id(owner),
                                       &organisations::organisation_row::mName);
    const std::int64_t maximum =
      row == table->mRows.end() ? 0 : row->mMaximum.mMilliProcessors;
    highest = std::max(highest,
                       maximum == 0 ? std::numeric_limits<std::int64_t>::max()
                                    : maximum);
  }
  const auto taken =
    static_cast<std::int64_t>(running.size()) * mTaskSize.mMilliProcessors;
  if (taken > highest) {
    mRuns.AddViolation("a start brings " + owner +
                       " above its maximum: " + aRun.mTask.mJob.Value());
  }
}

void
organisation_oracle::OnEnd(const run_ref& aRun)
{
  for (auto& [owner, running] : mRunning) {
    running.erase(aRun);
  }
}

} // namespace oriolewalk::flow
