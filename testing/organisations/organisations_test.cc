#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "oriolewalk/organisations/key_index.h"
#include "oriolewalk/organisations/organisation_row.h"
#include "oriolewalk/organisations/quota.h"
#include "oriolewalk/organisations/usage_report.h"

namespace oriolewalk::organisations {

namespace {

organisation_row
Row(const std::string& aName, std::vector<std::string> aKeys)
{
  return { organisation_id(aName), std::move(aKeys), 1, {} };
}

std::string
OwnerOf(const key_index& aIndex, const std::string& aKey)
{
  const organisation_id* owner = aIndex.OwnerOf(aKey);
  return owner == nullptr ? "" : owner->Value();
}

} // namespace

TEST_CASE("rows that contradict each other are invalid")
{
  const std::vector<organisation_row> sound{ Row("a", { "1", "2" }),
                                             Row("b", {}) };
  CHECK(CheckRows(sound));
  const auto problem = [](std::vector<organisation_row> aRows) {
    const auto checked = CheckRows(aRows);
    return checked ? std::string() : checked.error().mMessage;
  };
  CHECK(problem({ Row("", { "1" }) }) == "organisation  has no name");
  CHECK(problem({ Row("a", {}), Row("a", {}) }) ==
        "organisation a stands twice");
  CHECK(problem({ Row("a", { "" }) }) == "organisation a has an empty key");
  CHECK(problem({ Row("a", { "k" }), Row("b", { "k" }) }) ==
        "organisation b has a key that is used twice");
  CHECK(problem({ Row("a", { "k", "k" }) }) ==
        "organisation a has a key that is used twice");
  organisation_row weightless = Row("a", {});
  weightless.mWeight = 0;
  CHECK(problem({ weightless }) ==
        "organisation a has a weight that isn't above 0");
  organisation_row negative = Row("a", {});
  negative.mMaximum = { 0, -1, 0 };
  CHECK(problem({ negative }) == "organisation a has a negative maximum");
}

TEST_CASE("an error of a row doesn't tell its keys")
{
  const std::vector<organisation_row> rows{ Row("a", { "secret" }),
                                            Row("b", { "secret" }) };
  const auto checked = CheckRows(rows);
  REQUIRE(!checked);
  CHECK(checked.error().Describe().find("secret") == std::string::npos);
}

TEST_CASE("a key belongs to the organisation that has it now")
{
  key_index index(7);
  CHECK(OwnerOf(index, "k1").empty());
  index.Update(std::vector{ Row("a", { "k1", "k2" }), Row("b", { "k3" }) });
  CHECK(OwnerOf(index, "k1") == "a");
  CHECK(OwnerOf(index, "k3") == "b");
  CHECK(OwnerOf(index, "").empty());
  CHECK(OwnerOf(index, "k").empty());
  CHECK(OwnerOf(index, "k11").empty());
  // A key moves, one is taken away, one is added, an organisation goes.
  index.Update(std::vector{ Row("c", { "k2" }), Row("a", { "k1", "k4" }) });
  CHECK(OwnerOf(index, "k2") == "c");
  CHECK(OwnerOf(index, "k3").empty());
  CHECK(OwnerOf(index, "k4") == "a");
  CHECK(index.Size() == 3);
}

TEST_CASE("keys that are exchanged belong to their new organisations")
{
  // Guards against an update that erases a key after its new owner got it.
  key_index index(7);
  index.Update(std::vector{ Row("a", { "k1" }), Row("b", { "k2" }) });
  index.Update(std::vector{ Row("a", { "k2" }), Row("b", { "k1" }) });
  CHECK(OwnerOf(index, "k1") == "b");
  CHECK(OwnerOf(index, "k2") == "a");
  index.Update({});
  CHECK(index.Size() == 0);
}

TEST_CASE("an account counts each dimension that has a limit")
{
  quota_account account{ .mMaximum = { 10'000, 0, 2 } };
  const cell::resources size{ 3'000, 1'000'000, 0 };
  CHECK(account.StartableTasks(size, 100) == 3);
  account.Add(size);
  account.Add(size);
  account.Add(size);
  CHECK(!account.MayStart(size));
  CHECK(account.Exceeded(size) == cell::dimension::Processors);
  CHECK(account.MayStart({ 1'000, 0, 2 }));
  CHECK(account.Exceeded({ 0, 0, 3 }) == cell::dimension::Accelerators);
  account.Remove(size);
  CHECK(account.MayStart(size));
}

TEST_CASE("a task that is larger than the maximum runs alone")
{
  quota_account account{ .mMaximum = { 1'000, 0, 0 } };
  const cell::resources large{ 5'000, 0, 0 };
  CHECK(account.StartableTasks(large, 3) == 1);
  account.Add(large);
  CHECK(!account.MayStart(large));
  CHECK(!account.MayStart({ 1, 0, 0 }));
  account.Remove(large);
  account.Add({ 100, 0, 0 });
  CHECK(!account.MayStart(large));
}

TEST_CASE("nothing starts while a lowered maximum is exceeded")
{
  quota_account account{ .mMaximum = { 4'000, 0, 0 } };
  const cell::resources size{ 1'000, 10, 0 };
  for (int task = 0; task < 4; ++task) {
    account.Add(size);
  }
  account.mMaximum = { 2'000, 0, 0 };
  CHECK(account.StartableTasks(size, 5) == 0);
  account.Remove(size);
  account.Remove(size);
  CHECK(account.StartableTasks(size, 5) == 0);
  account.Remove(size);
  CHECK(account.StartableTasks(size, 5) == 1);
}

TEST_CASE("a report has a bounded number of rows and keeps them")
{
  const auto account = [](std::int64_t aRunning) {
    quota_account made{ .mMaximum = { 9'000, 0, 0 } };
    made.Add({ aRunning, 1, 0 });
    return made;
  };
  quota_accounts accounts;
  accounts[organisation_id("small")] = account(1);
  accounts[organisation_id("large")] = account(50);
  accounts[organisation_id("middle")] = account(20);
  usage_report report(2);
  auto uses = report.Update(accounts);
  REQUIRE(uses.size() == 3);
  CHECK(uses[0].mName.Value() == "large");
  CHECK(uses[0].mRunning.mMilliProcessors == 50);
  CHECK(uses[0].mMaximum.mMilliProcessors == 9'000);
  CHECK(uses[1].mName.Value() == "middle");
  CHECK(uses[2].mName.Value().empty());
  CHECK(uses[2].mRunning.mMilliProcessors == 1);
  accounts.erase(organisation_id("large"));
  accounts[organisation_id("small")] = account(100);
  uses = report.Update(accounts);
  REQUIRE(uses.size() == 3);
  CHECK(uses[0].mName.Value() == "large");
  CHECK(uses[0].mRunning == cell::resources{});
  CHECK(uses[2].mRunning.mMilliProcessors == 100);
}

} // namespace oriolewalk::organisations
