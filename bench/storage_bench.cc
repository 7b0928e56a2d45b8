// What it costs to make records durable, against bare appends with fdatasync
// of the same size on the same disk in the same run; and how long a restart
// takes.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include <unistd.h>

#include "bench/report.h"
#include "oriolewalk/storage/data_folder.h"
#include "oriolewalk/storage/file_system.h"
#include "oriolewalk/storage/records.h"

namespace oriolewalk::storage {
namespace {

using bench::bench_report;
using steady = std::chrono::steady_clock;
using microseconds_f = std::chrono::duration<double, std::micro>;

constexpr std::size_t kPayloadBytes = 256; // About a claim.
constexpr double kMicrosPerSecond = 1e6;

// A folder of its own that goes with the object.
class temporary_folder
{
public:
  temporary_folder()
    : mPath(std::filesystem::temp_directory_path() /
            ("oriole-bench-storage-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(mPath);
    std::filesystem::create_directories(mPath);
  }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  temporary_folder(temporary_folder&&) = delete;
  temporary_folder& operator=(temporary_folder&&) = delete;
  ~temporary_folder()
  {
    std::error_code ignored;
    std::filesystem::remove_all(mPath, ignored);
  }
  [[nodiscard]] std::string Path(std::string_view aName) const
  {
    return (mPath / aName).string();
  }

private:
  std::filesystem::path mPath;
};

std::vector<log_record>
Batch(std::uint64_t aFrom, std::size_t aCount)
{
  std::vector<log_record> records(aCount);
  for (auto& record : records) {
    record = { aFrom++, 1, 1, bytes(kPayloadBytes, 'x') };
  }
  return records;
}

double
MicrosOf(const std::function<void()>& aWork)
{
  const auto start = steady::now();
  aWork();
  return microseconds_f(steady::now() - start).count();
}

struct timing
{
  double mTotal = 0;
  double mP50 = 0;
  double mP99 = 0;
};

// In microseconds.
timing
Summarise(std::vector<double> aSpans)
{
  constexpr double kTail = 0.99;
  std::ranges::sort(aSpans);
  timing summary;
  for (const double span : aSpans) {
    summary.mTotal += span;
  }
  const auto count = static_cast<double>(aSpans.size());
  summary.mP50 = aSpans[aSpans.size() / 2];
  summary.mP99 = aSpans[static_cast<std::size_t>(count * kTail)];
  return summary;
}

// The folder and bare appends take turns, so that a slow moment of the disk
// hits both.
void
MeasureSync(bench_report& aReport, std::size_t aBatch, std::size_t aRounds)
{
  const temporary_folder place;
  posix_file_system files;
  auto opened =
    data_folder::Open(files, place.Path("data"), { "bench", 1 }, {});
  const auto raw = files.Create(place.Path("raw"));
  if (!opened || !raw) {
    return;
  }
  std::vector<double> ours;
  std::vector<double> bare;
  std::uint64_t next = 1;
  std::uint64_t offset = 0;
  bool failed = false;
  const std::string block(aBatch * kPayloadBytes, 'x');
  for (std::size_t round = 0; round < aRounds && !failed; ++round) {
    const auto records = Batch(next, aBatch);
    next += aBatch;
    ours.push_back(MicrosOf([&] {
      failed = !opened->mFolder->Append(records) || !opened->mFolder->Sync();
    }));
    bare.push_back(MicrosOf([&] {
      failed = !files.Write(*raw, offset, block) || !files.Sync(*raw) || failed;
    }));
    offset += block.size();
  }
  files.Close(*raw);
  if (failed) {
    return; // No figure is better than a wrong one.
  }
  const auto mine = Summarise(std::move(ours));
  const auto theirs = Summarise(std::move(bare));
  const auto count = static_cast<double>(aBatch * aRounds);
  const std::string name = "batch_" + std::to_string(aBatch);
  aReport.Add(
    name + "_records", count / mine.mTotal * kMicrosPerSecond, "records/s");
  aReport.Add(name + "_p50", mine.mP50, "us");
  aReport.Add(name + "_p99", mine.mP99, "us");
  aReport.Add(name + "_raw_p50", theirs.mP50, "us");
  aReport.Add(name + "_raw_p99", theirs.mP99, "us");
  aReport.Add(name + "_time_to_raw", mine.mTotal / theirs.mTotal, "ratio");
  aReport.Add(name + "_p99_to_raw_p99", mine.mP99 / theirs.mP99, "ratio");
}

void
MeasureRestart(bench_report& aReport, std::uint64_t aRecords)
{
  constexpr std::size_t kBatch = 1000;
  constexpr double kMicrosPerMilli = 1000;
  const temporary_folder place;
  posix_file_system files;
  const auto path = place.Path("data");
  const folder_identity identity{ "bench", 1 };
  {
    auto opened = data_folder::Open(files, path, identity, {});
    bool failed = !opened;
    for (std::uint64_t next = 1; !failed && next <= aRecords; next += kBatch) {
      failed = !opened->mFolder->Append(Batch(next, kBatch)) ||
               !opened->mFolder->Sync();
    }
    if (failed) {
      return;
    }
  }
  std::size_t found = 0;
  const auto micros = MicrosOf([&] {
    const auto opened = data_folder::Open(files, path, identity, {});
    found = opened ? opened->mState.mRecords.size() : 0;
  });
  if (found == aRecords) {
    aReport.Add(
      "restart_" + std::to_string(aRecords), micros / kMicrosPerMilli, "ms");
  }
}

void
Measure(bench_report& aReport)
{
  MeasureSync(aReport, 1, 1000);
  MeasureSync(aReport, 16, 500);
  MeasureSync(aReport, 128, 300);
  MeasureRestart(aReport, 10'000);
  MeasureRestart(aReport, 100'000);
}

const bench::registered_bench kBench("storage", Measure);

} // namespace
} // namespace oriolewalk::storage
