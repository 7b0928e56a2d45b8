// Runs the scenarios of docs/POLICY.md under the project's own policy and under
// the baselines.

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bench/report.h"
#include "bench/traffic_baselines.h"
#include "bench/traffic_driver.h"
#include "bench/traffic_scenario.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::bench {
namespace {

constexpr double kMilli = 1000;
constexpr double kPercent = 100;

void
AddTimes(bench_report& aReport,
         const std::string& aName,
         const std::vector<double>& aSeries)
{
  if (aSeries.empty()) {
    return;
  }
  aReport.Add(aName + "_p50", Percentile(aSeries, 0.5) * kMilli, "ms");
  aReport.Add(aName + "_p99", Percentile(aSeries, 0.99) * kMilli, "ms");
  aReport.Add(aName + "_worst", Percentile(aSeries, 1) * kMilli, "ms");
}

void
AddRefusals(bench_report& aReport,
            const std::string& aName,
            const caller_outcome& aSeen)
{
  for (std::size_t kind = 0; kind < traffic::kRefusalCount; ++kind) {
    if (aSeen.mRefused.at(kind) > 0) {
      std::string word(ToString(static_cast<traffic::refusal>(kind)));
      for (char& letter : word) {
        letter = letter == ' ' ? '_' : letter;
      }
      word.insert(0, aName + ".refused.");
      aReport.Add(
        word, static_cast<double>(aSeen.mRefused.at(kind)), "requests");
    }
  }
}

void
AddCallers(bench_report& aReport,
           const std::string& aName,
           const caller_outcome& aSeen,
           double aAllSlotSeconds)
{
  AddTimes(aReport, aName + ".response", aSeen.mResponses);
  aReport.Add(
    aName + ".share", aSeen.mSlotSeconds / aAllSlotSeconds * kPercent, "%");
  aReport.Add(aName + ".in_time",
              static_cast<double>(aSeen.mInTime) /
                static_cast<double>(aSeen.mOffered) * kPercent,
              "%");
}

void
AddOutcome(bench_report& aReport,
           const std::string& aName,
           const outcome& aSeen)
{
  double slotSeconds = 1e-9; // avoids a division by zero
  for (const traffic::work_class each : traffic::kClasses) {
    const caller_outcome& seen = aSeen.mByClass.at(IndexOf(each));
    std::string name = aName;
    name.append(".").append(ToString(each));
    AddTimes(aReport, name + ".wait", seen.mWaits);
    AddRefusals(aReport, name, seen);
    if (seen.mPending > 0) {
      aReport.Add(name + ".still_waiting",
                  static_cast<double>(seen.mPending),
                  "requests");
    }
    slotSeconds += seen.mSlotSeconds;
  }
  for (const auto& [label, seen] : aSeen.mByLabel) {
    std::string name = aName;
    name.append(".callers.").append(label);
    AddCallers(aReport, name, seen, slotSeconds);
  }
  aReport.Add(aName + ".goodput", aSeen.mGoodput * kPercent, "%");
  aReport.Add(aName + ".wasted", aSeen.mWastedSeconds, "slot_s");
  aReport.Add(
    aName + ".overbooked", static_cast<double>(aSeen.mOverbooked), "attempts");
  aReport.Add(aName + ".decision", aSeen.mDecisionMicros, "us");
}

bool
Compares(const scenario& aScenario, policy_kind aKind)
{
  // The baselines have no state that a leader change could lose.
  return aScenario.mLeaderLostSeconds < 0 || aKind == policy_kind::Own;
}

void
RunScenarios(bench_report& aReport)
{
  constexpr std::array kKinds = { policy_kind::Own,
                                  policy_kind::Fifo,
                                  policy_kind::Random,
                                  policy_kind::LeastOutstanding,
                                  policy_kind::NoLimit };
  for (const scenario& each : AllScenarios()) {
    for (const policy_kind kind : kKinds) {
      if (Compares(each, kind)) {
        AddOutcome(aReport,
                   each.mName + "." + std::string(ToString(kind)),
                   Run(each, kind));
      }
    }
  }
}

// Compares one placer that commits claims with lent slot credits. At-most-once
// execution requires a committed claim in both cases. Credits without a commit
// are also shown, as the best that they could achieve.
void
RunPlacers(bench_report& aReport)
{
  constexpr double kMinCommitSeconds = 0.001;
  constexpr double kMaxCommitSeconds = 0.003;
  for (const double times : { 0.8, 1.5, 3.0 }) {
    for (const double skew : { 0.0, 0.4 }) {
      scenario with = Overload(times);
      with.mName += skew > 0 ? ".skewed" : ".even";
      with.mSkew = skew;
      scenario without = with;
      with.mMinCommitSeconds = kMinCommitSeconds;
      with.mMaxCommitSeconds = kMaxCommitSeconds;
      AddOutcome(aReport,
                 "placer." + with.mName + ".one_placer",
                 Run(with, policy_kind::Own));
      AddOutcome(aReport,
                 "placer." + with.mName + ".credits",
                 Run(with, policy_kind::LentCredits));
      AddOutcome(aReport,
                 "placer." + with.mName + ".credits_no_commit",
                 Run(without, policy_kind::LentCredits));
    }
  }
}

// Measures the cost of a decision by the number of targets and organisations.
void
RunSizes(bench_report& aReport)
{
  struct size
  {
    std::size_t mTargets;
    int mOrganisations;
  };
  for (const size each : { size{ 50, 7 },
                           size{ 480, 69 },
                           size{ 2125, 690 },
                           size{ 4800, 690 } }) {
    for (const double times : { 0.7, 3.0 }) {
      scenario made;
      made.mName = "size." + std::to_string(each.mTargets) + "_targets_" +
                   std::to_string(each.mOrganisations) + "_organisations_" +
                   std::to_string(times).substr(0, 3) + "x";
      made.mTargets = each.mTargets;
      made.mSeconds = each.mTargets > 1000 ? 1 : 3;
      made.mWarmUp = 0;
      for (int count = 0; count < each.mOrganisations; ++count) {
        source one;
        one.mLabel = "all";
        one.mOrganisation = organisation_id(std::to_string(count));
        one.mPerSecond = FullLoad(made, 0.02) * times / each.mOrganisations;
        made.mSources.push_back(one);
      }
      const outcome seen = Run(made, policy_kind::Own);
      aReport.Add(made.mName + ".decision", seen.mDecisionMicros, "us");
      aReport.Add(made.mName + ".goodput", seen.mGoodput * kPercent, "%");
    }
  }
}

// Compares numbers of free targets to choose from: all, eight, two or one.
void
RunChoices(bench_report& aReport)
{
  struct choice
  {
    const char* mName;
    std::size_t mScan;
    std::size_t mSample;
  };
  constexpr std::array kChoices = { choice{ "all", 1U << 20U, 0 },
                                    choice{ "eight", 0, 8 },
                                    choice{ "two", 0, 2 },
                                    choice{ "one", 0, 1 } };
  for (const std::size_t targets : { std::size_t{ 50 }, std::size_t{ 4800 } }) {
    for (const choice& each : kChoices) {
      scenario made;
      made.mTargets = targets;
      made.mSeconds = targets > 1000 ? 2 : 8;
      made.mWarmUp = 1;
      made.mOptions.mTarget.mFullScanLimit = each.mScan;
      made.mOptions.mTarget.mSampleSize = each.mSample;
      source load;
      load.mLabel = "all";
      load.mOrganisation = organisation_id("all");
      load.mPerSecond = 0.7 * FullLoad(made, load.mMeanSeconds);
      made.mSources = { load };
      for (std::size_t slow = 0; slow < targets / 25; ++slow) {
        made.mEvents.push_back({ 0, slow * 25, target_change::Slow, 3 });
      }
      const outcome seen = Run(made, policy_kind::Own);
      std::string name = "choice." + std::to_string(targets) + "_targets.";
      name += each.mName;
      AddTimes(aReport, name + ".response", seen.mByLabel.at("all").mResponses);
      aReport.Add(name + ".decision", seen.mDecisionMicros, "us");
    }
  }
}

const registered_bench kChoice("traffic-choice", RunChoices);
const registered_bench kTraffic("traffic", RunScenarios);
const registered_bench kPlacer("traffic-placer", RunPlacers);
const registered_bench kSize("traffic-size", RunSizes);

} // namespace
} // namespace oriolewalk::bench
