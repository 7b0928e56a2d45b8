#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <filesystem>
#include <future>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <fcntl.h>

#include "oriolewalk/flow/messages.h"
#include "oriolewalk/host/control_host.h"

namespace oriolewalk::host {

namespace {

constexpr seconds kPatience{ 20 };

std::string
FreeAddress()
{
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

struct temporary_folder
{
  std::string mPath = "/tmp/late-leader-XXXXXX";

  temporary_folder() { REQUIRE(mkdtemp(mPath.data()) != nullptr); }
  ~temporary_folder() { std::filesystem::remove_all(mPath); }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  temporary_folder(temporary_folder&&) = delete;
  temporary_folder& operator=(temporary_folder&&) = delete;
};

// A control process that is a group of its own, without workers.
class lone_process
{
public:
  lone_process()
    : mHost(
        mContext,
        Options(),
        [](const flow::worker_order&, const order_callback& aDone) {
          aDone({});
        },
        [](const flow::advice_request&, const advice_callback& aDone) {
          aDone(flow::approvals{});
        },
        [](const machines::machine_call&, const machine_callback& aDone) {
          aDone({});
        },
        mLog)
  {
    REQUIRE(mHost.Start());
    const time_point until = runtime_clock::now() + kPatience;
    while (!mHost.Leads() && runtime_clock::now() < until) {
      RunFor(milliseconds(5));
    }
    REQUIRE(mHost.Leads());
  }

  [[nodiscard]] const std::string& Address() const { return mAddress; }
  boost::asio::io_context& Context() { return mContext; }
  void RunFor(milliseconds aSpan) { mContext.run_for(aSpan); }

private:
  [[nodiscard]] control_options Options() const
  {
    control_options options;
    options.mCluster = "test";
    options.mNode = 1;
    options.mAddress = mAddress;
    options.mDataFolder = mFolder.mPath;
    options.mFirstStart = true;
    options.mFounders = { { 1, mAddress } };
    return options;
  }

  temporary_folder mFolder;
  std::string mAddress = FreeAddress();
  boost::asio::io_context mContext{ 1 };
  observe::decision_log mLog{ open("/dev/null", O_WRONLY | O_CLOEXEC),
                              "control",
                              "1" };
  control_host mHost;
};

// Whether a probe is answered while the leader's control thread does nothing
// but wait for the answer.
bool
IsProbeAnsweredMeanwhile(lone_process& aLeader, wire::rpc_node& aClient)
{
  constexpr seconds kTimeout{ 1 };
  auto asked = std::make_shared<std::promise<bool>>();
  auto answered = asked->get_future();
  bool isAnswered = false;
  boost::asio::post(aLeader.Context(), [&]() {
    aClient.Call(aLeader.Address(),
                 flow::kFlowCall,
                 Encode(flow::flow_request(flow::leader_probe{})),
                 kTimeout,
                 [asked](const result<bytes>& aReply) {
                   asked->set_value(aReply.has_value());
                 });
    isAnswered = answered.get();
  });
  aLeader.RunFor(milliseconds(50));
  return isAnswered;
}

} // namespace

TEST_CASE("a leader that is busy with other work still says that it is there")
{
  // Guards against entries that refuse their callers because the leader is
  // late.
  lone_process leader;
  wire::rpc_node client{ wire::rpc_options{} };
  // The leader may be held up for longer than its lease, and says nothing then.
  constexpr int kAttempts = 10;
  bool answered = false;
  for (int attempt = 0; attempt < kAttempts && !answered; ++attempt) {
    answered = IsProbeAnsweredMeanwhile(leader, client);
  }
  CHECK(answered);
}

} // namespace oriolewalk::host
