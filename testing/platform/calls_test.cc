#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "oriolewalk/flow/messages.h"
#include "oriolewalk/http/message.h"
#include "platform/client_calls.h"
#include "platform/operator_calls.h"
#include "platform/registry_calls.h"

namespace {

namespace flow = oriolewalk::flow;
namespace http = oriolewalk::http;
using oriolewalk::error_code;
using oriolewalk::Fail;
using oriolewalk::milliseconds;
using oriolewalk::result;

http::request
Call(std::string aMethod, std::string aTarget, std::string aBody = {})
{
  http::request call;
  call.mMethod = std::move(aMethod);
  call.mTarget = std::move(aTarget);
  call.mHeaders = { { "Host", "jobs.example:80" },
                    { "X-Oriolewalk-Deadline-Ms", "3000" } };
  call.mBody = std::move(aBody);
  return call;
}

unsigned
StatusOf(const result<flow::flow_answer>& aAnswer)
{
  return platform::WriteClientAnswer(aAnswer, milliseconds(1'500)).mStatus;
}

result<flow::flow_answer>
Job(flow::job_reply aReply)
{
  return flow::flow_answer(flow::job_answer{ aReply, "done", 3, 2'500 });
}

constexpr const char* kConfig =
  R"({"version":7,"routes":[{"name":"r1","host":"h","pathPrefix":"/p/",
  "timeoutMs":3000,"targetLatencyMs":250,"priority":1,"service":"s",
  "maxAttempts":3,"stretch":1.5,
  "advice":{"decideMs":23.0,"periodMs":0.32,"validMs":2000}}],
  "services":[{"name":"s","admissionControl":true}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144}})";

} // namespace

