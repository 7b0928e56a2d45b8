#include "oriolewalk/observe/log.h"

#include <algorithm>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include <spdlog/common.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace oriolewalk::observe {

namespace {

bool
IsPlain(char aLetter)
{
  return aLetter > ' ' && aLetter != '"' && aLetter != '\\' && aLetter != '=' &&
         aLetter != '\x7f';
}

std::string
Quote(std::string_view aValue)
{
  if (!aValue.empty() && std::ranges::all_of(aValue, IsPlain)) {
    return std::string(aValue);
  }
  std::string text = "\"";
  for (const char letter : aValue) {
    const bool control = static_cast<unsigned char>(letter) < ' ';
    if (letter == '"' || letter == '\\') {
      text += '\\';
    }
    text += control ? '?' : letter;
  }
  return text + '"';
}

spdlog::level::level_enum
ToSpdlog(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Info:
      return spdlog::level::info;
    case log_level::Warning:
      return spdlog::level::warn;
    case log_level::Error:
      break;
  }
  return spdlog::level::err;
}

} // namespace

void
SetUpLog(const std::string& aProcess, const std::string& aInstance)
{
  auto logger = std::make_shared<spdlog::logger>(
    "oriolewalk", std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l " + aProcess + " " + aInstance +
                        " %v",
                      spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
}

void
Log(log_level aLevel,
    std::string_view aEvent,
    std::initializer_list<log_field> aFields)
{
  spdlog::default_logger_raw()->log(ToSpdlog(aLevel),
                                    FormatLogLine(aEvent, aFields));
}

std::string
FormatLogLine(std::string_view aEvent, std::initializer_list<log_field> aFields)
{
  std::string line = "event=" + Quote(aEvent);
  for (const log_field& field : aFields) {
    line += ' ';
    line += field.mName;
    line += '=';
    line += Quote(field.mValue);
  }
  return line;
}

} // namespace oriolewalk::observe
