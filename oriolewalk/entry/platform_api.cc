#include "oriolewalk/entry/platform_api.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "oriolewalk/entry/answers.h"
#include "oriolewalk/protocol/json_fields.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::entry {

namespace json = boost::json;
using protocol::json_fields;

namespace {

constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr unsigned kNotFound = 404;

cell::resources
ReadResources(json_fields& aFields)
{
  return { aFields.Number("milli_processors", 0, kMaxAmount, 0),
           aFields.Number("memory_mb", 0, kMaxAmount, 0),
           aFields.Number("accelerators", 0, kMaxAmount, 0) };
}

cell::task_id
ReadTask(json_fields& aFields)
{
  const auto task = cell::ParseTask(aFields.Text("task"));
  if (!task) {
    aFields.AddProblem("task", "must be as job-1/0");
  }
  return task.value_or(cell::task_id{});
}

template<class Value>
result<Value>
ValueOrProblem(const json_fields& aFields, Value aValue)
{
  if (const auto& problem = aFields.Problem()) {
    return Fail(*problem);
  }
  return aValue;
}

http::response
JsonResponse(const json::object& aObject)
{
  http::response response;
  response.mHeaders = { { "Content-Type", "application/json" } };
  response.mBody = json::serialize(aObject) + "\n";
  return response;
}

std::uint32_t
ToUnsigned(std::int64_t aValue)
{
  return static_cast<std::uint32_t>(aValue);
}

} // namespace

result<protocol::target_announcement>
ParseTarget(std::string_view aTarget, std::string_view aBody)
{
  constexpr std::string_view kStep = "announcing a target";
  const auto value = protocol::ParseJson(aBody, kStep);
  if (!value) {
    return Fail(value.error());
  }
  json_fields fields(*value, kStep);
  protocol::target_announcement announced;
  announced.mTarget = target_id(std::string(aTarget));
  announced.mService = service_id(fields.Text("service"));
  announced.mAddress = fields.Text("address");
  announced.mDataCentre = data_centre_id(fields.Text("data_centre"));
  announced.mSlots = ToUnsigned(fields.Number("slots", 1, kMaxSlots));
  announced.mConnections =
    ToUnsigned(fields.Number("connections", 1, kMaxSlots));
  if (!settings::ParseAddress(announced.mAddress)) {
    fields.AddProblem("address", "must be IP:PORT");
  }
  return ValueOrProblem(fields, announced);
}

result<protocol::worker_announcement>
ParseWorker(std::string_view aWorker, std::string_view aBody)
{
  constexpr std::string_view kStep = "announcing a worker";
  const auto value = protocol::ParseJson(aBody, kStep);
  if (!value) {
    return Fail(value.error());
  }
  json_fields fields(*value, kStep);
  protocol::worker_announcement announced;
  announced.mWorker = worker_id(std::string(aWorker));
  announced.mBoot = cell::boot_id(fields.Text("boot"));
  announced.mDataCentre = data_centre_id(fields.Text("data_centre"));
  announced.mRack = rack_id(fields.Text("rack"));
  announced.mCapacity = ReadResources(fields);
  return ValueOrProblem(fields, announced);
}

result<protocol::worker_poll>
ParsePoll(std::string_view aWorker, std::string_view aBody)
{
  constexpr std::string_view kStep = "polling";
  constexpr std::int64_t kMaxAttempt = std::numeric_limits<std::int32_t>::max();
  const auto value = protocol::ParseJson(aBody, kStep);
  if (!value) {
    return Fail(value.error());
  }
  json_fields fields(*value, kStep);
  protocol::worker_poll poll;
  poll.mWorker = worker_id(std::string(aWorker));
  poll.mPoll.mBoot = cell::boot_id(fields.Text("boot"));
  poll.mWaitMs =
    ToUnsigned(fields.Number("wait_ms", 0, protocol::kMaxPollMs, 0));
  for (const json::value& one : fields.List("running")) {
    json_fields task(one, kStep);
    cell::running_task running;
    running.mTask = ReadTask(task);
    running.mAttempt = ToUnsigned(task.Number("attempt", 1, kMaxAttempt));
    running.mUsage = ReadResources(task);
    const std::int64_t limit =
      task.Number("limit_milli_processors", 0, kMaxAmount, 0);
    if (limit != 0) {
      running.mLimitMilliProcessors = limit;
    }
    poll.mPoll.mRunning.push_back(running);
    fields.AddProblemOf(task);
  }
  for (const json::value& one : fields.List("ended")) {
    json_fields task(one, kStep);
    cell::reported_end ended;
    ended.mTask = ReadTask(task);
    ended.mAttempt = ToUnsigned(task.Number("attempt", 1, kMaxAttempt));
    const auto parsed = cell::ParseResult(task.Text("result"));
    if (!parsed) {
      task.AddProblem("result",
                      "must be succeeded, failed, checkpointed or stopped");
    }
    ended.mResult = parsed.value_or(cell::attempt_result::Failed);
    poll.mPoll.mEnded.push_back(ended);
    fields.AddProblemOf(task);
  }
  return ValueOrProblem(fields, poll);
}

http::response
TargetResponse(const protocol::target_answer& aAnswer)
{
  return JsonResponse({ { "renew_ms", aAnswer.mRenewMs },
                        { "lease_ms", aAnswer.mLeaseMs },
                        { "in_progress", aAnswer.mInProgress } });
}

http::response
WorkerResponse(const protocol::worker_answer& aAnswer)
{
  if (aAnswer.mAnnounceAgain) {
    return ErrorAnswer(
      kNotFound,
      { error_code::NotFound, "polling", {}, "not known: announce again" });
  }
  json::array commands;
  for (const cell::worker_command& command : aAnswer.mCommands) {
    commands.push_back(
      json::object{ { "kind", std::string(ToString(command.mKind)) },
                    { "task", ToString(command.mTask) },
                    { "attempt", command.mAttempt },
                    { "milli_processors", command.mSize.mMilliProcessors },
                    { "memory_mb", command.mSize.mMemoryMb },
                    { "accelerators", command.mSize.mAccelerators },
                    { "expected_ms", command.mExpectedMs } });
  }
  return JsonResponse(
    { { "lease_ms", aAnswer.mLeaseMs }, { "commands", std::move(commands) } });
}

} // namespace oriolewalk::entry
