#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/http/client.h"
#include "oriolewalk/http/server.h"
#include "platform/machine_calls.h"

namespace {

namespace http = oriolewalk::http;
namespace machines = oriolewalk::machines;
using machines::call_result;

// A machine service that answers everything like this.
struct service_scene
{
  machines::call_answer Call(const http::response& aSaid,
                             machines::call_body aBody)
  {
    boost::asio::io_context context;
    http::server service(
      context,
      { "127.0.0.1", 0 },
      {},
      [&](const http::request& aRequest, const http::responder& aResponder) {
        mSeen.push_back(aRequest);
        aResponder.Send(aSaid);
      });
    const auto port = service.Start();
    REQUIRE(port);
    http::client client(context, {});
    const auto machinePort = platform::MakeMachinePort(
      client,
      [&]() {
        return oriolewalk::settings::address{ "127.0.0.1", *port };
      },
      "core-a-1");
    std::optional<machines::call_answer> answer;
    machinePort({ 1, std::move(aBody) }, [&](machines::call_answer aAnswer) {
      answer = std::move(aAnswer);
      context.stop();
    });
    context.run_for(oriolewalk::seconds(20));
    REQUIRE(answer);
    return *answer;
  }

  machines::call_answer List(const std::string& aBody, unsigned aStatus = 200)
  {
    return Call({ .mStatus = aStatus, .mBody = aBody },
                machines::list_request{});
  }
  call_result Upkeep(unsigned aStatus, const std::string& aBody = "{}")
  {
    return Call(
             { .mStatus = aStatus, .mBody = aBody },
             machines::upkeep_request{ 7, oriolewalk::machine_id("m-1"), 12 })
      .mResult;
  }

  std::vector<http::request> mSeen;
};

constexpr const char* kPage =
  R"({"machines":[{"machine":"m-1","pool":"p","state":"up","zone":"a",
  "labels":["x"],"capacity":{"cpu":1},"id":"w-1"},
  {"machine":"m-2","state":"upkeep"},{"machine":"m-3","state":"moving"},
  {"machine":"m-4","state":"down","id":null}],"nextToken":"n"})";

} // namespace

TEST_CASE("a page of machines is read in full")
{
  service_scene scene;
  const machines::call_answer answer = scene.List(kPage);
  CHECK(answer.mResult == call_result::Done);
  CHECK(answer.mPage.mNextToken == "n");
  REQUIRE(answer.mPage.mMachines.size() == 4);
  CHECK(answer.mPage.mMachines[0].mMachine.Value() == "m-1");
  CHECK(answer.mPage.mMachines[0].mWorker.Value() == "w-1");
  CHECK(answer.mPage.mMachines[0].mState == machines::machine_state::Up);
  CHECK(answer.mPage.mMachines[1].mState == machines::machine_state::Upkeep);
  CHECK(answer.mPage.mMachines[1].mWorker.Value().empty());
  CHECK(answer.mPage.mMachines[2].mState == machines::machine_state::Moving);
  CHECK(answer.mPage.mMachines[3].mState == machines::machine_state::Down);
  CHECK(scene.mSeen[0].mMethod == "GET");
  CHECK(scene.mSeen[0].mTarget == "/v1/machines");
  CHECK(scene.List(R"({"machines":[]})").mPage.mNextToken.empty());
  scene.Call({ .mStatus = 200, .mBody = kPage },
             machines::list_request{ "a b&c=/%" });
  CHECK(scene.mSeen.back().mTarget ==
        "/v1/machines?pageToken=a%20b%26c%3D%2F%25");
}

TEST_CASE("a page that can't be read in full is no page")
{
  // Guards against machines that seem to have left the list, and a wave that is
  // done without their upkeep.
  service_scene scene;
  for (const char* body : { "",
                            "{}",
                            R"({"machines":[{"machine":"m-1")",
                            R"({"machines":"none"})",
                            R"({"machines":[7]})",
                            R"({"machines":[{"state":"up"}]})",
                            R"({"machines":[],"nextToken":7})" }) {
    CAPTURE(body);
    CHECK(scene.List(body).mResult == call_result::NoAnswer);
  }
  CHECK(scene.List(kPage, 429).mResult == call_result::TooMany);
  CHECK(scene.List(kPage, 503).mResult == call_result::NoAnswer);
}

TEST_CASE("an upkeep is asked for in the leader's name and term")
{
  service_scene scene;
  CHECK(scene.Upkeep(200) == call_result::Done);
  const http::request& seen = scene.mSeen.at(0);
  CHECK(seen.mMethod == "POST");
  CHECK(seen.mTarget == "/v1/machine-upkeep");
  CHECK(seen.Find("X-Oriolewalk-Lease-Holder") == "core-a-1");
  CHECK(seen.Find("X-Oriolewalk-Fencing-Token") == "12");
  CHECK(seen.mBody == R"({"machine":"m-1","wave":7})");
}

TEST_CASE("each answer to an upkeep says whether it may have begun")
{
  // Guards against an answer that is taken for a refusal while the machine goes
  // down.
  service_scene scene;
  CHECK(scene.Upkeep(409, R"({"reason":"fence"})") == call_result::Fenced);
  CHECK(scene.Upkeep(409, R"({"reason":"busy"})") == call_result::Busy);
  CHECK(scene.Upkeep(409, R"({"reason":"wave"})") == call_result::OtherWave);
  CHECK(scene.Upkeep(400) == call_result::NoMachine);
  CHECK(scene.Upkeep(429) == call_result::TooMany);
  CHECK(scene.Upkeep(500) == call_result::NoAnswer);
  CHECK(scene.Upkeep(503) == call_result::NoAnswer);
}

TEST_CASE("the machine service's address is asked at each call")
{
  // Guards against calls to an address that the settings don't name any more.
  boost::asio::io_context context;
  http::client client(context, {});
  oriolewalk::settings::address address;
  std::vector<call_result> results;
  const auto port = platform::MakeMachinePort(
    client, [&]() { return address; }, "core-a-1");
  const auto call = [&]() {
    port({ 1, machines::list_request{} },
         [&](const machines::call_answer& aAnswer) {
           results.push_back(aAnswer.mResult);
           context.stop();
         });
  };
  call();
  CHECK(results == std::vector{ call_result::NotSent });
  http::server service(
    context,
    { "127.0.0.1", 0 },
    {},
    [](const http::request& /*aRequest*/, const http::responder& aResponder) {
      aResponder.Send({ .mStatus = 200, .mBody = R"({"machines":[]})" });
    });
  const auto started = service.Start();
  REQUIRE(started);
  address = { "127.0.0.1", *started };
  context.restart();
  call();
  context.run_for(oriolewalk::seconds(20));
  CHECK(results == std::vector{ call_result::NotSent, call_result::Done });
}
