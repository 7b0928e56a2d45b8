#pragma once

// An event of the time line, and its JSON line.

#include <cstdint>
#include <string>
#include <string_view>

#include "oriolewalk/base/error.h"
#include "oriolewalk/observe/hybrid_clock.h"

namespace oriolewalk::observe {

// What happened, to whom. Empty fields are left out of the line. The braces let
// a writer name only some fields without a compiler warning.
struct event
{
  std::string mKind{};    // as "claimed"; few, fixed words
  std::string mRequest{}; // ORGANISATION/KEY
  std::string mJob{};     // job or task
  std::string mWorker{};
  std::string mTarget{};
  std::string mOrganisation{};
  std::string mDetail{}; // for a person
};

// An event as it stands in a file.
struct event_record
{
  std::string mProcess;        // the program, as "oriole-entry"
  std::string mInstance;       // which of its instances, as "e1"
  std::uint64_t mSequence = 0; // rises by one an event; a gap is a loss
  stamp mStamp;
  event mEvent;
};

// One line without its end.
std::string
ToJsonLine(const event_record& aRecord);

// Errors: Corrupt, if the line is no event (a torn line, say).
result<event_record>
ParseJsonLine(std::string_view aLine);

} // namespace oriolewalk::observe
