// oriole-bench capacity: what each part of a control process costs as it
// grows, as slopes over at least three sizes with the largest residual of the
// fit. docs/CAPACITY.md works the target's figures out of these.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <functional>
#include <future>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <malloc.h>

#include "bench/report.h"
#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/codec.h"
#include "oriolewalk/cell/cell_state.h"
#include "oriolewalk/cell/scheduler.h"
#include "oriolewalk/control/replicated_state.h"
#include "oriolewalk/ledger/request_ledger.h"
#include "oriolewalk/protocol/messages.h"
#include "oriolewalk/protocol/policy_map.h"
#include "oriolewalk/weights/weights_table.h"
#include "oriolewalk/wire/rpc_node.h"

namespace oriolewalk::bench {
namespace {

constexpr std::int64_t kWallMs = 1'700'000'000'000;
constexpr double kTasksPerWorker = 17'000.0 / 4'800.0;

struct sample
{
  double mSize = 0;
  double mCost = 0;
};

// Least squares; the residual is the largest distance of a sample from the
// line, as a share of that sample.
struct line_fit
{
  double mSlope = 0;
  double mAtZero = 0;
  double mResidual = 0;
};

line_fit
Fit(std::span<const sample> aSamples)
{
  const auto count = static_cast<double>(aSamples.size());
  double meanSize = 0;
  double meanCost = 0;
  for (const sample& one : aSamples) {
    meanSize += one.mSize / count;
    meanCost += one.mCost / count;
  }
  double over = 0;
  double under = 0;
  for (const sample& one : aSamples) {
    over += (one.mSize - meanSize) * (one.mCost - meanCost);
    under += (one.mSize - meanSize) * (one.mSize - meanSize);
  }
  line_fit fit;
  fit.mSlope = over / under;
  fit.mAtZero = meanCost - fit.mSlope * meanSize;
  for (const sample& one : aSamples) {
    const double fitted = fit.mAtZero + fit.mSlope * one.mSize;
    fit.mResidual =
      std::max(fit.mResidual, std::abs(fitted - one.mCost) / one.mCost);
  }
  return fit;
}

void
AddFit(bench_report& aReport,
       const std::string& aName,
       std::span<const sample> aSamples,
       const std::string& aUnit)
{
  for (const sample& one : aSamples) {
    aReport.Add("capacity." + aName + "_at_" +
                  std::to_string(static_cast<std::uint64_t>(one.mSize)),
                one.mCost,
                aUnit);
  }
  const line_fit fit = Fit(aSamples);
  aReport.Add("capacity." + aName + "_slope", fit.mSlope, aUnit + "/unit");
  aReport.Add("capacity." + aName + "_at_zero", fit.mAtZero, aUnit);
  aReport.Add("capacity." + aName + "_residual", fit.mResidual, "share");
}

double
HeapBytes()
{
  const auto heap = mallinfo2();
  return static_cast<double>(heap.uordblks + heap.hblkhd);
}

// Processor time of this thread: what others do on the machine doesn't count.
time_point
ProcessorTime()
{
  constexpr std::int64_t kNanosPerSecond = 1'000'000'000;
  timespec value{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
  return time_point(duration(value.tv_sec * kNanosPerSecond + value.tv_nsec));
}

double
Microseconds(duration aDuration)
{
  return std::chrono::duration<double, std::micro>(aDuration).count();
}

worker_id
Worker(std::size_t aNumber)
{
  return worker_id("worker-" + std::to_string(aNumber));
}

// A cell of that many workers, each with its share of the 17,000 tasks.
struct loaded_cell
{
  explicit loaded_cell(std::size_t aWorkers)
  {
    constexpr std::size_t kRackSize = 8;
    constexpr std::size_t kDataCentres = 14;
    constexpr std::size_t kOrganisations = 690;
    for (std::size_t worker = 0; worker < aWorkers; ++worker) {
      mState.Apply(
        cell::register_worker{
          Worker(worker),
          cell::boot_id("1"),
          data_centre_id("dc" + std::to_string(worker % kDataCentres)),
          rack_id("r" + std::to_string(worker / kRackSize)),
          { 32'000, 65'536, 0 } },
        kWallMs);
    }
    const auto tasks =
      static_cast<std::size_t>(static_cast<double>(aWorkers) * kTasksPerWorker);
    for (std::size_t task = 0; task < tasks; ++task) {
      cell::job_spec spec;
      spec.mOrganisation =
        organisation_id("team-" + std::to_string(task % kOrganisations));
      spec.mEach = { 4'000, 8'192, 0 };
      spec.mExpectedMs = 60'000;
      spec.mFamily = "family-" + std::to_string(task % 100);
      const auto outcome = mState.Apply(
        cell::submit_job{ request_key("key-" + std::to_string(task)), spec },
        kWallMs);
      if (outcome.mJob) {
        mState.Apply(cell::start_tasks{ { { { *outcome.mJob, 0 },
                                            1,
                                            Worker(task % aWorkers),
                                            cell::boot_id("1") } } },
                     kWallMs);
      }
    }
  }

  cell::cell_state mState;
};

constexpr std::array<std::size_t, 4> kWorkerCounts = { 480, 1200, 2400, 4800 };

protocol::worker_poll
PollOf(const cell::cell_state& aState, std::size_t aWorker)
{
  protocol::worker_poll poll;
  poll.mWorker = Worker(aWorker);
  poll.mWaitMs = 1000;
  poll.mPoll.mBoot = cell::boot_id("1");
  for (const cell::task_id& task : aState.FindWorker(Worker(aWorker))->mTasks) {
    poll.mPoll.mRunning.push_back({ task, 1, { 3'900, 8'000, 0 }, {} });
  }
  return poll;
}

// Decoding, the scheduler's part and encoding of each worker's poll, once.
double
PollMicroseconds(const cell::cell_state& aState, std::size_t aWorkers)
{
  cell::cell_scheduler scheduler({}, 1);
  cell::instant now{ time_point(seconds(100)), kWallMs };
  scheduler.BecomeLeader(aState, now);
  std::vector<bytes> polls;
  for (std::size_t worker = 0; worker < aWorkers; ++worker) {
    polls.push_back(Encode(protocol::request{ {}, PollOf(aState, worker) }));
  }
  const time_point start = ProcessorTime();
  for (const bytes& text : polls) {
    const auto request = Decode<protocol::request>(text, "poll");
    const auto& poll = std::get<protocol::worker_poll>(request->mBody);
    cell::worker_reply reply =
      scheduler.Poll(aState, poll.mWorker, poll.mPoll, now);
    const bytes answer = Encode(protocol::answer{
      {}, protocol::worker_answer{ 8000, false, std::move(reply.mCommands) } });
    if (answer.empty()) {
      return 0;
    }
  }
  return Microseconds(ProcessorTime() - start) / static_cast<double>(aWorkers);
}

void
MeasureCell(bench_report& aReport)
{
  std::vector<sample> memory;
  std::vector<sample> snapshot;
  std::vector<sample> poll;
  double pollBytes = 0;
  for (const std::size_t workers : kWorkerCounts) {
    const auto size = static_cast<double>(workers);
    const double before = HeapBytes();
    const loaded_cell loaded(workers);
    memory.push_back({ size, HeapBytes() - before });
    snapshot.push_back(
      { size, static_cast<double>(Encode(loaded.mState).size()) });
    poll.push_back({ size, PollMicroseconds(loaded.mState, workers) });
    pollBytes = static_cast<double>(
      Encode(protocol::request{ {}, PollOf(loaded.mState, 0) }).size());
  }
  AddFit(aReport, "cell_memory_per_worker", memory, "bytes");
  AddFit(aReport, "cell_snapshot_per_worker", snapshot, "bytes");
  AddFit(aReport, "poll_cost_by_workers", poll, "us");
  aReport.Add("capacity.poll_message", pollBytes, "bytes");
}

ledger::claim
Claim(std::size_t aNumber)
{
  ledger::claim claim;
  claim.mRef = { organisation_id("team-" + std::to_string(aNumber % 690)),
                 request_key("request-key-" + std::to_string(aNumber)) };
  claim.mFingerprint = aNumber;
  claim.mToken = aNumber + 1;
  claim.mPlacement = { { instance_id("e1"), 1 },
                       service_id("payments"),
                       target_id("target-17"),
                       "10.0.0.17:9001" };
  return claim;
}

ledger::finish
Finish(std::size_t aNumber)
{
  ledger::finish finish;
  finish.mRef = Claim(aNumber).mRef;
  finish.mToken = aNumber + 1;
  finish.mResult = ledger::attempt_result::Answered;
  finish.mStatus = 200;
  return finish;
}

void
MeasureLedger(bench_report& aReport)
{
  constexpr std::array<std::size_t, 4> kSizes = {
    25'000, 50'000, 100'000, 200'000
  };
  std::vector<sample> memory;
  std::vector<sample> apply;
  for (const std::size_t size : kSizes) {
    std::vector<bytes> commands;
    commands.reserve(2 * size);
    for (std::size_t number = 0; number < size; ++number) {
      commands.push_back(Encode(
        control::command{ kWallMs, ledger::ledger_command(Claim(number)) }));
      commands.push_back(Encode(
        control::command{ kWallMs, ledger::ledger_command(Finish(number)) }));
    }
    const double before = HeapBytes();
    control::replicated_state state;
    const time_point start = ProcessorTime();
    for (const bytes& text : commands) {
      if (const auto one = Decode<control::command>(text, "apply")) {
        state.Apply(*one);
      }
    }
    const double took = Microseconds(ProcessorTime() - start);
    const auto count = static_cast<double>(size);
    memory.push_back({ count, HeapBytes() - before });
    apply.push_back({ count, took });
  }
  AddFit(aReport, "ledger_memory_per_request", memory, "bytes");
  AddFit(aReport, "apply_per_request", apply, "us");
  aReport.Add(
    "capacity.claim_command",
    static_cast<double>(
      Encode(control::command{ kWallMs, ledger::ledger_command(Claim(1)) })
        .size()),
    "bytes");
}

std::string
Table(std::size_t aRows)
{
  std::string csv = weights::weights_table::BuiltIn().ToCsv();
  for (std::size_t row = 0; row < aRows; ++row) {
    csv += "team-" + std::to_string(row) + ",*," +
           std::to_string(1 + row % 1000) + ",,,,,,,,\n";
  }
  return csv;
}

// What one change costs a process: reading the table and making the policies.
void
MeasureWeights(bench_report& aReport)
{
  constexpr std::array<std::size_t, 4> kRows = { 100, 345, 690, 1380 };
  std::vector<sample> cost;
  std::vector<sample> length;
  for (const std::size_t rows : kRows) {
    const std::string csv = Table(rows);
    constexpr int kTimes = 20;
    const time_point start = ProcessorTime();
    for (int time = 0; time < kTimes; ++time) {
      const auto table = weights::weights_table::Parse(csv);
      if (!table) {
        return;
      }
      const auto shares = protocol::SharePolicy(*table);
      const auto cellPolicy = protocol::CellPolicy(*table, 1);
    }
    const auto size = static_cast<double>(rows);
    cost.push_back({ size, Microseconds(ProcessorTime() - start) / kTimes });
    length.push_back({ size, static_cast<double>(csv.size()) });
  }
  AddFit(aReport, "weights_change_by_rows", cost, "us");
  AddFit(aReport, "weights_table_by_rows", length, "bytes");
}

void
MeasureMessages(bench_report& aReport)
{
  protocol::heartbeat beat;
  beat.mOwner = { instance_id("entry-1"), 1'700'000'000'000 };
  beat.mAddress = "10.0.0.1:8080";
  beat.mDataCentre = data_centre_id("dc1");
  aReport.Add("capacity.heartbeat_message",
              static_cast<double>(Encode(protocol::request{ {}, beat }).size()),
              "bytes");
  const protocol::target_announcement target{ target_id("target-17"),
                                              service_id("payments"),
                                              "10.0.0.17:9001",
                                              data_centre_id("dc1"),
                                              8,
                                              60 };
  aReport.Add(
    "capacity.target_message",
    static_cast<double>(Encode(protocol::request{ {}, target }).size()),
    "bytes");
}

double
ProcessMicroseconds()
{
  constexpr double kMicrosPerSecond = 1e6;
  constexpr double kNanosPerMicro = 1e3;
  timespec value{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
  return static_cast<double>(value.tv_sec) * kMicrosPerSecond +
         static_cast<double>(value.tv_nsec) / kNanosPerMicro;
}

// A closed loop of calls with the size of a poll; both ends are in this
// process, so that each end costs about half of what is measured.
class echo_loop
{
public:
  echo_loop(wire::rpc_node& aClient, std::string aPeer, std::size_t aCalls)
    : mClient(aClient)
    , mPeer(std::move(aPeer))
    , mLeft(static_cast<std::int64_t>(aCalls))
    , mOpen(static_cast<std::int64_t>(aCalls))
  {
  }

  void Run()
  {
    constexpr int kUnderWay = 16;
    for (int caller = 0; caller < kUnderWay; ++caller) {
      Next();
    }
    mDone.get_future().wait();
  }

private:
  void Next()
  {
    constexpr std::size_t kPollBytes = 226;
    if (mLeft.fetch_sub(1) <= 0) {
      return;
    }
    mClient.Call(mPeer,
                 1,
                 bytes(kPollBytes, 'x'),
                 seconds(10),
                 [this](const result<bytes>&) {
                   if (mOpen.fetch_sub(1) == 1) {
                     mDone.set_value();
                   } else {
                     Next();
                   }
                 });
  }

  wire::rpc_node& mClient;
  std::string mPeer;
  std::atomic<std::int64_t> mLeft;
  std::atomic<std::int64_t> mOpen;
  std::promise<void> mDone;
};

void
MeasureRpc(bench_report& aReport)
{
  wire::rpc_node server(wire::rpc_options{});
  const auto port = server.Listen(
    "127.0.0.1:0",
    [](std::uint16_t, bytes aBody, const auto& aReply) {
      aReply(std::move(aBody));
    },
    [](const bytes&) {});
  if (!port) {
    return;
  }
  wire::rpc_node client(wire::rpc_options{});
  constexpr std::array<std::size_t, 3> kCalls = { 4'000, 8'000, 16'000 };
  std::vector<sample> cost;
  for (const std::size_t calls : kCalls) {
    const double start = ProcessMicroseconds();
    echo_loop(client, "127.0.0.1:" + std::to_string(*port), calls).Run();
    cost.push_back(
      { static_cast<double>(calls), ProcessMicroseconds() - start });
  }
  AddFit(aReport, "rpc_both_ends_by_calls", cost, "us");
}

const registered_bench kCapacity("capacity", [](bench_report& aReport) {
  MeasureCell(aReport);
  MeasureLedger(aReport);
  MeasureWeights(aReport);
  MeasureMessages(aReport);
  MeasureRpc(aReport);
});

} // namespace
} // namespace oriolewalk::bench
