#include <string>
#include <string_view>

#include <catch2/catch.hpp>

#include "oriolewalk/observe/decision_timeline.h"

namespace oriolewalk::observe {

namespace {

std::string
Line(std::int64_t aMs,
     const std::string& aNode,
     const std::string& aEvent,
     const std::string& aFields)
{
  return R"({"t":)" + std::to_string(aMs) + R"(,"p":"control","n":")" + aNode +
         R"(","e":")" + aEvent + "\"" + (aFields.empty() ? "" : ",") + aFields +
         "}\n";
}

constexpr const char* kJob = R"("job":"aa")";

} // namespace

TEST_CASE("a job's lines of two leaders tell what it waited for")
{
  // The first leader dies while the job waits for the policy; the next one asks
  // anew. On-call sees in one list that the gap was the change of leader.
  const std::string step = std::string(kJob) + R"(,"step":"0")";
  decision_timeline line;
  line.Add(
    Line(3'000, "b", "leading", R"("term":"3")") +
    Line(3'100, "b", "advice.answered", step) +
    Line(3'110, "b", "run.start", step + R"(,"attempt":"1")") +
    Line(3'850, "b", "step.done", step) +
    Line(3'900, "b", "job.ended", std::string(kJob) + R"(,"state":"done")"));
  line.Add("  12.5 core-a-1 " + Line(1'000, "a", "job.accepted", kJob) +
           Line(1'000, "a", "job.accepted", R"("job":"bb")") + "{\"t\":10");
  const auto lines = line.OfJob("aa");
  REQUIRE(lines.size() == 6);
  CHECK(lines[0].mEvent == "job.accepted");
  CHECK(lines[1].mEvent == "leading");
  const job_account account = line.Account("aa");
  CHECK(account.mState == "done");
  CHECK(account.mWholeMs == 2'900);
  CHECK(account.mLeaders == 1);
  CHECK(account.mRetries == 0);
  REQUIRE_FALSE(account.mParts.empty());
  CHECK(account.mParts[0].mWhat == "no leader, or one that takes over");
  CHECK(account.mParts[0].mMs == 2'000);
  CHECK(account.mParts[1].mWhat == "step 0 works");
  CHECK(account.mParts[1].mMs == 740);
  CHECK(line.BadLines() == 1);
}

TEST_CASE("a clock that jumps back doesn't change the order of a process")
{
  decision_timeline line;
  line.Add(Line(5'000, "a", "job.accepted", kJob) +
           Line(2'000,
                "a",
                "run.start",
                std::string(kJob) + R"(,"step":"0","attempt":"2")") +
           Line(2'700, "a", "job.ended", kJob));
  const auto lines = line.OfJob("aa");
  REQUIRE(lines.size() == 3);
  CHECK(lines[1].mEvent == "run.start");
  CHECK(lines[2].mMs == 5'700);
  CHECK(line.Account("aa").mRetries == 1);
}

TEST_CASE("runs that one line tells of are counted one by one")
{
  decision_timeline line;
  line.Add(Line(5'000,
                "a",
                "run.start",
                std::string(kJob) +
                  R"(,"step":"0","attempt":"1","runs":"0@w1 1@w2 2@w1")") +
           Line(5'700,
                "a",
                "run.start",
                std::string(kJob) +
                  R"(,"step":"0","attempt":"2","runs":"0@w1 2@w2")"));
  CHECK(line.Account("aa").mRetries == 2);
}

TEST_CASE("a job that no line names has no account")
{
  decision_timeline line;
  CHECK(line.OfJob("aa").empty());
  CHECK(line.Account("aa").mParts.empty());
}

} // namespace oriolewalk::observe
