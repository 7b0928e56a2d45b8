// oriole-bench cell: measures the cost and quality of the cell's decisions at
// 50, 480 and 4,800 workers. All inputs are generated from fixed seeds. The
// waiting and urgent parts run in simulated time (a calendar of task ends);
// costs are measured in real time on the local machine.

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <malloc.h>

#include "bench/report.h"
#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/command.h"
#include "oriolewalk/cell/job.h"
#include "oriolewalk/cell/packing.h"
#include "oriolewalk/cell/policy.h"
#include "oriolewalk/cell/protocol.h"
#include "oriolewalk/cell/records.h"
#include "oriolewalk/cell/resources.h"
#include "oriolewalk/cell/scheduler.h"

namespace oriolewalk::bench {
namespace {

using namespace oriolewalk::cell; // NOLINT(google-build-using-namespace)

constexpr std::array<std::uint32_t, 3> kSizes{ 50, 480, 4800 };
constexpr std::uint32_t kTasksOfTarget = 17'000;
constexpr std::uint32_t kOrganisations = 690;
constexpr std::uint32_t kRackSize = 6;
constexpr std::int64_t kStartMs = 1'000'000;
constexpr std::uint64_t kSeed = 20'261'202;

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto at = std::min(
    aValues.size() - 1,
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size())));
  std::ranges::nth_element(aValues,
                           aValues.begin() + static_cast<std::ptrdiff_t>(at));
  return aValues[at];
}

// Workers have 32 processors and 64 or 128 GB; one in eight has accelerators.
resources
CapacityOf(std::uint32_t aAt)
{
  constexpr std::int64_t kSmallMb = 65'536;
  return { 32'000,
           aAt % 2 == 0 ? kSmallMb : 2 * kSmallMb,
           aAt % 8 == 7 ? 4 : 0 };
}

