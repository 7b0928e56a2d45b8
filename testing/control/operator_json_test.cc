#include <catch2/catch.hpp>

#include <string>

#include "oriolewalk/control/operator_desk.h"
#include "oriolewalk/control/operator_json.h"

namespace oriolewalk::control {
namespace {

constexpr std::int64_t kWallMs = 1'000'000;

TEST_CASE("a job's fields are checked, and the wrong one is named")
{
  const auto good = ParseJob(
    R"({"organisation":"taksa","kind":"gang","class":"urgent","tasks":3,)"
    R"("milli_processors":1000,"memory_mb":64,"repeatable":true})");
  REQUIRE(good);
  CHECK(good->mKind == cell::job_kind::Gang);
  CHECK(good->mTasks == 3);
  CHECK(good->mRepeatable);
  const auto problem = [](std::string_view aBody) {
    const auto job = ParseJob(aBody);
    REQUIRE_FALSE(job);
    CHECK(job.error().mCode == error_code::InvalidArgument);
    return job.error().mMessage;
  };
  CHECK(problem("[]").find("JSON object") != std::string::npos);
  CHECK(problem("{").size() > 0);
  CHECK(problem(R"({"kind":"batsh"})").starts_with("kind must be"));
  CHECK(problem(R"({"tasks":0})").starts_with("tasks must be"));
  CHECK(problem(R"({"memory_mb":-1})").starts_with("memory_mb must be"));
  CHECK(problem(R"({"mem_mb":1})") == "mem_mb is not a known field");
}

TEST_CASE("a drain's deadline is from now, and may be left out")
{
  CHECK(ParseDrainDeadline("", kWallMs).value() == 0);
  CHECK(ParseDrainDeadline("{}", kWallMs).value() == 0);
  CHECK(ParseDrainDeadline(R"({"deadline_ms":500})", kWallMs).value() ==
        kWallMs + 500);
  CHECK_FALSE(ParseDrainDeadline(R"({"deadline":500})", kWallMs));
  CHECK_FALSE(ParseDrainDeadline(R"({"deadline_ms":"soon"})", kWallMs));
}

TEST_CASE("a path is split into its parts and its query")
{
  const parsed_path path = ParsePath("/v1/weights/diff?from=3&to=4&x");
  CHECK(path.mParts == std::vector<std::string>{ "v1", "weights", "diff" });
  CHECK(path.mQuery.at("from") == "3");
  CHECK(path.mQuery.at("to") == "4");
  CHECK(path.mQuery.at("x").empty());
}

} // namespace
} // namespace oriolewalk::control
