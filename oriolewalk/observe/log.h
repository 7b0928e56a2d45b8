#pragma once

// Log lines for changes of state only; what happens often is counted
// (metrics.h) or stands in the time line (event_log.h).
//
//   SetUpLog("oriole-entry", "e1");
//   Log(log_level::Info, "leader changed", {{"leader", "2"}, {"term", "7"}});
//
// writes to standard error:
//
//   2026-12-02T20:15:01.123Z info oriole-entry e1 event="leader changed"
//   leader=2 term=7                             (as one line)

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace oriolewalk::observe {

enum class log_level : std::uint8_t
{
  Info,
  Warning,
  Error,
};

struct log_field
{
  std::string_view mName;
  std::string mValue;
};

// Once, from main(), before threads start.
void
SetUpLog(const std::string& aProcess, const std::string& aInstance);

// Any thread. Values with spaces, quotes or controls are quoted and escaped,
// so that a caller's bytes can't make a second line.
void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields = {});

// The line's text after the level: pure, for tests.
std::string
FormatLogLine(std::string_view aEvent,
              std::initializer_list<log_field> aFields);

} // namespace oriolewalk::observe
