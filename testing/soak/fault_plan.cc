#include "testing/soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <span>
#include <string_view>

#include "oriolewalk/base/random.h"

namespace oriolewalk::soak {

namespace {

using enum fault_kind;

// What each place may meet. Listed twice: twice as often.
constexpr auto kOfControl = std::to_array<fault_kind>({ Kill,
                                                        Kill,
                                                        KillTorn,
                                                        Wipe,
                                                        KillAll,
                                                        Terminate,
                                                        Terminate,
                                                        Freeze,
                                                        Reload,
                                                        HoldIn,
                                                        HoldOut,
                                                        HoldBoth,
                                                        Slow,
                                                        Reset });
constexpr auto kOfEntry = std::to_array<fault_kind>(
  { Kill, Terminate, Terminate, Freeze, Reload, HoldIn, HoldOut, Slow, Reset });
constexpr auto kOfWorker = std::to_array<fault_kind>(
  { HoldIn, HoldOut, HoldBoth, Slow, Reset, Crash, Drain });

// A restarted or healed control process has caught up after this; one whose
// disk was lost after that long again.
constexpr milliseconds kCatchUp{ 2'500 };
constexpr milliseconds kRefill{ 3'000 };

milliseconds
Between(random_source& aRandom, milliseconds aLeast, milliseconds aMost)
{
  return aLeast + milliseconds(aRandom.Below(
                    static_cast<std::uint64_t>((aMost - aLeast).count()) + 1));
}

std::string_view
NameOf(fault_kind aKind)
{
  constexpr auto kNames = std::to_array<std::string_view>({ "kill",
                                                            "kill torn",
                                                            "wipe",
                                                            "kill all",
                                                            "terminate",
                                                            "freeze",
                                                            "reload",
                                                            "hold in",
                                                            "hold out",
                                                            "hold both",
                                                            "slow",
                                                            "reset",
                                                            "crash",
                                                            "drain" });
  return kNames[static_cast<std::size_t>(aKind)];
}

fault
Draw(random_source& aRandom,
     std::span<const fault_kind> aKinds,
     fault_place aPlace,
     std::size_t aCount)
{
  fault one;
  one.mPlace = aPlace;
  one.mKind = aKinds[aRandom.Below(aKinds.size())];
  one.mIndex = aRandom.Below(aCount);
  one.mFor = Between(aRandom, milliseconds(300), milliseconds(3'500));
  one.mDelay = Between(aRandom, milliseconds(20), milliseconds(400));
  return one;
}

// Faults of one place, one after the other, in series with short pauses.
void
AddSeries(random_source& aRandom,
          std::span<const fault_kind> aKinds,
          fault_place aPlace,
          std::size_t aCount,
          milliseconds aSpan,
          std::vector<fault>& aPlan)
{
  milliseconds at = Between(aRandom, milliseconds(100), milliseconds(2'500));
  for (;;) {
    fault one = Draw(aRandom, aKinds, aPlace, aCount);
    one.mAt = at;
    milliseconds over = at + one.mFor;
    if (aPlace == fault_place::Control) {
      over += kCatchUp + (one.mKind == Wipe ? kRefill : milliseconds(0));
    }
    if (over > aSpan) {
      return;
    }
    aPlan.push_back(one);
    at = over + Between(aRandom, milliseconds(0), milliseconds(1'200));
  }
}

} // namespace

std::string
fault::Describe() const
{
  constexpr auto kPlaces =
    std::to_array<std::string_view>({ "control", "entry", "worker" });
  return std::to_string(mAt.count()) + " ms: " + std::string(NameOf(mKind)) +
         " " + std::string(kPlaces[static_cast<std::size_t>(mPlace)]) + " " +
         std::to_string(mIndex) + " for " + std::to_string(mFor.count()) +
         " ms";
}

std::vector<fault>
MakeScenario(std::string_view aName)
{
  if (aName != "lost-seeds") {
    return {};
  }
  const auto on = [](milliseconds aAt,
                     fault_kind aKind,
                     std::size_t aIndex,
                     milliseconds aFor) {
    return fault{ aAt,    aKind, fault_place::Control,
                  aIndex, aFor,  milliseconds(0) };
  };
  return { on(seconds(1), Kill, 0, milliseconds(5'500)),
           on(seconds(8), Kill, 1, milliseconds(5'500)),
           on(seconds(15), Wipe, 2, seconds(1)),
           on(milliseconds(15'050), KillAll, 0, seconds(1)) };
}

std::vector<fault>
MakeFaultPlan(std::uint64_t aSeed,
              const fault_places& aPlaces,
              milliseconds aSpan)
{
  random_source random(aSeed);
  std::vector<fault> plan;
  AddSeries(
    random, kOfControl, fault_place::Control, aPlaces.mControls, aSpan, plan);
  AddSeries(
    random, kOfEntry, fault_place::Entry, aPlaces.mEntries, aSpan, plan);
  // Two at a time: workers go by racks.
  for (int series = 0; series < 2; ++series) {
    AddSeries(
      random, kOfWorker, fault_place::Worker, aPlaces.mWorkers, aSpan, plan);
  }
  std::ranges::sort(plan, {}, &fault::mAt);
  return plan;
}

std::vector<crowd_visit>
MakeCrowdPlan(std::uint64_t aSeed, milliseconds aSpan)
{
  constexpr std::uint64_t kApart = 0x63726f77; // from the faults' draws
  random_source random(aSeed ^ kApart);
  std::vector<crowd_visit> plan;
  milliseconds at = Between(random, milliseconds(100), milliseconds(1'000));
  while (at < aSpan) {
    crowd_visit visit;
    visit.mAt = at;
    visit.mFor = Between(random, milliseconds(300), milliseconds(2'500));
    visit.mScript = random.Below(1'000'000);
    visit.mIndex = random.Below(1'000'000);
    plan.push_back(visit);
    at += Between(random, milliseconds(300), milliseconds(1'500));
  }
  return plan;
}

} // namespace oriolewalk::soak
