#include "oriolewalk/observe/timeline.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "oriolewalk/observe/event.h"

namespace oriolewalk::observe {

namespace {

// By stamp; instances that did not hear of each other may share one.
auto
OrderOf(const event_record& aRecord)
{
  return std::tie(aRecord.mStamp, aRecord.mInstance, aRecord.mSequence);
}

auto
PlaceOf(const event_record& aRecord)
{
  return std::tie(aRecord.mInstance, aRecord.mSequence);
}

// The wanted name itself, or a part of it after or before a '/'.
bool
MatchesPart(const std::string& aWanted, const std::string& aName, bool aTail)
{
  if (aWanted.empty() || aName == aWanted) {
    return true;
  }
  return aTail ? aName.ends_with("/" + aWanted)
               : aName.starts_with(aWanted + "/");
}

bool
MatchesAll(const std::string& aWanted, const std::string& aName)
{
  return aWanted.empty() || aName == aWanted;
}

// An event of a request tells its organisation in the request's name.
bool
MatchesOrganisation(const std::string& aWanted, const event& aEvent)
{
  return MatchesAll(aWanted, aEvent.mOrganisation) ||
         aEvent.mRequest.starts_with(aWanted + "/");
}

} // namespace

bool
event_filter::Matches(const event_record& aRecord) const
{
  const event& one = aRecord.mEvent;
  return MatchesPart(mRequest, one.mRequest, true) &&
         MatchesPart(mJob, one.mJob, false) &&
         MatchesAll(mWorker, one.mWorker) && MatchesAll(mTarget, one.mTarget) &&
         MatchesOrganisation(mOrganisation, one) &&
         aRecord.mStamp.mWallMs >= mFromMs && aRecord.mStamp.mWallMs <= mToMs;
}

void
timeline::Add(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    const std::string_view line = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (line.empty()) {
      continue;
    }
    if (auto record = ParseJsonLine(line)) {
      mRecords.push_back(*std::move(record));
    } else {
      ++mBadLines;
    }
  }
}

std::vector<event_record>
timeline::Select(const event_filter& aFilter) const
{
  std::vector<event_record> chosen;
  std::ranges::copy_if(
    mRecords, std::back_inserter(chosen), [&](const event_record& aRecord) {
      return aFilter.Matches(aRecord);
    });
  std::ranges::sort(chosen, {}, OrderOf);
  const auto twice = std::ranges::unique(chosen, {}, PlaceOf);
  chosen.erase(twice.begin(), twice.end());
  return chosen;
}

std::vector<event_gap>
timeline::Gaps() const
{
  std::vector<std::pair<std::string, std::uint64_t>> places;
  places.reserve(mRecords.size());
  for (const event_record& record : mRecords) {
    places.emplace_back(record.mInstance, record.mSequence);
  }
  std::ranges::sort(places);
  std::vector<event_gap> gaps;
  std::string instance;
  std::uint64_t last = 0;
  for (const auto& [name, sequence] : places) {
    if (name != instance) {
      instance = name;
      last = 0;
    }
    if (sequence > last + 1) {
      gaps.push_back({ name, last, sequence - last - 1 });
    }
    last = sequence;
  }
  return gaps;
}

} // namespace oriolewalk::observe
