// What a leader learns of durations from the runs of its workers.

#include <string>

#include <catch2/catch.hpp>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

namespace oriolewalk::flow {

namespace {

using testing::Step;

constexpr const char* kLearned = "durations.learned";

// The value of the field in the last line about durations; empty without one.
std::string
LastField(const fake_group& aGroup, const std::string& aField)
{
  const std::string& log = aGroup.Log();
  const std::size_t line = log.rfind(kLearned);
  if (line == std::string::npos) {
    return {};
  }
  const std::string text = log.substr(line, log.find('\n', line) - line);
  const std::size_t at = text.find(aField + "=");
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t from = at + aField.size() + 1;
  return text.substr(from, text.find(' ', from) - from);
}

// Three control processes and three workers, whose tasks take 300 ms.
struct learning_cell
{
  fake_group mGroup;
  int mJobs = 0;

  explicit learning_cell(const flow_options& aOptions = {})
    : mGroup(3, 3, 3, 9, aOptions)
  {
    for (const char* id : { "wa", "wb", "wc" }) {
      mGroup.AddWorker(id);
    }
    mGroup.Run(seconds(2));
  }

  void RunJobs(int aCount, const step_spec& aStep)
  {
    for (int job = 0; job < aCount; ++job) {
      const std::string id = "00000000000000" + std::to_string(10 + mJobs++);
      mGroup.Submit(id, { aStep });
      mGroup.Run(seconds(1));
    }
    mGroup.Run(seconds(3));
  }
};

} // namespace

TEST_CASE("a leader learns from whole runs on workers that it can compare")
{
  learning_cell cell;
  cell.RunJobs(20, Step(6, 500));
  REQUIRE(cell.mGroup.Count(kLearned) > 0);
  CHECK(LastField(cell.mGroup, "queue") == "fees");
  const int ratio = std::stoi(LastField(cell.mGroup, "ratio_percent"));
  CHECK(ratio >= 28);
  CHECK(ratio <= 45);
  // All but the first tasks on each worker.
  const int samples = std::stoi(LastField(cell.mGroup, "samples"));
  CHECK(samples > 75);
  CHECK(samples <= 120);
}

TEST_CASE("a leader learns nothing from gangs and long-running tasks")
{
  // Members of a gang wait for each other; a long-running task takes as long as
  // its job.
  learning_cell cell;
  step_spec gang = Step(6, 500);
  gang.mGang = true;
  cell.RunJobs(12, gang);
  step_spec stays = Step(6, 100);
  stays.mLongRunning = true;
  cell.RunJobs(12, stays);
  CHECK(cell.mGroup.Count(kLearned) == 0);
}

TEST_CASE("a leader learns nothing where learning is switched off")
{
  flow_options options;
  options.mPlan.mLearnsDurations = false;
  learning_cell cell(options);
  cell.RunJobs(20, Step(6, 500));
  CHECK(cell.mGroup.Count(kLearned) == 0);
}

TEST_CASE("a new leader starts with the callers' estimates")
{
  learning_cell cell;
  cell.RunJobs(20, Step(6, 500));
  REQUIRE(cell.mGroup.Count(kLearned) > 0);
  cell.mGroup.Kill(*cell.mGroup.Leader());
  cell.mGroup.Run(seconds(6));
  REQUIRE(cell.mGroup.Leader());
  const std::size_t before = cell.mGroup.Count(kLearned);
  cell.RunJobs(2, Step(6, 500));
  CHECK(cell.mGroup.Count(kLearned) == before);
  cell.RunJobs(20, Step(6, 500));
  CHECK(cell.mGroup.Count(kLearned) > before);
}

} // namespace oriolewalk::flow