// Generates different shapes: most are small, some need much memory, some many
// processors and a few accelerators. The sizes don't divide a worker evenly.
job_spec
MakeJob(random_source& aRandom)
{
  job_spec spec;
  const std::uint64_t organisation = aRandom.Below(kOrganisations);
  spec.mOrganisation = organisation_id("o" + std::to_string(organisation));
  spec.mFamily = "f" + std::to_string(organisation % 7);
  const auto random = [&](std::int64_t aLow, std::int64_t aHigh) {
    return aLow + static_cast<std::int64_t>(
                    aRandom.Below(static_cast<std::uint64_t>(aHigh - aLow)));
  };
  const std::uint64_t shape = aRandom.Below(30);
  if (shape < 11) { // Memory-heavy.
    spec.mEach = { random(500, 3000), random(8000, 28'000), 0 };
  } else if (shape < 19) { // Processor-heavy.
    spec.mEach = { random(3000, 14'000), random(500, 6000), 0 };
  } else if (shape < 20) {
    spec.mEach = { random(1000, 6000), random(4000, 16'000), random(1, 3) };
  } else {
    spec.mEach = { random(250, 2500), random(256, 4000), 0 };
  }
  const std::uint64_t kind = aRandom.Below(10);
  spec.mClass = kind < 1   ? job_class::Urgent
                : kind < 6 ? job_class::Normal
                           : job_class::Heavy;
  spec.mExpectedMs = spec.mClass == job_class::Urgent ? random(500, 3000)
                     : spec.mClass == job_class::Normal
                       ? random(2000, 60'000)
                       : random(30'000, 600'000);
  spec.mRepeatable = aRandom.Below(2) == 0;
  spec.mCheckpointable = aRandom.Below(2) == 0;
  return spec;
}

// A cell that applies each command immediately.
class bench_cell
{
public:
  bench_cell(std::uint32_t aWorkers, const packing_policy& aPacking)
    : mScheduler(Options(aPacking), kSeed)
  {
    mScheduler.BecomeLeader(mState, Now());
    for (std::uint32_t at = 0; at < aWorkers; ++at) {
      const std::uint32_t rack = at / kRackSize;
      Do(register_worker{ worker_id("w" + std::to_string(at)),
                          boot_id("1"),
                          data_centre_id("d" + std::to_string(rack % 4)),
                          rack_id("r" + std::to_string(rack)),
                          CapacityOf(at) });
    }
  }

  static scheduler_options Options(const packing_policy& aPacking)
  {
    scheduler_options options;
    options.mPacking = aPacking;
    // No worker polls in this benchmark, so the leases must not expire.
    options.mLease = milliseconds(1'000'000'000);
    options.mQuiet = options.mLease;
    return options;
  }

  [[nodiscard]] instant Now() const
  {
    return { time_point(milliseconds(mMs)), kStartMs + mMs };
  }

  apply_outcome Do(const cell_command& aCommand)
  {
    auto outcome = mState.Apply(aCommand, Now().mWallMs);
    mScheduler.OnApplied(mState, aCommand, outcome, Now());
    return outcome;
  }

  job_number Submit(const job_spec& aSpec)
  {
    return Do(submit_job{ request_key(std::to_string(mKeys++)), aSpec })
      .mJob.value_or(job_number());
  }

  // Plans once; the commands are applied by the caller or by ApplyAll.
  std::vector<cell_command> Plan()
  {
    return mScheduler.Plan(mState, mPolicy, Now());
  }

  cell_state mState;
  cell_scheduler mScheduler;
  cell_policy mPolicy;
  std::int64_t mMs = 0;
  std::uint64_t mKeys = 0;
};

using wall = std::chrono::steady_clock;

double
MicrosSince(wall::time_point aStart)
{
  return std::chrono::duration<double, std::micro>(wall::now() - aStart)
    .count();
}

struct cost
{
  double mPlacementsPerSecond = 0;
  double mP50 = 0; // Per decision: submit, plan and apply one job, in us.
  double mP99 = 0;
  double mMicrosPerPlacement = 0;
  double mLoadedP99 = 0; // Per Plan with thousands of jobs waiting, in us.
};

std::size_t
CountStarts(const std::vector<cell_command>& aCommands)
{
  std::size_t count = 0;
  for (const cell_command& command : aCommands) {
    if (const auto* starts = std::get_if<start_tasks>(&command)) {
      count += starts->mPlacements.size();
    }
  }
  return count;
}

// Submits as many tasks as fit, then plans and applies until all of them run.
void
MeasureBulk(bench_cell& aCell, std::uint32_t aTasks, cost& aCost)
{
  random_source random(kSeed);
  for (std::uint32_t at = 0; at < aTasks; ++at) {
    aCell.Submit(MakeJob(random));
  }
  std::size_t placed = 0;
  std::vector<double> plans;
  const auto start = wall::now();
  for (;;) {
    const auto before = wall::now();
    const auto commands = aCell.Plan();
    plans.push_back(MicrosSince(before));
    const std::size_t starts = CountStarts(commands);
    for (const cell_command& command : commands) {
      aCell.Do(command);
    }
    placed += starts;
    if (starts == 0) {
      break;
    }
  }
  const double micros = MicrosSince(start);
  aCost.mPlacementsPerSecond = static_cast<double>(placed) * 1e6 / micros;
  aCost.mMicrosPerPlacement = micros / static_cast<double>(placed);
  aCost.mLoadedP99 = Quantile(plans, 0.99);
}

// Submits, plans and starts one job at a time on the loaded cell. A running job
// ends for each, so that the load stays constant.
void
MeasureSingles(bench_cell& aCell, cost& aCost)
{
  constexpr int kDecisions = 4000;
  random_source random(kSeed + 1);
  std::vector<double> micros;
  std::vector<job_number> running;
  for (const auto& [number, job] : aCell.mState.Jobs()) {
    if (job.State() == job_state::Running) {
      running.push_back(number);
    }
  }
  for (int at = 0; at < kDecisions && !running.empty(); ++at) {
    const std::size_t pick = random.Below(running.size());
    const task_id ending{ running[pick], 0 };
    const task_record& task = *aCell.mState.FindTask(ending);
    if (task.mState == task_state::Placed) {
      const worker_record& worker = aCell.mState.Workers()[task.mWorker];
      aCell.Do(task_ended{ ending,
                           task.mAttempt,
                           worker.mId,
                           worker.mBoot,
                           attempt_result::Succeeded });
    }
    running[pick] = running.back();
    running.pop_back();
    const job_number job = aCell.Submit(MakeJob(random));
    const auto start = wall::now();
    const auto commands = aCell.Plan();
    for (const cell_command& command : commands) {
      aCell.Do(command);
    }
    micros.push_back(MicrosSince(start));
    running.push_back(job);
    aCell.mMs += 1;
  }
  aCost.mP50 = Quantile(micros, 0.50);
  aCost.mP99 = Quantile(micros, 0.99);
}

cost
MeasureCost(std::uint32_t aWorkers, const packing_policy& aPacking)
{
  cost result;
  bench_cell cell(aWorkers, aPacking);
  const auto tasks = std::min<std::uint32_t>(
    kTasksOfTarget,
    std::max<std::uint32_t>(400, aWorkers * kTasksOfTarget / 4800));
  MeasureBulk(cell, tasks, result);
  MeasureSingles(cell, result);
  return result;
}

// Measures how full the cell gets and how much free capacity is unusable.
struct packing_result
{
  double mBindingUsed = 0; // Share of the fullest dimension.
  double mStranded = 0;    // Free processors on workers without free memory
                           // for the smallest common shape, and the reverse.
  std::array<double, kClassCount> mMeanWaitMs{};
  std::array<double, kClassCount> mP99WaitMs{};
};

struct fill_result
{
  double mBindingUsed = 0;
  double mStranded = 0;
};

double
Stranded(const cell_state& aState)
{
  constexpr resources kTypical{ 2000, 8000, 0 };
  resources free;
  resources usable;
  for (const worker_record& worker : aState.Workers()) {
    free += worker.Free();
    usable += kTypical * kTypical.TimesIn(worker.Free());
  }
  const resources lost = free - usable;
  const resources total = aState.TotalCapacity();
  return (static_cast<double>(lost.mMilliProcessors) /
            static_cast<double>(total.mMilliProcessors) +
          static_cast<double>(lost.mMemoryMb) /
            static_cast<double>(total.mMemoryMb)) /
         2;
}

// Jobs arrive one by one and stay; a job that doesn't fit on arrival is
// cancelled. Ends when the requests add up to the cell's capacity in one
// dimension.
fill_result
MeasureFill(std::uint32_t aWorkers,
            const packing_policy& aPacking,
            std::uint64_t aSeed)
{
  bench_cell cell(aWorkers, aPacking);
  random_source random(aSeed);
  resources asked;
  while (DominantShare(asked, cell.mState.TotalCapacity()) < 1.0) {
    job_spec spec = MakeJob(random);
    spec.mClass = job_class::Normal; // Causes no preemption.
    asked += spec.mEach;
    const job_number job = cell.Submit(spec);
    for (const cell_command& command : cell.Plan()) {
      cell.Do(command);
    }
    if (cell.mState.FindJob(job)->State() == job_state::Waiting) {
      cell.Do(cancel_job{ job });
      cell.mMs += 1000; // Lets its reservation expire.
      for (const cell_command& command : cell.Plan()) {
        cell.Do(command);
      }
    }
  }
  resources booked;
  for (const worker_record& worker : cell.mState.Workers()) {
    booked += worker.mBooked;
  }
  return { DominantShare(booked, cell.mState.TotalCapacity()),
           Stranded(cell.mState) };
}

// Jobs arrive at a constant rate of nine tenths of the cell's throughput. A
// calendar holds their ends. Each policy gets the same jobs.
class calendar
{
public:
  calendar(std::uint32_t aWorkers, const packing_policy& aPacking)
    : mCell(aWorkers, aPacking)
  {
  }

  packing_result Run(std::uint32_t aJobs,
                     std::int64_t aBetweenMs,
                     std::uint64_t aSeed)
  {
    random_source random(aSeed);
    std::int64_t nextJobMs = 0;
    std::uint32_t submitted = 0;
    double used = 0;
    double stranded = 0;
    int samples = 0;
    while (submitted < aJobs || !mEnds.empty()) {
      while (submitted < aJobs && nextJobMs <= mCell.mMs) {
        mCell.Submit(MakeJob(random));
        ++submitted;
        nextJobMs += aBetweenMs;
      }
      EndDue();
      PlanAll();
      const bool loaded = submitted > aJobs / 2 && submitted < aJobs;
      if (loaded && mCell.mMs % 1000 == 0) {
        used += DominantShare(Booked(), mCell.mState.TotalCapacity());
        stranded += Stranded(mCell.mState);
        ++samples;
      }
      mCell.mMs += kStepMs;
    }
    packing_result result = Waits();
    result.mBindingUsed = used / std::max(1, samples);
    result.mStranded = stranded / std::max(1, samples);
    return result;
  }

private:
  static constexpr std::int64_t kStepMs = 100;
  using end = std::pair<std::int64_t, std::pair<task_id, std::uint32_t>>;

  [[nodiscard]] resources Booked() const
  {
    resources booked;
    for (const worker_record& worker : mCell.mState.Workers()) {
      booked += worker.mBooked;
    }
    return booked;
  }

  void EndDue()
  {
    while (!mEnds.empty() && mEnds.top().first <= mCell.mMs) {
      const auto [task, attempt] = mEnds.top().second;
      mEnds.pop();
      const task_record& record = *mCell.mState.FindTask(task);
      if (record.mState == task_state::Placed && record.mAttempt == attempt) {
        EndOn(task, record, attempt_result::Succeeded);
      }
    }
  }

  void EndOn(const task_id& aTask,
             const task_record& aRecord,
             attempt_result aResult)
  {
    const worker_record& worker = mCell.mState.Workers()[aRecord.mWorker];
    mCell.Do(
      task_ended{ aTask, aRecord.mAttempt, worker.mId, worker.mBoot, aResult });
  }

  // Simulates a worker: a stop or checkpoint takes effect at its next poll.
  void ApplyStop(const stop_task& aStop)
  {
    const task_record& task = *mCell.mState.FindTask(aStop.mTask);
    if (task.mState != task_state::Placed || aStop.mMode != task.mStop) {
      return;
    }
    const worker_record& worker = mCell.mState.Workers()[task.mWorker];
    if (aStop.mMode == stop_mode::Checkpoint) {
      std::int64_t& left = Left(aStop.mTask);
      left = std::max<std::int64_t>(
        0, left - (mCell.Now().mWallMs - task.mPlacedMs));
    }
    if (aStop.mMode == stop_mode::Throttle) {
      mCell.Do(task_throttled{
        aStop.mTask, aStop.mAttempt, worker.mId, worker.mBoot });
      return;
    }
    EndOn(aStop.mTask,
          task,
          aStop.mMode == stop_mode::Checkpoint ? attempt_result::Checkpointed
                                               : attempt_result::Stopped);
  }

  void PlanAll()
  {
    for (const stop_task& stop : std::exchange(mStops, {})) {
      ApplyStop(stop);
    }
    for (const cell_command& command : mCell.Plan()) {
      mCell.Do(command);
      if (const auto* stop = std::get_if<stop_task>(&command)) {
        mStops.push_back(*stop);
      } else if (const auto* starts = std::get_if<start_tasks>(&command)) {
        for (const placement& each : starts->mPlacements) {
          NoteStart(each);
        }
      }
    }
  }

  void NoteStart(const placement& aPlacement)
  {
    const job_record& job = *mCell.mState.FindJob(aPlacement.mTask.mJob);
    mEnds.push({ mCell.mMs + Left(aPlacement.mTask),
                 { aPlacement.mTask, aPlacement.mAttempt } });
    if (aPlacement.mAttempt == 1) {
      mWaits.at(static_cast<std::size_t>(job.mSpec.mClass))
        .push_back(static_cast<double>(mCell.Now().mWallMs - job.mSubmittedMs));
    }
  }

  // Returns the remaining run time in ms; checkpoints preserve the progress.
  std::int64_t& Left(const task_id& aTask)
  {
    const auto whole = mCell.mState.FindJob(aTask.mJob)->mSpec.mExpectedMs;
    return mLeft.try_emplace(aTask, whole).first->second;
  }

  [[nodiscard]] packing_result Waits() const
  {
    packing_result result;
    for (std::size_t at = 0; at < kClassCount; ++at) {
      double sum = 0;
      for (const double each : mWaits.at(at)) {
        sum += each;
      }
      result.mMeanWaitMs.at(at) =
        sum /
        static_cast<double>(std::max<std::size_t>(1, mWaits.at(at).size()));
      result.mP99WaitMs.at(at) = Quantile(mWaits.at(at), 0.99);
    }
    return result;
  }

  bench_cell mCell;
  std::priority_queue<end, std::vector<end>, std::greater<>> mEnds;
  std::vector<stop_task> mStops;
  std::map<task_id, std::int64_t> mLeft;
  std::array<std::vector<double>, kClassCount> mWaits;
};

struct named_policy
{
  const char* mName;
  packing_policy mPolicy;
};

std::array<named_policy, 4>
Policies()
{
  return { named_policy{ "shaped", shaped_fit{} },
           named_policy{ "best", best_fit{} },
           named_policy{ "first", first_fit{} },
           named_policy{ "random", random_fit{} } };
}

void
Add(packing_result& aSum, const packing_result& aMore, double aShare)
{
  aSum.mBindingUsed += aMore.mBindingUsed * aShare;
  aSum.mStranded += aMore.mStranded * aShare;
  for (std::size_t at = 0; at < kClassCount; ++at) {
    aSum.mMeanWaitMs.at(at) += aMore.mMeanWaitMs.at(at) * aShare;
    aSum.mP99WaitMs.at(at) += aMore.mP99WaitMs.at(at) * aShare;
  }
}

void
ReportLoad(bench_report& aReport, const char* aName, const packing_result& aSum)
{
  const std::string prefix = std::string("cell.load.") + aName;
  aReport.Add(prefix + ".binding_used", aSum.mBindingUsed, "share");
  aReport.Add(prefix + ".stranded", aSum.mStranded, "share");
  for (std::uint8_t at = 0; at < kClassCount; ++at) {
    std::string name(ToString(static_cast<job_class>(at)));
    name.insert(0, prefix + ".wait_mean.");
    aReport.Add(name, aSum.mMeanWaitMs.at(at), "ms");
    name.replace(name.find("mean"), 4, "p99");
    aReport.Add(name, aSum.mP99WaitMs.at(at), "ms");
  }
}

void
ReportPacking(bench_report& aReport)
{
  constexpr std::uint32_t kWorkers = 50;
  constexpr std::uint32_t kJobs = 6000;
  constexpr std::int64_t kBetweenMs = 350;
  constexpr std::uint64_t kFills = 20;
  constexpr std::uint64_t kLoads = 10;
  for (const named_policy& each : Policies()) {
    double used = 0;
    double stranded = 0;
    for (std::uint64_t seed = 0; seed < kFills; ++seed) {
      const fill_result fill =
        MeasureFill(kWorkers, each.mPolicy, kSeed + seed);
      used += fill.mBindingUsed / static_cast<double>(kFills);
      stranded += fill.mStranded / static_cast<double>(kFills);
    }
    const std::string name = std::string("cell.fill.") + each.mName;
    aReport.Add(name + ".binding_used", used, "share");
    aReport.Add(name + ".stranded", stranded, "share");
  }
  for (const named_policy& each : Policies()) {
    packing_result sum;
    for (std::uint64_t seed = 0; seed < kLoads; ++seed) {
      Add(sum,
          calendar(kWorkers, each.mPolicy).Run(kJobs, kBetweenMs, kSeed + seed),
          1.0 / static_cast<double>(kLoads));
    }
    ReportLoad(aReport, each.mName, sum);
  }
}

// A burst of urgent jobs, one per worker, arrives at a cell on which batch work
// uses every processor. Workers report a stop one poll (1 s) after its commit,
// and start a task up to one poll after the commit of its placement.
class urgent_burst
{
public:
  explicit urgent_burst(std::uint32_t aWorkers)
    : mCell(aWorkers, shaped_fit{})
    , mLeft(aWorkers)
  {
  }

  void Run(bench_report& aReport)
  {
    constexpr std::int64_t kLimitMs = 60'000;
    const std::uint32_t workers = mLeft;
    Fill(workers);
    job_spec urgent = Batch();
    urgent.mOrganisation = organisation_id("live");
    urgent.mClass = job_class::Urgent;
    urgent.mEach = { 1000, 1000, 0 };
    for (std::uint32_t at = 0; at < workers; ++at) {
      mCell.Submit(urgent);
    }
    while (mLeft > 0 && mCell.mMs < kLimitMs) {
      EndStopped();
      // Plans again after each commit with changes, as a control process does.
      for (int round = 0; round < kRounds && PlanOnce(); ++round) {
      }
      mCell.mMs += kStepMs;
    }
    const std::string suffix = "." + std::to_string(workers);
    aReport.Add("cell.urgent_burst" + suffix, workers, "jobs");
    aReport.Add("cell.urgent_started" + suffix,
                static_cast<double>(mWaits.size()),
                "jobs");
    aReport.Add("cell.urgent_start_p50" + suffix, Quantile(mWaits, 0.5), "ms");
    aReport.Add("cell.urgent_start_max" + suffix, Quantile(mWaits, 1.0), "ms");
    aReport.Add("cell.urgent_plan_p99" + suffix, Quantile(mPlans, 0.99), "us");
  }

private:
  static constexpr std::int64_t kPollMs = 1000;
  static constexpr std::int64_t kStepMs = 100;
  static constexpr int kRounds = 10;

  static job_spec Batch()
  {
    job_spec batch;
    batch.mOrganisation = organisation_id("batch");
    batch.mClass = job_class::Heavy;
    batch.mEach = { 4000, 4000, 0 };
    batch.mExpectedMs = 3'600'000;
    batch.mRepeatable = true;
    return batch;
  }

  void Fill(std::uint32_t aWorkers)
  {
    constexpr std::uint32_t kTasksOfWorker = 8;
    random_source random(kSeed);
    job_spec batch = Batch();
    for (std::uint32_t at = 0; at < aWorkers * kTasksOfWorker; ++at) {
      batch.mCheckpointable = random.Below(2) == 0;
      mCell.Submit(batch);
    }
    for (auto commands = mCell.Plan(); CountStarts(commands) > 0;
         commands = mCell.Plan()) {
      for (const cell_command& command : commands) {
        mCell.Do(command);
      }
    }
  }

  void EndStopped()
  {
    for (const stop_task& stop : mStops[mCell.mMs]) {
      const task_record& task = *mCell.mState.FindTask(stop.mTask);
      if (task.mState != task_state::Placed) {
        continue;
      }
      const worker_record& worker = mCell.mState.Workers()[task.mWorker];
      const bool saves = stop.mMode == stop_mode::Checkpoint;
      mCell.Do(task_ended{ stop.mTask,
                           stop.mAttempt,
                           worker.mId,
                           worker.mBoot,
                           saves ? attempt_result::Checkpointed
                                 : attempt_result::Stopped });
    }
  }

  bool PlanOnce()
  {
    const auto before = wall::now();
    const auto commands = mCell.Plan();
    mPlans.push_back(MicrosSince(before));
    for (const cell_command& command : commands) {
      mCell.Do(command);
      if (const auto* stop = std::get_if<stop_task>(&command)) {
        mStops[mCell.mMs + kPollMs].push_back(*stop);
      } else if (const auto* starts = std::get_if<start_tasks>(&command)) {
        NoteStarts(*starts);
      }
    }
    return !commands.empty();
  }

  void NoteStarts(const start_tasks& aStarts)
  {
    for (const placement& each : aStarts.mPlacements) {
      const job_record& job = *mCell.mState.FindJob(each.mTask.mJob);
      if (job.mSpec.mClass == job_class::Urgent) {
        --mLeft;
        mWaits.push_back(static_cast<double>(mCell.Now().mWallMs + kPollMs -
                                             job.mSubmittedMs));
      }
    }
  }

  bench_cell mCell;
  std::uint32_t mLeft;
  std::vector<double> mWaits;
  std::vector<double> mPlans;
  std::map<std::int64_t, std::vector<stop_task>> mStops; // By end time, in ms.
};

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

void
ReportMemory(bench_report& aReport)
{
  const double before = HeapBytes();
  bench_cell cell(kSizes.back(), shaped_fit{});
  random_source random(kSeed);
  for (std::uint32_t at = 0; at < kTasksOfTarget; ++at) {
    cell.Submit(MakeJob(random));
  }
  for (auto commands = cell.Plan(); CountStarts(commands) > 0;
       commands = cell.Plan()) {
    for (const cell_command& command : commands) {
      cell.Do(command);
    }
  }
  constexpr double kMiB = 1024.0 * 1024.0;
  aReport.Add("cell.memory.4800", (HeapBytes() - before) / kMiB, "MiB");
  const auto start = wall::now();
  const bytes image = Encode(cell.mState);
  aReport.Add("cell.snapshot.4800", MicrosSince(start) / 1000, "ms");
  aReport.Add(
    "cell.snapshot_size.4800", static_cast<double>(image.size()) / kMiB, "MiB");
}

// Fits cost over workers by least squares and reports the largest residual.
void
ReportSlope(bench_report& aReport, const std::vector<double>& aMicros)
{
  const auto count = static_cast<double>(kSizes.size());
  double meanX = 0;
  double meanY = 0;
  for (std::size_t at = 0; at < kSizes.size(); ++at) {
    meanX += kSizes.at(at) / count;
    meanY += aMicros[at] / count;
  }
  double over = 0;
  double under = 0;
  for (std::size_t at = 0; at < kSizes.size(); ++at) {
    over += (kSizes.at(at) - meanX) * (aMicros[at] - meanY);
    under += (kSizes.at(at) - meanX) * (kSizes.at(at) - meanX);
  }
  const double slope = over / under;
  double residual = 0;
  for (std::size_t at = 0; at < kSizes.size(); ++at) {
    const double fitted = meanY + slope * (kSizes.at(at) - meanX);
    residual = std::max(residual, std::abs(aMicros[at] - fitted));
  }
  aReport.Add("cell.slope", slope * 1000, "us per 1000 workers");
  aReport.Add("cell.slope_intercept", meanY - slope * meanX, "us");
  aReport.Add("cell.slope_largest_residual", residual, "us");
  aReport.Add("cell.ratio_4800_to_480", aMicros[2] / aMicros[1], "times");
}

void
RunCell(bench_report& aReport)
{
  std::vector<double> micros;
  for (const std::uint32_t workers : kSizes) {
    const cost result = MeasureCost(workers, shaped_fit{});
    const std::string suffix = "." + std::to_string(workers);
    aReport.Add("cell.placements" + suffix, result.mPlacementsPerSecond, "/s");
    aReport.Add("cell.decision_p50" + suffix, result.mP50, "us");
    aReport.Add("cell.decision_p99" + suffix, result.mP99, "us");
    aReport.Add("cell.plan_loaded_p99" + suffix, result.mLoadedP99, "us");
    micros.push_back(result.mMicrosPerPlacement);
  }
  ReportSlope(aReport, micros);
  for (const std::uint32_t workers : kSizes) {
    urgent_burst(workers).Run(aReport);
  }
  ReportMemory(aReport);
  ReportPacking(aReport);
}

const registered_bench kBench("cell", RunCell);

} // namespace
} // namespace oriolewalk::bench
