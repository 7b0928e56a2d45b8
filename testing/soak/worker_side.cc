#include "testing/soak/worker_side.h"

#include <array>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "platform/json.h"

namespace oriolewalk::soak {

namespace json = boost::json;

namespace {

constexpr std::size_t kNameParts = 4;

std::optional<flow::run_ref>
ReadRun(const json::object& aBody)
{
  const auto parts = http::SplitParts(platform::TextOf(aBody, "task"), '.');
  if (parts.size() != kNameParts) {
    return std::nullopt;
  }
  std::array<std::uint32_t, kNameParts - 1> numbers{};
  for (std::size_t at = 0; at < numbers.size(); ++at) {
    const std::string& part = parts[at + 1];
    if (std::from_chars(part.data(), part.data() + part.size(), numbers[at])
          .ec != std::errc()) {
      return std::nullopt;
    }
  }
  return flow::run_ref{
    { job_id(parts[0]), numbers[0], numbers[1], numbers[2] },
    static_cast<flow::attempt_t>(platform::IntegerOf(aBody, "run"))
  };
}

std::string
TaskName(const flow::task_ref& aTask)
{
  return aTask.mJob.Value() + "." + std::to_string(aTask.mOccurrence) + "." +
         std::to_string(aTask.mStep) + "." + std::to_string(aTask.mIndex);
}

std::optional<flow::order_body>
ReadBody(std::string_view aPath, const json::object& aBody)
{
  if (aPath == "/v1/hold") {
    return flow::poll_order{ static_cast<std::uint64_t>(
                               platform::IntegerOf(aBody, "ackCursor")),
                             platform::IntegerOf(aBody, "waitMs") };
  }
  const auto run = ReadRun(aBody);
  if (!run) {
    return std::nullopt;
  }
  if (aPath == "/v1/run-start") {
    return flow::start_order{ *run,
                              platform::TextOf(aBody, "spec"),
                              platform::TextOf(aBody, "checkpoint"),
                              platform::TextOf(aBody, "ticket") };
  }
  if (aPath == "/v1/run-stop") {
    return flow::stop_order{ *run };
  }
  if (aPath == "/v1/pace") {
    return flow::pace_order{
      *run, static_cast<int>(platform::IntegerOf(aBody, "percent"))
    };
  }
  return std::nullopt;
}

std::pair<unsigned, std::string_view>
StatusOf(flow::order_result aResult)
{
  using enum flow::order_result;
  constexpr unsigned kConflict = 409;
  switch (aResult) {
    case Done:
      return { 200, "" };
    case Superseded:
      return { kConflict, "fence" };
    case StaleAttempt:
      return { kConflict, "old" };
    case LeaseExpired:
      return { kConflict, "late" };
    case NoCapacity:
      return { kConflict, "room" };
    case TicketInvalid:
      return { kConflict, "ticket" };
    case OtherIncarnation:
      return { 421, "" };
    case Malformed:
      return { 400, "" };
    default:
      return { 503, "" };
  }
}

std::string_view
HowOf(flow::run_outcome aHow)
{
  using enum flow::run_outcome;
  switch (aHow) {
    case Done:
      return "done";
    case Failed:
      return "failed";
    case Stopped:
      return "stopped";
    case Lapsed:
      return "lapsed";
    case Broken:
      return "broken";
    case Alone:
      return "alone";
  }
  return "";
}

http::request
Post(std::string aTarget, const json::object& aBody)
{
  return { .mMethod = "POST",
           .mTarget = std::move(aTarget),
           .mHeaders = { { "Content-Type", "application/json" } },
           .mBody = json::serialize(aBody) };
}

} // namespace

std::optional<flow::worker_order>
ReadOrder(const http::request& aRequest)
{
  const auto body = platform::ParseObject(aRequest.mBody);
  if (!body) {
    return std::nullopt;
  }
  auto what = ReadBody(aRequest.Path(), *body);
  if (!what) {
    return std::nullopt;
  }
  flow::worker_order order;
  order.mBody = std::move(*what);
  order.mWorkerId = worker_id(
    std::string(aRequest.Find("X-Oriolewalk-Expect-Instance").value_or("")));
  order.mFence =
    static_cast<std::uint64_t>(platform::IntegerOf(*body, "fence"));
  if (body->contains("deadlineMs")) {
    order.mLeaseClockMs = platform::IntegerOf(*body, "deadlineMs");
  }
  return order;
}

http::response
WriteAnswer(const flow::order_answer& aAnswer)
{
  const auto [status, reason] = StatusOf(aAnswer.mResult);
  json::object body;
  if (aAnswer.mClockMs) {
    body["clockMs"] = *aAnswer.mClockMs;
  }
  if (!reason.empty()) {
    body["reason"] = reason;
  }
  if (aAnswer.mProcessStartMs != 0) {
    body["born"] = aAnswer.mProcessStartMs;
  }
  json::array running;
  for (const flow::listed_run& row : aAnswer.mRunning) {
    running.emplace_back(json::array{ TaskName(row.mRun.mTask),
                                      row.mRun.mAttempt,
                                      row.mCheckpoint,
                                      row.mPercent,
                                      row.mLoad });
  }
  json::array ended;
  for (const flow::listed_end& row : aAnswer.mEnded) {
    ended.emplace_back(json::array{ row.mNumber,
                                    TaskName(row.mEnd.mRun.mTask),
                                    row.mEnd.mRun.mAttempt,
                                    HowOf(row.mEnd.mOutcome),
                                    row.mEnd.mCheckpoint });
  }
  body["running"] = std::move(running);
  body["ended"] = std::move(ended);
  return { .mStatus = status,
           .mHeaders = { { "Content-Type", "application/json" } },
           .mBody = json::serialize(body) };
}

http::request
WriteBeat(const flow::worker_description& aFacts,
          bool aDraining,
          std::int64_t aClockMs,
          std::int64_t aNumber)
{
  json::array labels;
  for (const std::string& label : aFacts.mLabels) {
    labels.emplace_back(label);
  }
  return Post("/v1/instances/" + aFacts.mId.Value() + "/heartbeat",
              { { "service", aFacts.mService.Value() },
                { "address", aFacts.mAddress },
                { "zone", aFacts.mDataCentre.Value() },
                { "version", "v1" },
                { "state", aDraining ? "draining" : "ready" },
                { "capacity",
                  json::object{ { "cpu", aFacts.mCapacity.mMilliProcessors },
                                { "memMb", aFacts.mCapacity.mMemoryMb },
                                { "gpu", 0 } } },
                { "labels", std::move(labels) },
                { "clockMs", aClockMs },
                { "seq", aNumber },
                { "born", aFacts.mProcessStartMs } });
}

http::request
WriteFarewell(const flow::worker_description& aFacts)
{
  return Post("/v1/instances/" + aFacts.mId.Value() + "/deregister",
              { { "born", aFacts.mProcessStartMs } });
}

} // namespace oriolewalk::soak
