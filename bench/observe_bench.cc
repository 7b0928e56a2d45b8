// What an event and a sample cost the thread that gives them.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <string>
#include <system_error>

#include <stdlib.h> // NOLINT(modernize-deprecated-headers): mkdtemp

#include "bench/report.h"
#include "oriolewalk/base/clock.h"
#include "oriolewalk/observe/event_log.h"
#include "oriolewalk/observe/metrics.h"

namespace oriolewalk::bench {

namespace {

constexpr int kRounds = 100'000;

template<class Step>
double
MicrosecondsEach(Step aStep)
{
  const time_point began = runtime_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    aStep(round);
  }
  const auto took = runtime_clock::now() - began;
  return std::chrono::duration<double, std::micro>(took).count() / kRounds;
}

void
MeasureEvents(bench_report& aReport)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "oriole-bench-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    return;
  }
  {
    constexpr std::size_t kRoom = 256UL * 1024 * 1024;
    auto log = observe::event_log::Open({ .mPath = folder + "/events",
                                          .mProcess = "bench",
                                          .mInstance = "b1",
                                          .mMaxBufferBytes = kRoom });
    if (log) {
      const double cost = MicrosecondsEach([&](int aRound) {
        (*log)->Write({ .mKind = "claimed",
                        .mRequest = "taksa/" + std::to_string(aRound),
                        .mTarget = "t1",
                        .mDetail = "attempt 1" });
      });
      aReport.Add("observe_event", cost, "us");
      aReport.Add("observe_events_dropped",
                  static_cast<double>((*log)->Dropped()),
                  "events");
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

const registered_bench kObserve("observe", [](bench_report& aReport) {
  MeasureEvents(aReport);
  observe::quantiles wait;
  aReport.Add("observe_sample",
              MicrosecondsEach([&](int aRound) { wait.Add(aRound % 100); }),
              "us");
  observe::counter count;
  aReport.Add(
    "observe_count", MicrosecondsEach([&](int) { count.Add(); }), "us");
});

} // namespace

} // namespace oriolewalk::bench
