#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <vector>

#include "oriolewalk/observe/event.h"
#include "oriolewalk/observe/hybrid_clock.h"
#include "oriolewalk/observe/timeline.h"

namespace oriolewalk::observe {
namespace {

// A process with its own wall clock that writes lines.
struct fake_process
{
  std::string mInstance;
  std::int64_t mWallMs;
  hybrid_clock mClock{};
  std::uint64_t mSequence = 0;
  std::string mFile{};

  stamp Do(const event& aEvent)
  {
    const stamp at = mClock.Next(++mWallMs);
    mFile += ToJsonLine({ "p", mInstance, ++mSequence, at, aEvent }) + "\n";
    return at;
  }
  void Hear(const stamp& aSeen) { mClock.Merge(aSeen, mWallMs); }
};

std::vector<std::string>
Kinds(const std::vector<event_record>& aRecords)
{
  std::vector<std::string> kinds;
  kinds.reserve(aRecords.size());
  for (const event_record& record : aRecords) {
    kinds.push_back(record.mEvent.mKind);
  }
  return kinds;
}

TEST_CASE("a request is followed in causal order through skewed processes")
{
  // The control process's clock is a minute behind the entry's. By wall time
  // the claim would stand before the arrival that caused it.
  fake_process entry{ "e1", 1'000'000 };
  fake_process control{ "c1", 940'000 };
  control.Hear(entry.Do({ .mKind = "arrived", .mRequest = "taksa/7" }));
  entry.Do({ .mKind = "arrived", .mRequest = "tamarin/8" });
  entry.Hear(control.Do({ .mKind = "claimed", .mRequest = "taksa/7" }));
  entry.Do({ .mKind = "answered", .mRequest = "taksa/7" });
  timeline line;
  line.Add(control.mFile);
  line.Add(entry.mFile);
  line.Add(entry.mFile); // given twice
  CHECK(Kinds(line.Select({ .mRequest = "7" })) ==
        std::vector<std::string>{ "arrived", "claimed", "answered" });
  CHECK(line.Select({ .mOrganisation = "taksa" }).size() == 3);
  CHECK(line.Select({ .mRequest = "taksa/8" }).empty());
  CHECK(line.Select({}).size() == 4);
  CHECK(line.Gaps().empty());
}

TEST_CASE("a job's events are those of its tasks, within the asked time")
{
  fake_process control{ "c1", 100 };
  control.Do({ .mKind = "placed", .mJob = "job-1/0", .mWorker = "w1" });
  control.Do({ .mKind = "placed", .mJob = "job-10/0", .mWorker = "w1" });
  control.Do({ .mKind = "ended", .mJob = "job-1", .mWorker = "w2" });
  timeline line;
  line.Add(control.mFile);
  CHECK(line.Select({ .mJob = "job-1" }).size() == 2);
  CHECK(line.Select({ .mJob = "job-1", .mWorker = "w2" }).size() == 1);
  CHECK(line.Select({ .mFromMs = 102, .mToMs = 102 }).size() == 1);
}

TEST_CASE("torn lines are counted and lost events are told")
{
  timeline line;
  line.Add("{\"torn\n" + ToJsonLine({ "p", "e1", 3, { 5, 0 }, {} }) + "\n" +
           ToJsonLine({ "p", "e1", 7, { 6, 0 }, {} }));
  CHECK(line.BadLines() == 1);
  const auto gaps = line.Gaps();
  REQUIRE(gaps.size() == 2);
  CHECK(gaps[0].mMissing == 2);
  CHECK(gaps[1].mAfter == 3);
  CHECK(gaps[1].mMissing == 3);
}

} // namespace
} // namespace oriolewalk::observe
