#include <catch2/catch.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/settings/address.h"
#include "oriolewalk/settings/settings.h"

namespace oriolewalk::settings {
namespace {

struct sample_settings
{
  std::string mFolder = "data";
  std::uint64_t mSlots = 8;
  milliseconds mLease{ 2000 };
  bool mSlow = false;
  address mListen;
  std::vector<peer> mPeers;
};

settings_parser
MakeParser(sample_settings& aSettings)
{
  settings_parser parser("sample", "a test");
  parser.Text("data-folder", aSettings.mFolder, "PATH", "where files live");
  parser.Number("slots", aSettings.mSlots, { 1, 64 }, "slots", "at once");
  parser.Duration("lease", aSettings.mLease, {}, "how long");
  parser.Switch("slow", aSettings.mSlow, "be slow");
  parser.Address("listen", aSettings.mListen, "where to listen");
  parser.PeerList("peers", aSettings.mPeers, "all of us");
  parser.Require("listen");
  return parser;
}

end_program
Ended(const parse_outcome& aOutcome)
{
  REQUIRE(std::holds_alternative<end_program>(aOutcome));
  return std::get<end_program>(aOutcome);
}

using words = std::vector<std::string>;

TEST_CASE("flags go before variables, and variables before defaults")
{
  sample_settings settings;
  settings_parser parser = MakeParser(settings);
  const auto outcome =
    parser.Parse(words{ "--slots=3", "--listen", "127.0.0.1:80", "--slow" },
                 words{ "ORIOLE_SLOTS=5", "ORIOLE_DATA_FOLDER=x" });
  REQUIRE(std::holds_alternative<run_program>(outcome));
  CHECK(settings.mSlots == 3);
  CHECK(settings.mFolder == "x");
  CHECK(settings.mLease == milliseconds(2000));
  CHECK(settings.mSlow);
  CHECK(settings.mListen == address{ "127.0.0.1", 80 });
}

TEST_CASE("everything that is wrong is told at once with what is allowed")
{
  sample_settings settings;
  settings_parser parser = MakeParser(settings);
  const auto end =
    Ended(parser.Parse(words{ "--slots", "65", "--bogus", "--lease", "2s" },
                       words{ "ORIOLE_PEERS=1=nowhere:1@a" }));
  CHECK(end.mCode == kExitUsage);
  CHECK_THAT(end.mText,
             Catch::Contains("--slots (ORIOLE_SLOTS) is '65': allowed are "
                             "whole numbers from 1 to 64") &&
               Catch::Contains("--bogus is not known") &&
               Catch::Contains("--lease (ORIOLE_LEASE) is '2s'") &&
               Catch::Contains("--listen (ORIOLE_LISTEN) is needed") &&
               Catch::Contains("--peers (ORIOLE_PEERS)"));
}

TEST_CASE("bad words and missing values end with usage")
{
  const auto [arguments, text] = GENERATE(table<words, std::string>({
    { { "--listen" }, "--listen needs a value" },
    { { "word", "--listen=127.0.0.1:1" }, "'word' is no flag" },
    { { "--listen=127.0.0.1:99999" }, "allowed is IP:PORT" },
    { { "--listen=localhost:1" }, "allowed is IP:PORT" },
    { { "--listen=127.0.0.1:1", "--slow=yes" }, "--slow=yes" },
    { { "-x", "--listen=127.0.0.1:1" }, "-x is not known" },
  }));
  sample_settings settings;
  const auto end = Ended(MakeParser(settings).Parse(arguments, {}));
  CHECK(end.mCode == kExitUsage);
  CHECK_THAT(end.mText, Catch::Contains(text));
}

TEST_CASE("help lists each setting with unit, default and variable")
{
  sample_settings settings;
  settings_parser parser = MakeParser(settings);
  const auto end = Ended(parser.Parse(words{ "--help" }, {}));
  CHECK(end.mCode == kExitDone);
  for (const setting& one : parser.Table()) {
    CHECK_THAT(end.mText, Catch::Contains("--" + one.mName));
    CHECK_THAT(end.mText, Catch::Contains(one.Variable()));
  }
  CHECK_THAT(end.mText,
             Catch::Contains("--lease ms") && Catch::Contains("default: 2000"));
  CHECK_THAT(Ended(parser.Parse(words{ "--version" }, {})).mText,
             Catch::StartsWith("sample "));
}

TEST_CASE("checking says that settings are right, or "
          "what is wrong with them")
{
  sample_settings settings;
  settings_parser parser = MakeParser(settings);
  parser.Check([&] { return FolderProblem("data-folder", settings.mFolder); });
  const words right{ "--check", "--listen=127.0.0.1:1", "--data-folder=." };
  CHECK(Ended(parser.Parse(right, {})).mCode == kExitDone);
  const words wrong{ "--listen=127.0.0.1:1", "--data-folder=/no/such" };
  const auto end = Ended(parser.Parse(wrong, {}));
  CHECK(end.mCode == kExitUsage);
  CHECK_THAT(end.mText, Catch::Contains("--data-folder is '/no/such'"));
}

TEST_CASE("a peer list names each peer once and holds its reader")
{
  const auto peers = ParsePeers("1=127.0.0.1:7001@a,2=[::1]:7002@b");
  REQUIRE(peers);
  CHECK(peers->at(1).ToString() == "2=[::1]:7002@b");
  CHECK(SelfProblem(*peers, 1, { "127.0.0.1", 7001 }).empty());
  CHECK(SelfProblem(*peers, 3, { "127.0.0.1", 7001 }).size() == 1);
  CHECK(SelfProblem(*peers, 1, { "127.0.0.1", 7009 }).size() == 1);
  for (const char* text : { "",
                            "1=127.0.0.1:7001",
                            "0=127.0.0.1:7001@a",
                            "1=127.0.0.1:0@a",
                            "x=127.0.0.1:1@a",
                            "1=127.0.0.1:1@",
                            "1=127.0.0.1:1@a,1=127.0.0.1:2@a",
                            "1=127.0.0.1:1@a,2=127.0.0.1:1@a" }) {
    CAPTURE(text);
    CHECK_FALSE(ParsePeers(text));
  }
}

} // namespace
} // namespace oriolewalk::settings
