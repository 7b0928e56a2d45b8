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
  parser.Text("output", aSettings.mOutput, "FILE", "none: standard output");
  parser.Operands(aSettings.mFiles,
                  1,
                  100'000,
                  "FILE… (a FILE.1 beside a FILE is read as well)");
  return parser;
}

bool
AddFile(const std::string& aPath, observe::timeline& aLine)
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

int
Run(timeline_settings& aSettings)
{
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
