#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/observe/event.h"
#include "oriolewalk/observe/event_log.h"
#include "oriolewalk/observe/hybrid_clock.h"
#include "oriolewalk/observe/log.h"
#include "oriolewalk/observe/metrics.h"

namespace oriolewalk::observe {
namespace {

// A folder of the test's own, gone at its end.
class scratch_folder
{
public:
  scratch_folder()
    : mPath(std::filesystem::temp_directory_path() / "oriole-observe-XXXXXX")
  {
    std::string name = mPath.string();
    REQUIRE(mkdtemp(name.data()) != nullptr);
    mPath = name;
  }
  ~scratch_folder() { std::filesystem::remove_all(mPath); }
  scratch_folder(const scratch_folder&) = delete;
  scratch_folder& operator=(const scratch_folder&) = delete;
  scratch_folder(scratch_folder&&) = delete;
  scratch_folder& operator=(scratch_folder&&) = delete;

  [[nodiscard]] std::string File(const char* aName) const
  {
    return (mPath / aName).string();
  }

private:
  std::filesystem::path mPath;
};

std::vector<event_record>
ReadEvents(const std::string& aPath)
{
  std::vector<event_record> records;
  std::ifstream file(aPath);
  for (std::string line; std::getline(file, line);) {
    if (auto record = ParseJsonLine(line)) {
      records.push_back(*std::move(record));
    }
  }
  return records;
}

TEST_CASE("an answer is ordered after its question across skewed clocks")
{
  // The asker's clock is ten seconds ahead. Without the merge the answer
  // would bear an earlier time than the question that it answers.
  hybrid_clock asker;
  hybrid_clock answerer;
  const stamp question = asker.Next(20'000);
  CHECK(answerer.Next(10'000) < question);
  REQUIRE(answerer.Merge(question, 10'000));
  const stamp answer = answerer.Next(10'001);
  CHECK(question < answer);
  REQUIRE(asker.Merge(answer, 20'001));
  CHECK(answer < asker.Next(20'000));
}

TEST_CASE("a peer whose clock is far ahead does not move ours")
{
  hybrid_clock clock;
  CHECK_FALSE(clock.Merge({ hybrid_clock::kMostAheadMs + 2, 0 }, 1));
  CHECK(clock.Next(1) == stamp{ 1, 0 });
}

TEST_CASE("an event comes back from its line as it was written")
{
  const event_record record{
    "oriole-entry",
    "e1",
    7,
    { 1000, 3 },
    { .mKind = "claimed", .mRequest = "a/\"k\"\n", .mDetail = "čas" }
  };
  const std::string line = ToJsonLine(record);
  CHECK(line.find('\n') == std::string::npos);
  const auto copy = ParseJsonLine(line);
  REQUIRE(copy);
  CHECK(copy->mInstance == "e1");
  CHECK(copy->mSequence == 7);
  CHECK(copy->mStamp == record.mStamp);
  CHECK(copy->mEvent.mRequest == record.mEvent.mRequest);
  CHECK(copy->mEvent.mDetail == record.mEvent.mDetail);
  CHECK_FALSE(ParseJsonLine(line.substr(0, line.size() / 2)));
  CHECK_FALSE(ParseJsonLine("[]"));
}

TEST_CASE("events go on above the last line after a kill and a clock set back")
{
  // The process is killed in the middle of a line, and the wall clock is set
  // back before it starts again. The reader must still see one rising order
  // and no event glued to the torn line.
  const scratch_folder folder;
  const std::string path = folder.File("e1");
  std::int64_t wall = 5000;
  event_log_options options{ .mPath = path,
                             .mProcess = "p",
                             .mInstance = "e1",
                             .mWallMilliseconds = [&] { return wall; } };
  (*event_log::Open(options))->Write({ .mKind = "before" });
  std::ofstream(path, std::ios::app) << "{\"torn";
  wall = 4000;
  (*event_log::Open(options))->Write({ .mKind = "after" });
  const auto records = ReadEvents(path);
  REQUIRE(records.size() == 2);
  CHECK(records[1].mSequence == 2);
  CHECK(records[0].mStamp < records[1].mStamp);
}

TEST_CASE("an event file keeps within its bound and rotates once")
{
  const scratch_folder folder;
  const std::string path = folder.File("e1");
  constexpr std::uint64_t kBound = 2000;
  {
    auto log = event_log::Open({ .mPath = path,
                                 .mProcess = "p",
                                 .mInstance = "e1",
                                 .mMaxBytes = kBound });
    REQUIRE(log);
    for (int round = 0; round < 100; ++round) {
      (*log)->Write({ .mKind = "round" });
      (*log)->Flush();
    }
  }
  CHECK(std::filesystem::file_size(path) <= kBound);
  CHECK(std::filesystem::file_size(path + ".1") <= kBound);
  auto records = ReadEvents(path + ".1");
  const auto newer = ReadEvents(path);
  records.insert(records.end(), newer.begin(), newer.end());
  REQUIRE(records.size() > 10);
  CHECK(records.back().mSequence == 100);
  CHECK(records.front().mSequence == 101 - records.size());
}

TEST_CASE("threads write whole lines, and a full buffer drops and counts")
{
  const scratch_folder folder;
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kEach = 500;
  {
    auto log = event_log::Open({ .mPath = folder.File("a"), .mProcess = "p" });
    REQUIRE(log);
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (std::size_t count = 0; count < kThreads; ++count) {
      threads.emplace_back([&] {
        for (std::size_t round = 0; round < kEach; ++round) {
          (*log)->Write({ .mKind = "k" });
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  CHECK(ReadEvents(folder.File("a")).size() == kThreads * kEach);
  auto small = event_log::Open({ .mPath = folder.File("b"),
                                 .mProcess = "p",
                                 .mFlushEvery = milliseconds(3'600'000),
                                 .mMaxBufferBytes = 0 });
  REQUIRE(small);
  (*small)->Write({ .mKind = "kept" });
  (*small)->Write({ .mKind = "dropped" });
  CHECK((*small)->Dropped() == 1);
}

TEST_CASE("an event file that can't be made is an error with its reason")
{
  const auto log = event_log::Open({ .mPath = "/no/such/folder/e1" });
  REQUIRE_FALSE(log);
  CHECK(log.error().mCode == error_code::Io);
}

TEST_CASE("the metrics page has counters, gauges and quantiles by label")
{
  metric_registry metrics;
  metrics.Counter("a_total", "all a", { { "class", "x\"y" } }).Add(3);
  metrics.Counter("a_total", "all a", { { "class", "z" } });
  metrics.Gauge("b", "now b").Set(1.5);
  quantiles& wait = metrics.Quantiles("c_ms", "c", { { "class", "z" } });
  for (int sample = 1; sample <= 100; ++sample) {
    wait.Add(sample);
  }
  const std::string page = metrics.Render();
  CHECK_THAT(
    page,
    Catch::StartsWith("# HELP a_total all a\n# TYPE a_total counter\n"
                      "a_total{class=\"x\\\"y\"} 3\na_total{class=\"z\"} 0\n"
                      "# HELP b now b\n# TYPE b gauge\nb 1.5\n"
                      "# HELP c_ms c\n# TYPE c_ms summary\n"
                      "c_ms{class=\"z\",quantile=\"0.5\"} ") &&
      Catch::EndsWith("c_ms_sum{class=\"z\"} 5050\n"
                      "c_ms_count{class=\"z\"} 100\n"));
}

TEST_CASE("quantiles follow a change within two windows")
{
  quantiles wait;
  random_source random(1);
  CHECK(wait.Read().mP99 == 0);
  for (std::uint64_t count = 0; count < quantiles::kWindow; ++count) {
    wait.Add(random.Fraction());
  }
  CHECK(wait.Read().mP50 == Approx(0.5).margin(0.05));
  CHECK(wait.Read().mP99 == Approx(0.99).margin(0.03));
  for (std::uint64_t count = 0; count < 2 * quantiles::kWindow; ++count) {
    wait.Add(100 + random.Fraction());
  }
  CHECK(wait.Read().mP50 == Approx(100.5).margin(0.05));
}

TEST_CASE("a log line stays one line whatever a caller sent")
{
  CHECK(FormatLogLine("leader changed",
                      { { "leader", "2" }, { "by", "a\n\"b" } }) ==
        "event=\"leader changed\" leader=2 by=\"a?\\\"b\"");
}

} // namespace
} // namespace oriolewalk::observe
