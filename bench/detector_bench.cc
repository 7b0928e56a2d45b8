// Compares the three estimators on the same seeded heartbeat traces: how long
// it takes to detect a failed peer, how often a healthy peer is suspected, and
// how long each false suspicion lasts.
//
// Each result covers kRuns traces of one kind of network or machine. In each
// trace, a peer sends a heartbeat every 500 ms for ten minutes and then
// crashes.

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <numeric>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench/report.h"
#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/detector/estimators.h"
#include "oriolewalk/detector/failure_detector.h"

namespace oriolewalk::detector {
namespace {

using bench::bench_report;

constexpr duration kPeriod = milliseconds(500);
constexpr duration kTraceLength = std::chrono::minutes(10);
constexpr duration kTick = milliseconds(100);
constexpr int kRuns = 60; // Ten hours of heartbeats per result.
constexpr double kHours = 10;

// The delays, losses and pauses that one kind of trace simulates.
struct series_kind
{
  std::string_view mName;
  duration mDelay = milliseconds(1);
  duration mJitter{}; // The mean of an additional exponential delay.
  double mLoss = 0;   // The probability that a heartbeat is lost.
  // The peer pauses about every 30 seconds for a time between these bounds. It
  // skips the heartbeats that were due in the pause, as a periodic timer does.
  duration mMinPause{};
  duration mMaxPause{};
  // The observer pauses instead of the peer.
  bool mObserverPauses = false;
};

constexpr std::array kSeries{
  series_kind{ .mName = "steady" },
  series_kind{ .mName = "jittered", .mJitter = milliseconds(60) },
  series_kind{ .mName = "lossy", .mLoss = 0.02 },
  series_kind{ .mName = "paused_0.1_to_1_s",
               .mMinPause = milliseconds(100),
               .mMaxPause = seconds(1) },
  series_kind{ .mName = "paused_1_to_5_s",
               .mMinPause = seconds(1),
               .mMaxPause = seconds(5) },
  series_kind{ .mName = "observer_paused_1_to_5_s",
               .mMinPause = seconds(1),
               .mMaxPause = seconds(5),
               .mObserverPauses = true },
};

struct candidate
{
  std::string_view mName;
  estimator_options mOptions;
};

std::vector<candidate>
Candidates()
{
  bertier_options wideMargin;
  wideMargin.mPhi = 4;
  return {
    { "fixed_1000", fixed_options{ milliseconds(1000) } },
    { "fixed_1250", fixed_options{ milliseconds(1250) } },
    { "fixed_1500", fixed_options{ milliseconds(1500) } },
    { "fixed_1750", fixed_options{ milliseconds(1750) } },
    { "fixed_2000", fixed_options{ milliseconds(2000) } },
    { "chen_500", chen_options{ .mMargin = milliseconds(500) } },
    { "chen_750", chen_options{ .mMargin = milliseconds(750) } },
    { "chen_1000", chen_options{ .mMargin = milliseconds(1000) } },
    { "chen_1250", chen_options{ .mMargin = milliseconds(1250) } },
    { "chen_1500", chen_options{ .mMargin = milliseconds(1500) } },
    { "bertier_phi_2", bertier_options{} },
    { "bertier_phi_4", wideMargin },
  };
}

struct time_interval
{
  time_point mFrom;
  time_point mTo;
};

double
Exponential(random_source& aRandom)
{
  return -std::log(1.0 - aRandom.Fraction());
}

duration
Scaled(duration aSpan, double aFactor)
{
  return std::chrono::duration_cast<duration>(aSpan * aFactor);
}

// Draws log-uniform lengths, so short pauses are more common than long ones.
std::vector<time_interval>
MakePauses(const series_kind& aKind, random_source& aRandom)
{
  constexpr duration kMeanGap = seconds(30);
  std::vector<time_interval> pauses;
  if (aKind.mMaxPause == duration{}) {
    return pauses;
  }
  const double ratio = std::chrono::duration<double>(aKind.mMaxPause) /
                       std::chrono::duration<double>(aKind.mMinPause);
  time_point at = time_point{} + Scaled(kMeanGap, Exponential(aRandom));
  while (at < time_point{} + kTraceLength - aKind.mMaxPause) {
    const auto length =
      Scaled(aKind.mMinPause, std::pow(ratio, aRandom.Fraction()));
    pauses.push_back({ at, at + length });
    at += length + kPeriod + Scaled(kMeanGap, Exponential(aRandom));
  }
  return pauses;
}

const time_interval*
PauseAt(std::span<const time_interval> aPauses, time_point aTime)
{
  const auto place = std::ranges::find_if(aPauses, [&](const auto& aPause) {
    return aPause.mFrom <= aTime && aTime < aPause.mTo;
  });
  return place == aPauses.end() ? nullptr : &*place;
}

struct heartbeat_trace
{
  std::vector<heartbeat> mArrivals; // In the order of arrival.
  std::vector<time_interval> mObserverPauses;
  time_point mCrashTime;
};

struct sent_heartbeat
{
  std::uint64_t mNumber = 0;
  time_point mSendTime;
};

// For all heartbeats that are due in a pause, the peer sends one when it
// resumes, with the number of the period in which it resumes.
std::vector<sent_heartbeat>
MakeSentHeartbeats(time_point aCrashTime,
                   std::span<const time_interval> aPauses)
{
  std::vector<sent_heartbeat> heartbeats;
  for (time_point due{}; due < aCrashTime; due += kPeriod) {
    const auto* pause = PauseAt(aPauses, due);
    const auto sent = pause == nullptr ? due : pause->mTo;
    const auto number =
      static_cast<std::uint64_t>(sent.time_since_epoch() / kPeriod);
    if (heartbeats.empty() || heartbeats.back().mNumber < number) {
      heartbeats.push_back({ number, sent });
    }
  }
  return heartbeats;
}

heartbeat_trace
MakeTrace(const series_kind& aKind, std::uint64_t aSeed)
{
  random_source random(aSeed);
  heartbeat_trace trace;
  trace.mCrashTime =
    time_point{} + kTraceLength + Scaled(kPeriod, random.Fraction());
  auto pauses = MakePauses(aKind, random);
  if (aKind.mObserverPauses) {
    std::swap(pauses, trace.mObserverPauses);
  }
  for (const auto& sent : MakeSentHeartbeats(trace.mCrashTime, pauses)) {
    auto arrival = sent.mSendTime + aKind.mDelay +
                   Scaled(aKind.mJitter, Exponential(random));
    if (const auto* pause = PauseAt(trace.mObserverPauses, arrival)) {
      arrival = pause->mTo + milliseconds(1);
    }
    if (random.Fraction() >= aKind.mLoss) {
      trace.mArrivals.push_back({ sent.mNumber, arrival });
    }
  }
  std::ranges::stable_sort(trace.mArrivals, {}, &heartbeat::mArrivalTime);
  return trace;
}

struct verdict
{
  duration mDetection{};
  std::vector<duration> mMistakes;
};

// Replays a trace to a detector as a process would: it checks the peer on each
// tick, except while the observer itself is paused.
class observer
{
public:
  explicit observer(const estimator_options& aEstimator)
    : mDetector({ .mPeriod = kPeriod, .mEstimator = aEstimator })
  {
    mDetector.Start(time_point{});
  }

