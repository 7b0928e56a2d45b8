#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include "oriolewalk/weights/weights_register.h"

namespace oriolewalk::weights {
namespace {

const std::string kHeader =
  "organisation,class,weight,max_slots,max_waiting,requests_per_s,burst,"
  "milli_processors,memory_mb,accelerators,max_running_tasks\n";

std::string
Csv(const std::string& aRows)
{
  return kHeader + aRows;
}

// A table that differs by the weight of everyone's row.
std::string
WithWeight(std::uint64_t aWeight)
{
  return Csv("*,*," + std::to_string(aWeight) + ",,,,,,,,\n");
}

std::vector<table_error>
Errors(const std::string& aCsv)
{
  auto table = weights_table::Parse(aCsv);
  REQUIRE_FALSE(table);
  return table.error();
}

} // namespace

TEST_CASE("the most particular row holds")
{
  const auto table = weights_table::Parse(Csv("*,*,1,,,,,,,,\n"
                                              "*,heavy,2,,,,,,,,\n"
                                              "taksa,*,3,,,,,,,,\n"
                                              "taksa,urgent,4,9,,,,,,,\n"));
  REQUIRE(table);
  const organisation_id taksa("taksa");
  const organisation_id other("other");
  CHECK(table->Find(taksa, work_class::Urgent).mWeight == 4);
  CHECK(table->Find(taksa, work_class::Urgent).mMaxSlots == 9U);
  CHECK(table->Find(taksa, work_class::Heavy).mWeight == 3);
  CHECK(table->Find(other, work_class::Heavy).mWeight == 2);
  CHECK(table->Find(other, work_class::Urgent).mWeight == 1);
  CHECK(*weights_table::Parse(table->ToCsv()) == *table);
}

TEST_CASE("tables as spreadsheets save them are taken")
{
  const auto plain = weights_table::Parse(Csv("*,*,5,,,,,,,,\n"));
  REQUIRE(plain);
  auto saved = Csv("\"*\", * ,\"5\",,,,,,,,\n,,,,,,,,,,\n\n");
  for (auto at = saved.find('\n'); at != std::string::npos;
       at = saved.find('\n', at + 2)) {
    saved.replace(at, 1, "\r\n");
  }
  const auto windows = weights_table::Parse("\xef\xbb\xbf" + saved);
  REQUIRE(windows);
  CHECK(*windows == *plain);

  auto semicolons = Csv("*,*,5,,,,,,,,");
  std::ranges::replace(semicolons, ',', ';');
  const auto european = weights_table::Parse(semicolons);
  REQUIRE(european);
  CHECK(*european == *plain);
}

TEST_CASE("each error names its row and column, and nothing is applied")
{
  using errors = std::vector<table_error>;
  const auto found = Errors(Csv("*,*,1,,,,,,,,\n"
                                "\n"
                                "taksa,slow,0,-1,1.5,,,,,,\n"
                                "taksa,urgent\n"
                                "tamarin,*,1,,,,7,,,,\n"));
  REQUIRE(found.size() == 6);
  CHECK(found[0] == table_error{ 4,
                                 "class",
                                 "must be urgent, normal, heavy or *, "
                                 "not 'slow'" });
  CHECK(found[1].mColumn == "weight");
  CHECK(found[2].mColumn == "max_slots");
  CHECK(found[3].mColumn == "max_waiting");
  CHECK(found[4].mRow == 5);
  CHECK(found[5] ==
        table_error{ 6, "burst", "has no meaning without requests_per_s" });

  CHECK(Errors("") == errors{ { 0, "", "the table is empty" } });
  CHECK(Errors(Csv("taksa,*,1,,,,,,,,\n")).front().mRow == 0);
  CHECK(Errors(Csv("*,*,1,,,,,,,,\n*,*,2,,,,,,,,\n")) ==
        errors{ { 3,
                  "organisation",
                  "the same organisation and class stand in row 2" } });
  CHECK(Errors("organisation,class,wait,weight,weight\n*,*,1,1,1\n").size() ==
        2 + 8);
  CHECK(Errors(Csv("\"*,*,1,,,,,,,,\n")).front().mMessage ==
        "a quote is out of place or not closed");
  CHECK(Errors(Csv("*,*,1000001,,,,,,,,\n")).front().mColumn == "weight");
  CHECK(Errors(std::string(kMaxCsvBytes + 1, 'x')).size() == 1);
  std::string many = kHeader;
  for (std::size_t i = 0; i < kMaxErrors + 10; ++i) {
    many += "x,*,bad,,,,,,,,\n";
  }
  CHECK(Errors(many).size() == kMaxErrors);
}

TEST_CASE("of two edits of one version one wins, and resends hear the same")
{
  // What the operators see: both edit version 1; the first gets version 2,
  // the second a conflict that names version 2. Both answers are lost, both
  // send again, hundreds of edits later: each gets its own first answer, and
  // the table isn't touched.
  weights_register table;
  const edit first{ "a", 1, WithWeight(10), 0 };
  const edit second{ "b", 1, WithWeight(20), 0 };
  CHECK(table.Apply(first) == edit_outcome(edit_accepted{ 2 }));
  CHECK(table.Apply(second) == edit_outcome(edit_conflict{ 2 }));
  for (std::uint64_t i = 0; i < 500; ++i) {
    const edit next{
      "n" + std::to_string(i), table.Version(), WithWeight(100 + i), 0
    };
    REQUIRE(table.Apply(next) == edit_outcome(edit_accepted{ 3 + i }));
  }
  weights_register restored;
  REQUIRE(restored.Restore(table.Save()));
  CHECK(restored.Current() == table.Current());
  auto resend = first;
  resend.mWallMs = 99;
  CHECK(restored.Apply(resend) == edit_outcome(edit_accepted{ 2 }));
  CHECK(restored.Apply(second) == edit_outcome(edit_conflict{ 2 }));
  CHECK(restored.Version() == 502);
  CHECK(restored.Current().Rows().front().mWeight == 599);
}

TEST_CASE("a change id with another content is refused")
{
  weights_register table;
  table.Apply({ "a", 1, WithWeight(10), 0 });
  CHECK(table.Apply({ "a", 1, WithWeight(11), 0 }) ==
        edit_outcome(edit_id_reused{}));
  CHECK(table.Apply({ "a", 2, WithWeight(10), 0 }) ==
        edit_outcome(edit_id_reused{}));
  CHECK(table.Version() == 2);
  const auto empty = table.Apply({ "", 2, WithWeight(10), 0 });
  CHECK(std::holds_alternative<edit_rejected>(empty));
}

TEST_CASE("a rejected edit changes nothing and may be resent")
{
  weights_register table;
  const edit bad{ "a", 1, Csv("*,*,0,,,,,,,,\n"), 0 };
  const auto outcome = table.Apply(bad);
  REQUIRE(std::holds_alternative<edit_rejected>(outcome));
  CHECK(table.Version() == 1);
  REQUIRE(std::holds_alternative<edit_accepted>(
    table.Apply({ "b", 1, WithWeight(7), 0 })));
  CHECK(table.Apply(bad) == outcome);
}

TEST_CASE("history and difference by version")
{
  weights_register table;
  table.Apply({ "a", 1, Csv("*,*,1,,,,,,,,\nx,*,2,,,,,,,,\n"), 17 });
  table.Apply({ "b", 2, Csv("*,*,3,,,,,,,,\ny,*,2,,,,,,,,\n"), 18 });
  REQUIRE(table.History().size() == 3);
  CHECK(table.History()[1].mChangeId == "a");
  CHECK(table.History()[1].mWallMs == 17);
  const auto diff = table.Diff(2, 3);
  REQUIRE(diff);
  REQUIRE(diff->mChanged.size() == 1);
  CHECK(diff->mChanged[0].mAfter.mWeight == 3);
  REQUIRE(diff->mAdded.size() == 1);
  CHECK(diff->mAdded[0].mOrganisation.Value() == "y");
  REQUIRE(diff->mRemoved.size() == 1);
  CHECK(table.At(1)->Rows().size() == 1);
  CHECK(table.At(4).error().mCode == error_code::NotFound);
  CHECK_FALSE(table.Restore("nonsense"));
  CHECK(table.Version() == 3);
}

} // namespace oriolewalk::weights
