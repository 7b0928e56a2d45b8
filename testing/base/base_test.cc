#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/base/work_class.h"

namespace oriolewalk {
namespace {

struct sample
{
  worker_id mWorker;
  std::vector<int> mNumbers;
  std::variant<int, std::string> mChoice;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mNumbers, mChoice);
  }
};

TEST_CASE("a record comes back as it was written")
{
  const sample original{ worker_id("w1"), { 1, 2, 3 }, std::string("x") };
  const auto copy = Decode<sample>(Encode(original), "test");
  REQUIRE(copy);
  CHECK(copy->mWorker == original.mWorker);
  CHECK(copy->mNumbers == original.mNumbers);
  CHECK(copy->mChoice == original.mChoice);
}

TEST_CASE("cut and padded records are refused, not read in part")
{
  const bytes whole = Encode(sample{ worker_id("w1"), { 1 }, 7 });
  for (std::size_t length = 0; length < whole.size(); ++length) {
    CHECK_FALSE(Decode<sample>(whole.substr(0, length), "test"));
  }
  const auto padded = Decode<sample>(whole + "x", "test");
  REQUIRE_FALSE(padded);
  CHECK(padded.error().mCode == error_code::Corrupt);
}

TEST_CASE("an error tells code, step and peer in one line")
{
  const error inner{ error_code::Timeout, "claim", {}, "no answer" };
  CHECK(inner.At("request").With("10.0.0.1:1").Describe() ==
        "timeout at request: claim with 10.0.0.1:1: no answer");
}

TEST_CASE("a held clock moves timers only when it is advanced")
{
  const paused_clock clock;
  boost::asio::io_context context;
  runtime_timer timer(context);
  timer.expires_after(seconds(30));
  bool fired = false;
  timer.async_wait([&fired](const auto&) { fired = true; });
  context.poll();
  CHECK_FALSE(fired);
  paused_clock::Advance(seconds(31));
  context.run();
  CHECK(fired);
}

TEST_CASE("the classes of work read back by their names and keep their numbers")
{
  for (const work_class each : kClasses) {
    CHECK(ParseWorkClass(ToString(each)) == each);
    CHECK(kClasses.at(IndexOf(each)) == each);
  }
  // As in logs and snapshots that are on disks by now.
  CHECK(ParseWorkClass("urgent") == work_class{ 0 });
  CHECK(ParseWorkClass("normal") == work_class{ 1 });
  CHECK(ParseWorkClass("heavy") == work_class{ 2 });
  for (const auto* text : { "", "Urgent", "heavy ", "urgen", "*" }) {
    CHECK(ParseWorkClass(text) == std::nullopt);
  }
}

TEST_CASE("one seed gives one series")
{
  random_source first(7);
  random_source second(7);
  for (int draw = 0; draw < 100; ++draw) {
    CHECK(first.Below(1000) == second.Below(1000));
    const double fraction = first.Fraction();
    CHECK(fraction == second.Fraction());
    CHECK((fraction >= 0.0 && fraction < 1.0));
  }
}

} // namespace
} // namespace oriolewalk
