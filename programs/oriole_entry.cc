// oriole-entry: takes the requests of callers, targets, workers and operators.

#include "oriolewalk/entry/entry_process.h"
#include "oriolewalk/observe/log.h"
#include "oriolewalk/settings/settings.h"

namespace {

using oriolewalk::entry::entry_settings;
using oriolewalk::settings::settings_parser;

void
Describe(settings_parser& aParser, entry_settings& aSettings)
{
  using std::chrono::milliseconds;
  constexpr milliseconds kMostNotice{ 600'000 };
  constexpr std::uint64_t kMostThreads = 64;
  constexpr std::uint64_t kMostConnections = 1024;
  aParser.Text("instance",
               aSettings.mInstance,
               "name",
               "this instance's name; no other entry may have it");
  aParser.Address(
    "listen", aSettings.mListen, "where callers and the balancer connect");
  aParser.Text("data-centre",
               aSettings.mDataCentre,
               "name",
               "the data centre of this instance");
  aParser.AddressList(
    "controls", aSettings.mControls, "the control processes of the cell");
  aParser.Text("event-file",
               aSettings.mEventFile,
               "file",
               "the time line's events; none if empty");
  aParser.Number("threads",
                 aSettings.mThreads,
                 { 1, kMostThreads },
                 "number",
                 "threads for traffic");
  aParser.Number("target-connections",
                 aSettings.mTargetConnections,
                 { 1, kMostConnections },
                 "connections",
                 "most that are kept to one target");
  aParser.Number("memory-mb",
                 aSettings.mMemoryMb,
                 { 32, 1'000'000 },
                 "megabytes",
                 "the memory that this process may use");
  aParser.Duration("balancer-notice",
                   aSettings.mBalancerNotice,
                   { milliseconds(0), kMostNotice },
                   "on a planned stop, from failing /healthz to refusing "
                   "connections");
  aParser.Duration("stop-bound",
                   aSettings.mStopBound,
                   { milliseconds(0), kMostNotice },
                   "on a planned stop, how long requests in progress may take");
  aParser.Require("instance");
  aParser.Require("listen");
  aParser.Require("data-centre");
  aParser.Require("controls");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  entry_settings chosen;
  settings_parser parser("oriole-entry",
                         "takes callers' requests and finds who serves them");
  Describe(parser, chosen);
  if (const auto code =
        oriolewalk::settings::RunParser(parser, aCount, aArguments)) {
    return *code;
  }
  oriolewalk::observe::SetUpLog("oriole-entry", chosen.mInstance);
  return oriolewalk::entry::RunEntry(chosen);
}