TEST_CASE("a job's fields are decoded once, with defaults for what is omitted")
{
  const auto read = platform::ReadClientCall(
    Call("POST",
         "/lohu/5c0e7a21d94b36f8",
         R"({"spec":"text","repeatCount":2,"startAtMs":5,"intervalMs":7,
         "steps":[{"count":4,"cpu":500,"memMb":256,"estMs":900,
         "dataRack":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,"gpu":1,
         "dependsOn":[0],"checkpointing":true,"gang":true,"sameRack":true,
         "requiredLabel":"b","antiAffinity":2,"speculative":true,
         "longRunning":true,"fills":true,"targetMs":90,"mayMiss":0,
         "image":"i"}]})"));
  REQUIRE(read);
  const auto& job = std::get<flow::job_submission>(*read);
  CHECK(job.mPath.mHost == "jobs.example");
  CHECK(job.mPath.mPath == "/lohu/5c0e7a21d94b36f8");
  CHECK(job.mSpec.mRecurrence.mRepeatCount == 2);
  REQUIRE(job.mSpec.mSteps.size() == 2);
  const flow::step_spec& first = job.mSpec.mSteps[0];
  CHECK(first.mDataRack == "r1-3");
  CHECK_FALSE(first.mGang);
  CHECK_FALSE(first.mHasMaxMisses);
  const flow::step_spec& second = job.mSpec.mSteps[1];
  CHECK(second.mDependsOn == std::vector<std::uint32_t>{ 0 });
  CHECK(second.mMaxPerWorker == 2);
  CHECK(second.mHasMaxMisses); // 0 may be missed, which is a bound
  CHECK(second.mTailLatencyTargetMs == 90);
  CHECK((second.mGang && second.mSameRack && second.mAllowsCopies &&
         second.mLongRunning && second.mBestEffort && second.mCheckpoints));
  CHECK(platform::CallerDeadlineMs(Call("GET", "/")) == 3'000);
}

TEST_CASE("what can't be read as a job is refused with the reason")
{
  CHECK_FALSE(platform::ReadClientCall(Call("POST", "/p/1", "{")));
  CHECK_FALSE(platform::ReadClientCall(Call("POST", "/p/1", "{}")));
  CHECK_FALSE(
    platform::ReadClientCall(Call("POST", "/p/1", R"({"steps":[1]})")));
  CHECK_FALSE(platform::ReadClientCall(Call("PUT", "/p/1")));
}

TEST_CASE("a body that would be much larger in memory is refused unread")
{
  // Two bytes of the text became a record of a step.
  const auto list = [](const std::string& aItem, std::size_t aCount) {
    std::string text = "[" + aItem;
    for (std::size_t item = 1; item < aCount; ++item) {
      text += "," + aItem;
    }
    return text + "]";
  };
  const auto isRead = [](const std::string& aSteps) {
    return platform::ReadClientCall(
             Call("POST", "/p/1", R"({"spec":"","steps":)" + aSteps + "}"))
      .has_value();
  };
  CHECK(isRead(list(R"({"count":1})", flow::kMaxJobSteps)));
  CHECK_FALSE(isRead(list("{}", flow::kMaxJobSteps + 1)));
  CHECK_FALSE(isRead(R"([{"count":1},{"count":1,"dependsOn":)" +
                     list("0", flow::kMaxJobSteps + 1) + "}]"));
  const auto isHeard = [](const std::string& aLabels) {
    return platform::ReadRegistryCall(
             Call("POST",
                  "/v1/instances/i-7f/heartbeat",
                  R"({"service":"s","address":"10.0.0.9:80","zone":"z",)"
                  R"("state":"ready","capacity":{"cpu":1,"memMb":1},)"
                  R"("clockMs":1,"seq":4,"labels":)" +
                    aLabels + "}"))
      .has_value();
  };
  CHECK(isHeard(list(R"("a")", flow::kMaxLabels)));
  CHECK_FALSE(isHeard(list(R"("a")", flow::kMaxLabels + 1)));
  CHECK_FALSE(
    isHeard(R"([")" + std::string(flow::kMaxNameBytes + 1, 'a') + R"("])"));
}

TEST_CASE("an answer says no more than is known")
{
  CHECK(StatusOf(Job(flow::job_reply::Accepted)) == 200);
  CHECK(StatusOf(Job(flow::job_reply::NoQueue)) == 404);
  CHECK(StatusOf(Job(flow::job_reply::NotFound)) == 410);
  CHECK(StatusOf(Job(flow::job_reply::Refused)) == 429);
  CHECK(StatusOf(Job(flow::job_reply::NotConfigured)) == 503);
  // Surely not taken up: a refusal. Perhaps taken up: no refusal.
  CHECK(StatusOf(Fail(error_code::Unavailable, "ask", "none")) == 503);
  CHECK(StatusOf(Fail(error_code::Timeout, "ask", "none")) == 504);
  const auto refused = platform::WriteClientAnswer(
    Fail(error_code::Unavailable, "ask", "none"), milliseconds(1'500));
  CHECK(refused.Find("Retry-After") == "2");
  // The leader refused the job for 2,500 ms. The header has whole seconds, and
  // a caller that came back earlier would be refused again.
  const auto full = platform::WriteClientAnswer(Job(flow::job_reply::Refused),
                                                milliseconds(1'500));
  CHECK(full.Find("Retry-After") == "3");
  CHECK(platform::WriteClientAnswer(Job(flow::job_reply::State), {}).mBody ==
        R"({"state":"done"})");
  CHECK(platform::WriteClientAnswer(Job(flow::job_reply::Pending), {}).mBody ==
        R"({"pending":3})");
}

TEST_CASE("a worker's heartbeat and farewell")
{
  const auto read = platform::ReadRegistryCall(
    Call("POST",
         "/v1/instances/i-7f/heartbeat",
         R"({"service":"s","address":"10.0.0.9:80","zone":"z",
         "state":"draining","remainingMs":800,
         "capacity":{"cpu":16000,"memMb":32768,"gpu":2},
         "labels":["a","r1-3"],"clockMs":482113,"seq":4})"));
  REQUIRE(read);
  const auto& beat = std::get<flow::worker_heartbeat>(*read);
  CHECK(beat.mDescription.mId.Value() == "i-7f");
  CHECK(beat.mDescription.mRack.Value() == "r1-3");
  CHECK(beat.mDescription.mCapacity.mAccelerators == 2);
  CHECK((beat.mDraining && beat.mRemainingMs == 800 && beat.mSequence == 4));
  const auto left =
    platform::ReadRegistryCall(Call("POST", "/v1/instances/i-7f/deregister"));
  REQUIRE(left);
  CHECK(std::holds_alternative<flow::worker_deregistration>(*left));
  CHECK_FALSE(
    platform::ReadRegistryCall(Call("POST", "/v1/instances/i-7f/other")));
}

TEST_CASE("a heartbeat of another writer names no worker")
{
  // A heartbeat for a known worker's id in which a field is missing or of
  // another kind. Read with defaults it takes the worker's room or service
  // away, and its tasks have no place, though its own heartbeats are sound.
  const auto read = [](const std::string& aBody) {
    return platform::ReadRegistryCall(
      { .mMethod = "POST",
        .mTarget = "/v1/instances/i-1/heartbeat",
        .mBody = aBody });
  };
  const boost::json::object sound{
    { "service", "pay" },
    { "address", "10.0.0.9:80" },
    { "zone", "a" },
    { "state", "ready" },
    { "capacity", { { "cpu", 16000 }, { "memMb", 32768 }, { "gpu", 0 } } },
    { "clockMs", 482113 },
    { "seq", 4 },
    { "born", 1785721069176 }
  };
  REQUIRE(read(boost::json::serialize(sound)));
  for (const char* name :
       { "service", "address", "state", "capacity", "clockMs", "seq" }) {
    INFO(name);
    boost::json::object missing = sound;
    missing.erase(name);
    CHECK_FALSE(read(boost::json::serialize(missing)));
  }
  for (const char* name : { "service",
                            "address",
                            "state",
                            "capacity",
                            "clockMs",
                            "seq",
                            "born" }) {
    INFO(name);
    for (const boost::json::value& other :
         { boost::json::value(nullptr),
           boost::json::value(true),
           boost::json::value(boost::json::array{ 1, "x" }),
           boost::json::value(-3) }) {
      boost::json::object changed = sound;
      changed[name] = other;
      CHECK_FALSE(read(boost::json::serialize(changed)));
    }
  }
  boost::json::object changed = sound;
  changed["state"] = "sleeping";
  CHECK_FALSE(read(boost::json::serialize(changed)));
  changed = sound;
  changed["capacity"] = { { "cpu", "many" }, { "memMb", 1 }, { "gpu", 0 } };
  CHECK_FALSE(read(boost::json::serialize(changed)));
  CHECK_FALSE(read("\xff\xfe not a body"));
  CHECK_FALSE(read(""));
}

TEST_CASE("whose heartbeat and farewell it is")
{
  // A worker may start again under its id; the time of its start tells its
  // lives apart. Where it isn't said it is 0.
  const auto beat = platform::ReadRegistryCall(
    Call("POST",
         "/v1/instances/i-7f/heartbeat",
         R"({"service":"s","address":"10.0.0.9:80","state":"ready",
         "capacity":{"cpu":1,"memMb":1},"clockMs":5,"seq":4,
         "born":1785721069176})"));
  REQUIRE(beat);
  CHECK(std::get<flow::worker_heartbeat>(*beat).mDescription.mProcessStartMs ==
        1'785'721'069'176);
  const auto left = [](const std::string& aBody) {
    return platform::ReadRegistryCall(
      Call("POST", "/v1/instances/i-7f/deregister", aBody));
  };
  const auto own = left(R"({"born":1785721069176})");
  REQUIRE(own);
  CHECK(std::get<flow::worker_deregistration>(*own).mProcessStartMs ==
        1'785'721'069'176);
  for (const char* silent : { "", "{}" }) {
    REQUIRE(left(silent));
    CHECK(
      std::get<flow::worker_deregistration>(*left(silent)).mProcessStartMs ==
      0);
  }
  CHECK_FALSE(left(R"({"born":"yesterday"})"));
  CHECK_FALSE(left("no body"));
}

TEST_CASE("a configuration is read in full and given back to the letter")
{
  const auto read =
    platform::ReadOperatorCall(Call("POST", "/v1/config/put", kConfig));
  REQUIRE(read);
  const auto& change = std::get<flow::table_change>(*read);
  CHECK(change.mSource == kConfig);
  CHECK(change.mTable.mVersion == 7);
  REQUIRE(change.mTable.mQueues.size() == 1);
  const flow::queue_row& queue = change.mTable.mQueues[0];
  CHECK(queue.mStretch == 1.5);
  CHECK(queue.mMaxAttempts == 3);
  REQUIRE(queue.mAdvice);
  CHECK(queue.mAdvice->mPerWorkerMs == 0.32);
  CHECK(change.mTable.mServices[0].mHasAdmissionControl);
  CHECK(change.mTable.mLimits.mBodyBytes == 262'144);
}

TEST_CASE("an invalid configuration is refused")
{
  const auto isTaken = [](const std::string& aBody) {
    return platform::ReadOperatorCall(Call("POST", "/v1/config/put", aBody))
      .has_value();
  };
  const auto with = [](const std::string& aOld, const std::string& aNew) {
    std::string text = kConfig;
    text.replace(text.find(aOld), aOld.size(), aNew);
    return text;
  };
  CHECK(isTaken(kConfig));
  const std::string whole = kConfig;
  CHECK_FALSE(isTaken(whole.substr(0, whole.size() / 2)));
  CHECK_FALSE(isTaken(with("\"service\":\"s\"", "\"service\":\"x\"")));
  CHECK_FALSE(isTaken(with("\"timeoutMs\":3000", "\"timeoutMs\":0")));
  CHECK_FALSE(isTaken(with("\"version\":7", "\"version\":0")));
  CHECK_FALSE(
    isTaken(with("\"routes\":[",
                 R"("routes":[{"name":"r0","host":"h",)"
                 R"("pathPrefix":"/p/","timeoutMs":1,"service":"s"},)")));
}

namespace {

constexpr const char* kWave =
  R"({"wave":1,"machines":["m-0a3f1","m-141e8"],"durationS":20,"maxCount":1})";

http::response
Wave(flow::wave_reply aReply)
{
  return platform::WriteOperatorAnswer(
    flow::flow_answer(flow::wave_answer{ aReply }));
}

} // namespace

TEST_CASE("a wave's order is read in full")
{
  const http::request call = Call("POST", "/v1/wave-start", kWave);
  CHECK(platform::IsOperatorCall(call));
  const auto read = platform::ReadOperatorCall(call);
  REQUIRE(read);
  const auto& order = std::get<flow::wave_start>(*read).mOrder;
  CHECK(order.mNumber == 1);
  CHECK(order.mMachines == std::vector{ oriolewalk::machine_id("m-0a3f1"),
                                        oriolewalk::machine_id("m-141e8") });
  CHECK(order.mDurationMs == 20'000);
  CHECK(order.mMaxCount == 1);
}

TEST_CASE("an invalid wave is refused with the field's name")
{
  // Guards against an order that is acknowledged with other numbers than the
  // operator meant.
  const auto problem = [](const std::string& aBody) {
    const auto read =
      platform::ReadOperatorCall(Call("POST", "/v1/wave-start", aBody));
    REQUIRE(!read);
    CHECK(read.error().mCode == error_code::InvalidArgument);
    return read.error().mMessage;
  };
  const auto with = [](const std::string& aOld, const std::string& aNew) {
    std::string text = kWave;
    return text.replace(text.find(aOld), aOld.size(), aNew);
  };
  for (const char* value : { "0", "-1", "1.5", "\"1\"", "null", "[1]" }) {
    CAPTURE(value);
    CHECK(problem(with("\"wave\":1", std::string("\"wave\":") + value))
            .starts_with("wave "));
    CHECK(
      problem(with("\"durationS\":20", std::string("\"durationS\":") + value))
        .starts_with("durationS "));
    CHECK(problem(with("\"maxCount\":1", std::string("\"maxCount\":") + value))
            .starts_with("maxCount "));
  }
  CHECK(problem(with("\"wave\":1", "\"wave\":18446744073709551615"))
          .starts_with("wave "));
  CHECK(problem(with(",\"maxCount\":1", "")).starts_with("maxCount "));
  const std::string machines = R"(["m-0a3f1","m-141e8"])";
  for (const char* value :
       { "[]", "[1]", "[\"\"]", "\"m\"", R"(["m","m"])", "null" }) {
    CAPTURE(value);
    CHECK(problem(with(machines, value)).starts_with("machines "));
  }
  const std::string whole = kWave;
  CHECK_FALSE(problem(whole.substr(0, whole.size() / 2)).empty());
  CHECK_FALSE(problem("[]").empty());
}

TEST_CASE("a wave is asked for by its number")
{
  const http::request call = Call("GET", "/v1/wave-get/17");
  CHECK(platform::IsOperatorCall(call));
  const auto read = platform::ReadOperatorCall(call);
  REQUIRE(read);
  CHECK(std::get<flow::wave_query>(*read).mNumber == 17);
  for (const char* number : { "", "x", "1x", "-1", "0", "1/2" }) {
    CAPTURE(number);
    const auto wrong = platform::ReadOperatorCall(
      Call("GET", std::string("/v1/wave-get/") + number));
    REQUIRE(!wrong);
    CHECK(wrong.error().mMessage.starts_with("wave "));
  }
  CHECK_FALSE(platform::IsOperatorCall(Call("POST", "/v1/wave-get/17")));
  CHECK_FALSE(platform::IsOperatorCall(Call("GET", "/v1/wave-start")));
}

TEST_CASE("a wave's answers are told as the operator expects them")
{
  CHECK(Wave(flow::wave_reply::Accepted).mStatus == 200);
  CHECK(Wave(flow::wave_reply::Conflict).mStatus == 409);
  CHECK(Wave(flow::wave_reply::NotFound).mStatus == 404);
  CHECK(Wave(flow::wave_reply::Running).mStatus == 200);
  CHECK(Wave(flow::wave_reply::Running).mBody == R"({"state":"running"})");
  CHECK(Wave(flow::wave_reply::Done).mBody == R"({"state":"done"})");
  // A process that can't be sure says so.
  for (const error_code code :
       { error_code::NotLeader, error_code::Timeout, error_code::Busy }) {
    CHECK(platform::WriteOperatorAnswer(Fail(code, "ask", "")).mStatus == 503);
  }
}

TEST_CASE("a caller's key comes with its request")
{
  const auto keyed = [](std::string aHeader) {
    http::request call = Call("GET", "/p/00000000000000aa");
    call.mHeaders.push_back({ "Authorization", std::move(aHeader) });
    const auto read = platform::ReadClientCall(call);
    REQUIRE(read);
    const auto* request = std::get_if<flow::keyed_request>(&*read);
    REQUIRE(request != nullptr);
    CHECK(std::get<flow::job_query>(request->mRequest).mPath.mPath ==
          "/p/00000000000000aa");
    return request->mKey;
  };
  CHECK(keyed("Token abc") == "abc");
  CHECK(keyed("token abc") == "abc");
  CHECK(keyed("Token a b") == "a b");
  // Whatever is no key is the key of nobody.
  CHECK(keyed("Token ").empty());
  CHECK(keyed("Basic abc").empty());
  CHECK(keyed("").empty());
  const auto plain = platform::ReadClientCall(Call("GET", "/p/"));
  REQUIRE(plain);
  CHECK(std::holds_alternative<flow::job_query>(*plain));
}

TEST_CASE("a caller without a valid key is told so at once")
{
  const auto answer = platform::WriteClientAnswer(
    Job(flow::job_reply::Unauthorized), milliseconds(1'500));
  CHECK(answer.mStatus == 401);
  CHECK(answer.Find("WWW-Authenticate") == "Token");
  CHECK(StatusOf(Job(flow::job_reply::Conflict)) == 409);
}

namespace {

std::string
ConfigWith(const std::string& aTenants)
{
  std::string text = kConfig;
  text.insert(text.rfind('}'), ",\"tenants\":" + aTenants);
  return text;
}

result<flow::flow_request>
Put(const std::string& aBody)
{
  return platform::ReadOperatorCall(Call("POST", "/v1/config/put", aBody));
}

} // namespace

TEST_CASE("a configuration's tenants are read as organisations")
{
  const auto read = Put(ConfigWith(
    R"([{"name":"a","apiKeys":["k1","k2"],"priority":1,"weight":14,
         "maxCount":{"cpu":2000,"memMb":3000,"gpu":1}},{"name":"b"}])"));
  REQUIRE(read);
  const auto* change = std::get_if<flow::table_change_with_access>(&*read);
  REQUIRE(change != nullptr);
  CHECK(change->mChange.mTable.mVersion == 7);
  CHECK(change->mAccess.mPublicQueues.empty());
  const auto& rows = change->mAccess.mOrganisations;
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].mName.Value() == "a");
  CHECK(rows[0].mKeys == std::vector<std::string>{ "k1", "k2" });
  CHECK(rows[0].mWeight == 14);
  CHECK(rows[0].mMaximum == oriolewalk::cell::resources{ 2'000, 3'000, 1 });
  CHECK(rows[1].mWeight == 1);
  CHECK(rows[1].mMaximum == oriolewalk::cell::resources{});
  // An empty list lets nobody in; a missing one everybody.
  const auto none = Put(ConfigWith("[]"));
  REQUIRE(none);
  CHECK(std::holds_alternative<flow::table_change_with_access>(*none));
  const auto open = Put(kConfig);
  REQUIRE(open);
  CHECK(std::holds_alternative<flow::table_change>(*open));
}

TEST_CASE("a public route is a public queue")
{
  std::string text = ConfigWith("[]");
  const std::string name = R"("name":"r1",)";
  text.insert(text.find(name), R"("public":true,)");
  const auto read = Put(text);
  REQUIRE(read);
  CHECK(std::get<flow::table_change_with_access>(*read).mAccess.mPublicQueues ==
        std::vector<std::string>{ "r1" });
}

TEST_CASE("an invalid tenant is refused, and no key is told")
{
  for (
    const char* tenants : {
      R"([{"name":"a","apiKeys":["secret"]},{"name":"b","apiKeys":["secret"]}])",
      R"([{"name":"a","apiKeys":["secret","secret"]}])",
      R"([{"name":"a","apiKeys":[""]}])",
      R"([{"name":"a","apiKeys":"secret"}])",
      R"([{"name":"a","apiKeys":[7]}])",
      R"([{"apiKeys":["secret"]}])",
      R"([{"name":"a"},{"name":"a"}])",
      R"([{"name":"a","weight":0}])",
      R"([{"name":"a","weight":-3}])",
      R"([{"name":"a","weight":"heavy"}])",
      R"([{"name":"a","maxCount":{"cpu":-1}}])",
      R"([{"name":"a","maxCount":{"memMb":"many"}}])",
      R"([{"name":"a","maxCount":7}])",
      R"({"name":"a"})",
      R"([7])",
      "null",
    }) {
    CAPTURE(tenants);
    const auto read = Put(ConfigWith(tenants));
    REQUIRE(!read);
    CHECK(read.error().mCode == error_code::InvalidArgument);
    CHECK(read.error().Describe().find("secret") == std::string::npos);
  }
}
