#pragma once

// The forms in which oriole-timeline shows events.

#include <cstdint>
#include <span>
#include <string>

#include "oriolewalk/observe/event.h"

namespace oriolewalk::shown {

// "2026-12-02 20:15:01.123".
std::string
FormatTime(std::int64_t aWallMs);

// What the event is about: the request, else the job, and so on; may be empty.
std::string
SubjectOf(const observe::event& aEvent);

// One line an event, in columns.
std::string
ToText(std::span<const observe::event_record> aRecords);

// The events' own JSON lines.
std::string
ToJsonLines(std::span<const observe::event_record> aRecords);

// A page that needs nothing else: a column for each instance, time running
// down, and a line that follows each request or job from one to the next.
// aNotes is shown above (lost events and such).
std::string
ToHtml(std::span<const observe::event_record> aRecords,
       const std::string& aNotes);

} // namespace oriolewalk::shown