  verdict Watch(const heartbeat_trace& aTrace)
  {
    time_point tick{};
    for (const auto& arrival : aTrace.mArrivals) {
      for (; tick < arrival.mArrivalTime; tick += kTick) {
        if (PauseAt(aTrace.mObserverPauses, tick) == nullptr) {
          Check(tick);
        }
      }
      Check(arrival.mArrivalTime);
      if (mSuspectSince) {
        mVerdict.mMistakes.push_back(arrival.mArrivalTime - *mSuspectSince);
        mSuspectSince.reset();
      }
      mDetector.OnHeartbeat(arrival.mNumber, arrival.mArrivalTime);
    }
    mVerdict.mDetection = mDetector.SuspicionTime() - aTrace.mCrashTime;
    return std::move(mVerdict);
  }

private:
  void Check(time_point aNow)
  {
    mDetector.OnTick(aNow);
    if (!mSuspectSince && mDetector.IsSuspected(aNow)) {
      mSuspectSince = mDetector.SuspicionTime();
    }
  }

  failure_detector mDetector;
  std::optional<time_point> mSuspectSince;
  verdict mVerdict;
};

double
MeanMs(std::span<const duration> aSpans)
{
  using milliseconds_f = std::chrono::duration<double, std::milli>;
  if (aSpans.empty()) {
    return 0;
  }
  const auto sum = std::reduce(aSpans.begin(), aSpans.end(), duration{});
  return milliseconds_f(sum).count() / static_cast<double>(aSpans.size());
}

void
MeasureOne(bench_report& aReport,
           const series_kind& aKind,
           const candidate& aCandidate)
{
  std::vector<duration> detections;
  std::vector<duration> mistakes;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    const auto seen =
      observer(aCandidate.mOptions).Watch(MakeTrace(aKind, seed));
    detections.push_back(seen.mDetection);
    std::ranges::copy(seen.mMistakes, std::back_inserter(mistakes));
  }
  const auto name =
    std::string(aKind.mName) + "_" + std::string(aCandidate.mName);
  constexpr double kMsPerNs = 1e-6;
  aReport.Add(name + "_detection_mean", MeanMs(detections), "ms");
  aReport.Add(name + "_detection_worst",
              static_cast<double>(std::ranges::max(detections).count()) *
                kMsPerNs,
              "ms");
  aReport.Add(name + "_false_suspicions",
              static_cast<double>(mistakes.size()) / kHours,
              "per hour");
  aReport.Add(name + "_mistake_mean", MeanMs(mistakes), "ms");
}

void
Measure(bench_report& aReport)
{
  const auto candidates = Candidates();
  for (const auto& kind : kSeries) {
    for (const auto& each : candidates) {
      MeasureOne(aReport, kind, each);
    }
  }
}

const bench::registered_bench kBench("detector", Measure);

} // namespace
} // namespace oriolewalk::detector
