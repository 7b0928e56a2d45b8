#include "programs/oriolectl.h"

#include <array>
#include <cstdio>
#include <span>
#include <string>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/verify.h"

namespace oriolewalk::ctl {

namespace {

boost::json::object
ToJson(const storage::verify_report& aReport)
{
  boost::json::array findings;
  for (const storage::verify_finding& one : aReport.mFindings) {
    findings.push_back(boost::json::object{ { "file", one.mFile },
                                            { "offset", one.mOffset },
                                            { "message", one.mMessage },
                                            { "damage", one.mDamage } });
  }
  return { { "sound", aReport.Sound() },
           { "segments", aReport.mSegments },
           { "blocks", aReport.mBlocks },
           { "bytes", aReport.mBytes },
           { "snapshot_index", aReport.mSnapshotIndex.value_or(0) },
           { "first_index", aReport.mFirstIndex },
           { "last_index", aReport.mLastIndex },
           { "findings", findings } };
}

// Reads files only; no entry is asked.
int
VerifyFolder(options& aOptions)
{
  storage::posix_file_system files;
  const auto report = storage::Verify(files, aOptions.mOperands.front());
  if (!report) {
    std::fprintf(stderr, "failed: %s\n", report.error().Describe().c_str());
    return kExitRefused;
  }
  if (aOptions.mJson) {
    std::printf("%s\n", boost::json::serialize(ToJson(*report)).c_str());
  } else {
    std::fputs(report->ToText().c_str(), stdout);
  }
  return report->Sound() ? kExitDone : kExitRefused;
}

} // namespace

std::span<const command>
StorageCommands()
{
  static const std::array sCommands{
    command{ "storage verify",
             "FOLDER",
             1,
             1,
             "checks a data folder without changing it",
             nullptr,
             VerifyFolder },
  };
  return sCommands;
}

} // namespace oriolewalk::ctl
