#pragma once

// The control process: the core with its sockets, disk, clock and signals.
//
// Threads: the control thread (the io_context of Run) owns the core; the RPC
// node has its own; the storage thread syncs. Messages between them are plain
// values. Events that arrive together are handled together: one pump of
// effects, one append, one sync.

#include <memory>
#include <string>
#include <vector>

#include "oriolewalk/base/error.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::control {

struct control_settings
{
  std::string mCluster = "oriole";
  std::uint64_t mId = 0;
  settings::address mListen;
  std::string mDataCentre;
  std::vector<settings::peer> mPeers; // all control processes, this one too
  std::string mDataFolder;
  std::string mEventFile;
  settings::address mMetricsListen; // empty: no metrics are shown
  // Makes the data folder of a founder of a new cell, and ends.
  bool mInitialise = false;
  // The data folder was lost or is new in a cell that lives: no vote before
  // the leader has readmitted this node.
  bool mRejoin = false;
  std::uint64_t mSnapshotEvery = 50'000;
  // Connections and their messages get a part of it, and the machine's memory
  // where that is less.
  std::uint64_t mMemoryMb = 256;
};

// Makes the folder of a founder. Errors: Conflict, if it has data already.
result<void>
InitialiseFolder(const control_settings& aSettings);

// Runs until SIGTERM or SIGINT, or until the disk fails. Returns the exit code.
int
RunControl(const control_settings& aSettings);

} // namespace oriolewalk::control
