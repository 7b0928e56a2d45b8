#include "programs/oriole_timeline.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <span>
#include <string>

#include "oriolewalk/observe/event.h"

namespace oriolewalk::shown {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

std::string
Pad(std::string aText, std::size_t aWidth)
{
  aText.resize(std::max(aText.size(), aWidth), ' ');
  return aText + "  ";
}

// The ids besides the subject, as "worker=w1", and the detail.
std::string
Rest(const observe::event& aEvent)
{
  std::string text;
  const auto add = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty() && aValue != SubjectOf(aEvent)) {
      text.append(aName).append("=").append(aValue).append(" ");
    }
  };
  add("job", aEvent.mJob);
  add("worker", aEvent.mWorker);
  add("target", aEvent.mTarget);
  if (!aEvent.mRequest.starts_with(aEvent.mOrganisation + "/")) {
    add("organisation", aEvent.mOrganisation);
  }
  return text + aEvent.mDetail;
}

} // namespace

std::string
FormatTime(std::int64_t aWallMs)
{
  const std::time_t whole = aWallMs / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&whole, &parts);
  constexpr std::size_t kRoom = 40;
  std::array<char, kRoom> text{};
  const std::size_t used =
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
  std::snprintf(text.data() + used,
                text.size() - used,
                ".%03d",
                static_cast<int>(aWallMs % kMsPerSecond));
  return text.data();
}

std::string
SubjectOf(const observe::event& aEvent)
{
  for (const std::string& id :
       { aEvent.mRequest, aEvent.mJob, aEvent.mWorker, aEvent.mTarget }) {
    if (!id.empty()) {
      return id;
    }
  }
  return {};
}

std::string
ToText(std::span<const observe::event_record> aRecords)
{
  std::size_t instances = 0;
  std::size_t kinds = 0;
  std::size_t subjects = 0;
  for (const auto& record : aRecords) {
    instances = std::max(instances, record.mInstance.size());
    kinds = std::max(kinds, record.mEvent.mKind.size());
    subjects = std::max(subjects, SubjectOf(record.mEvent).size());
  }
  std::string text;
  for (const auto& record : aRecords) {
    std::string line = FormatTime(record.mStamp.mWallMs) + "  ";
    line += Pad(record.mInstance, instances);
    line += Pad(record.mEvent.mKind, kinds);
    line += Pad(SubjectOf(record.mEvent), subjects);
    line += Rest(record.mEvent);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string
ToJsonLines(std::span<const observe::event_record> aRecords)
{
  std::string text;
  for (const auto& record : aRecords) {
    text += observe::ToJsonLine(record) + "\n";
  }
  return text;
}

} // namespace oriolewalk::shown
