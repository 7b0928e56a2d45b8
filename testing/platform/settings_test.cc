#include <string>

#include <catch2/catch.hpp>

#include "platform/settings.h"

namespace {

constexpr const char* kCore = R"(
nodeName: "core-a-1"
role: "control"
ip: "10.1.0.15"
zone: "a"
listen:
  control: "10.1.0.15:8166"
internalPorts:
  - 7720
  - 7735
seeds:
  - "10.1.0.15:8166"
  - "10.2.0.32:8166"
bootstrap: true
dataDir: "/data/control"
heartbeatMs: 1500
bounds:
  holdMaxMs: 3000
  stopTimeoutMs: 400
  status_s: 60
  graceS: 6
advice: "10.200.1.9:8169"
something:
  new: [1, 2]
)";

std::string
Without(const std::string& aLine)
{
  std::string text = kCore;
  const auto at = text.find(aLine);
  const auto end = text.find('\n', at);
  return text.erase(at, end - at);
}

} // namespace

TEST_CASE("a core instance's settings are read, unknown fields passed over")
{
  const auto settings = platform::ParseSettings(kCore);
  REQUIRE(settings);
  CHECK(settings->mNode == "core-a-1");
  CHECK(settings->mControl.mPort == 8166);
  CHECK(settings->mFirstPort == 7720);
  CHECK(settings->mFirstStart);
  CHECK(settings->mSeeds.size() == 2);
  CHECK(settings->mGrace == oriolewalk::milliseconds(6'000));
  // A lease is never asked for longer than a worker grants.
  CHECK(settings->mFlow.mMaxLease == oriolewalk::milliseconds(3'000));
  CHECK(settings->mFlow.mLease == oriolewalk::milliseconds(3'000));
  CHECK(settings->mFlow.mEndedJobRetention == oriolewalk::milliseconds(60'000));
  CHECK(platform::SeedAddresses(*settings)[1] == "10.2.0.32:7720");
  CHECK(settings->mDataFolder == "/data/control");
}

TEST_CASE("wrong settings name the field, the value and the reason")
{
  const auto problem = [](const std::string& aText) {
    const auto settings = platform::ParseSettings(aText);
    return settings ? std::string() : settings.error().mMessage;
  };
  CHECK(problem(Without("ip:")).find("'ip'") != std::string::npos);
  CHECK(problem(Without("  - 7735")).find("'internalPorts'") !=
        std::string::npos);
  std::string wrong = kCore;
  wrong.replace(wrong.find("10.2.0.32:8166"), 14, "nowhere");
  CHECK(problem(wrong).find("'seeds' with value 'nowhere'") !=
        std::string::npos);
  wrong = kCore;
  wrong.replace(wrong.find("holdMaxMs: 3000"), 15, "holdMaxMs: soon");
  CHECK(problem(wrong).find("'bounds.holdMaxMs' with value 'soon'") !=
        std::string::npos);
  CHECK_FALSE(problem("[1, 2]").empty());
  CHECK_FALSE(problem("a: [").empty());
}

TEST_CASE("the machine service's limits are halved")
{
  // An earlier leader may have made the other half of the calls in the same
  // second.
  std::string text = kCore;
  text += "cloud:\n  address: \"10.200.1.7:8170\"\n  dutyPerS: 5\n"
          "  ratePerS: 3\n  maintenanceS: 4.5\n";
  const auto settings = platform::ParseSettings(text);
  REQUIRE(settings);
  CHECK(settings->mMachines.mHost == "10.200.1.7");
  CHECK(settings->mFlow.mUpkeep.mOrdersPerS == 2.5);
  CHECK(settings->mFlow.mUpkeep.mPagesPerS == 1.5);
  CHECK(settings->mFlow.mUpkeep.mMaintenance ==
        oriolewalk::milliseconds(4'500));
  const auto plain = platform::ParseSettings(kCore);
  REQUIRE(plain);
  CHECK(plain->mMachines.mHost.empty());
  text.replace(text.find("dutyPerS: 5"), 11, "dutyPerS: 0");
  const auto wrong = platform::ParseSettings(text);
  REQUIRE(!wrong);
  CHECK(wrong.error().mMessage.find("'cloud.dutyPerS'") != std::string::npos);
}

TEST_CASE("a node's number is its IP number")
{
  CHECK(platform::NodeNumber("10.1.0.15") == 0x0A01000F);
  CHECK(platform::NodeNumber("localhost") == 0);
}
