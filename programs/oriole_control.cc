// oriole-control: one of the processes that share the durable state.

#include <cstdio>
#include <string>
#include <vector>

#include "oriolewalk/control/control_process.h"
#include "oriolewalk/observe/log.h"
#include "oriolewalk/settings/settings.h"

namespace {

using oriolewalk::control::control_settings;
namespace settings = oriolewalk::settings;

void
Describe(settings::settings_parser& aParser, control_settings& aSettings)
{
  aParser.Text("cluster",
               aSettings.mCluster,
               "name",
               "the cell's name; a data folder of another cell is refused");
  aParser.Number("id",
                 aSettings.mId,
                 { 1, 1'000'000 },
                 "number",
                 "this process's number among the peers");
  aParser.Address("listen", aSettings.mListen, "where peers and entries call");
  aParser.Text("data-centre",
               aSettings.mDataCentre,
               "name",
               "the data centre of this instance");
  aParser.PeerList("peers",
                   aSettings.mPeers,
                   "all control processes of the cell, this one among them");
  aParser.Text("data-folder",
               aSettings.mDataFolder,
               "folder",
               "where the durable state lives");
  aParser.Text("event-file",
               aSettings.mEventFile,
               "file",
               "the time line's events; none if empty");
  aParser.Address("metrics-listen",
                  aSettings.mMetricsListen,
                  "where /metrics and /healthz are shown; nowhere if empty");
  aParser.Number("memory-mb",
                 aSettings.mMemoryMb,
                 { 32, 1'000'000 },
                 "megabytes",
                 "the memory that this process may use");
  aParser.Number("snapshot-every",
                 aSettings.mSnapshotEvery,
                 { 100, 10'000'000 },
                 "entries",
                 "log entries from one snapshot to the next");
  aParser.Switch("initialise",
                 aSettings.mInitialise,
                 "make the data folder of a founder of a new cell, and end");
  aParser.Switch("rejoin",
                 aSettings.mRejoin,
                 "the disk was lost or is new: no vote until readmitted");
  aParser.Require("id");
  aParser.Require("listen");
  aParser.Require("data-centre");
  aParser.Require("peers");
  aParser.Require("data-folder");
  aParser.Check([&aSettings]() {
    return settings::SelfProblem(
      aSettings.mPeers, aSettings.mId, aSettings.mListen);
  });
  aParser.Check([&aSettings]() {
    return settings::FolderProblem("data-folder", aSettings.mDataFolder);
  });
}

int
Initialise(const control_settings& aSettings)
{
  const auto made = oriolewalk::control::InitialiseFolder(aSettings);
  if (!made) {
    std::fprintf(
      stderr, "oriole-control: %s\n", made.error().Describe().c_str());
    return 1;
  }
  std::printf("initialised %s\n", aSettings.mDataFolder.c_str());
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  control_settings chosen;
  settings::settings_parser parser(
    "oriole-control", "keeps the shared state of a cell and decides for it");
  Describe(parser, chosen);
  if (const auto code = settings::RunParser(parser, aCount, aArguments)) {
    return *code;
  }
  if (chosen.mInitialise) {
    return Initialise(chosen);
  }
  oriolewalk::observe::SetUpLog("oriole-control",
                                "c" + std::to_string(chosen.mId));
  return oriolewalk::control::RunControl(chosen);
}
