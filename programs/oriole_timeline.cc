// oriole-timeline FILE…: merges the event files of all processes into one
// order and shows all events, or those of one request, job, worker or
// organisation.

#include "programs/oriole_timeline.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>
#include <vector>

#include "oriolewalk/observe/decision_timeline.h"
#include "oriolewalk/observe/event.h"
#include "oriolewalk/observe/timeline.h"
#include "oriolewalk/settings/settings.h"

namespace oriolewalk::shown {

namespace {

constexpr int kExitFailed = 1;

struct timeline_settings
{
  std::vector<std::string> mFiles;
  observe::event_filter mFilter;
  std::uint64_t mFromMs = 0;
  std::uint64_t mToMs = 0;
  std::string mFormat = "text";
  std::string mOutput;
  std::string mWhy; // a job of the workflow rooms
};

settings::settings_parser
MakeParser(timeline_settings& aSettings)
{
  settings::settings_parser parser(
    "oriole-timeline", "merges event files of all processes into one order");
  observe::event_filter& filter = aSettings.mFilter;
  parser.Text("request",
              filter.mRequest,
              "[ORGANISATION/]KEY",
              "only what befell this request");
  parser.Text("job", filter.mJob, "JOB[/TASK]", "only this job, or one task");
  parser.Text("worker", filter.mWorker, "ID", "only what names this worker");
  parser.Text("target", filter.mTarget, "ID", "only what names this target");
  parser.Text(
    "organisation", filter.mOrganisation, "ID", "only this organisation");
  parser.Number("from-ms",
                aSettings.mFromMs,
                { 0, INT64_MAX },
                "ms since 1970",
                "nothing before; 0: from the start");
  parser.Number("to-ms",
                aSettings.mToMs,
                { 0, INT64_MAX },
                "ms since 1970",
                "nothing after; 0: to the end");
  parser.Choice("format",
                aSettings.mFormat,
                { "text", "json", "html" },
                "how to show them");
  parser.Text("why",
              aSettings.mWhy,
              "JOB",
              "the FILEs are decision logs (standard output of processes on "
              "the platform): this job's lines and where its time went");
  parser.Text("output", aSettings.mOutput, "FILE", "none: standard output");
  parser.Operands(aSettings.mFiles,
                  1,
                  100'000,
                  "FILE… (a FILE.1 beside a FILE is read as well)");
  return parser;
}

// aLine: a timeline of events, or of decisions.
template<class Line>
bool
AddFile(const std::string& aPath, Line& aLine)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return false;
  }
  aLine.Add(std::string{ std::istreambuf_iterator<char>(file), {} });
  return true;
}

bool
AddFiles(const std::vector<std::string>& aPaths, observe::timeline& aLine)
{
  for (const std::string& path : aPaths) {
    const std::string older = path + ".1";
    const bool listed = std::ranges::find(aPaths, older) != aPaths.end();
    std::error_code ignored;
    if (!listed && std::filesystem::exists(older, ignored)) {
      AddFile(older, aLine);
    }
    if (!AddFile(path, aLine)) {
      std::fprintf(stderr, "oriole-timeline: can't read '%s'\n", path.c_str());
      return false;
    }
  }
  return true;
}

std::string
Notes(const observe::timeline& aLine)
{
  std::string notes;
  for (const observe::event_gap& gap : aLine.Gaps()) {
    notes += gap.mInstance + ": " + std::to_string(gap.mMissing) +
             " events are missing after number " + std::to_string(gap.mAfter) +
             "\n";
  }
  if (aLine.BadLines() > 0) {
    notes += std::to_string(aLine.BadLines()) + " lines are no events\n";
  }
  return notes;
}

std::string
Render(const timeline_settings& aSettings,
       const std::vector<observe::event_record>& aRecords,
       const std::string& aNotes)
{
  if (aSettings.mFormat == "html") {
    return ToHtml(aRecords, aNotes);
  }
  return aSettings.mFormat == "json" ? ToJsonLines(aRecords) : ToText(aRecords);
}

bool
WriteOutput(const std::string& aPath, const std::string& aText)
{
  if (aPath.empty()) {
    return std::fwrite(aText.data(), 1, aText.size(), stdout) == aText.size();
  }
  std::ofstream file(aPath, std::ios::binary | std::ios::trunc);
  file << aText;
  file.close();
  if (!file) {
    std::fprintf(stderr, "oriole-timeline: can't write '%s'\n", aPath.c_str());
  }
  return static_cast<bool>(file);
}

std::string
WhyText(const observe::decision_timeline& aLine, const std::string& aJob)
{
  std::string text;
  const auto lines = aLine.OfJob(aJob);
  for (const observe::logged_decision& one : lines) {
    text += FormatTime(one.mMs) + "  +" +
            std::to_string(one.mMs - lines.front().mMs) + " ms  " + one.mNode +
            "  " + one.mEvent;
    for (const auto& [name, value] : one.mFields) {
      text.append(" ").append(name).append("=").append(value);
    }
    text += "\n";
  }
  const observe::job_account account = aLine.Account(aJob);
  text += "\n" +
          (account.mState.empty() ? "not ended by these logs"
                                  : "ended as " + account.mState) +
          " after " + std::to_string(account.mWholeMs) + " ms; " +
          std::to_string(account.mRetries) + " runs were started again, " +
          std::to_string(account.mLeaders) + " leaders took over meanwhile\n";
  for (const auto& part : account.mParts) {
    text += std::to_string(part.mMs) + " ms: " + part.mWhat + "\n";
  }
  return text;
}

int
RunWhy(const timeline_settings& aSettings)
{
  observe::decision_timeline line;
  for (const std::string& path : aSettings.mFiles) {
    if (!AddFile(path, line)) {
      std::fprintf(stderr, "oriole-timeline: can't read '%s'\n", path.c_str());
      return kExitFailed;
    }
  }
  if (line.OfJob(aSettings.mWhy).empty()) {
    std::fputs("oriole-timeline: no line names this job\n", stderr);
    return kExitFailed;
  }
  return WriteOutput(aSettings.mOutput, WhyText(line, aSettings.mWhy))
           ? settings::kExitDone
           : kExitFailed;
}

int
Run(timeline_settings& aSettings)
{
  if (!aSettings.mWhy.empty()) {
    return RunWhy(aSettings);
  }
  if (aSettings.mFromMs > 0) {
    aSettings.mFilter.mFromMs = static_cast<std::int64_t>(aSettings.mFromMs);
  }
  if (aSettings.mToMs > 0) {
    aSettings.mFilter.mToMs = static_cast<std::int64_t>(aSettings.mToMs);
  }
  observe::timeline line;
  if (!AddFiles(aSettings.mFiles, line)) {
    return kExitFailed;
  }
  const auto records = line.Select(aSettings.mFilter);
  const std::string notes = Notes(line);
  std::fputs(notes.c_str(), stderr);
  if (records.empty()) {
    std::fputs("oriole-timeline: no event matches\n", stderr);
    return kExitFailed;
  }
  return WriteOutput(aSettings.mOutput, Render(aSettings, records, notes))
           ? settings::kExitDone
           : kExitFailed;
}

} // namespace

} // namespace oriolewalk::shown

int
main(int aCount, char** aArguments)
{
  using namespace oriolewalk;
  shown::timeline_settings given;
  settings::settings_parser parser = shown::MakeParser(given);
  if (const auto code = settings::RunParser(parser, aCount, aArguments)) {
    return *code;
  }
  return shown::Run(given);
}
