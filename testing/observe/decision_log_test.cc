#include <array>
#include <string>

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include "oriolewalk/observe/decision_log.h"

namespace oriolewalk::observe {

namespace {

// A pipe whose reading end nobody reads until Drain.
struct stopped_reader
{
  std::array<int, 2> mEnds{};

  stopped_reader() { REQUIRE(pipe2(mEnds.data(), O_NONBLOCK) == 0); }
  ~stopped_reader()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }
  stopped_reader(const stopped_reader&) = delete;
  stopped_reader& operator=(const stopped_reader&) = delete;
  stopped_reader(stopped_reader&&) = delete;
  stopped_reader& operator=(stopped_reader&&) = delete;

  [[nodiscard]] std::string Drain() const
  {
    std::string text;
    std::array<char, 4096> some{};
    for (;;) {
      const ssize_t got = read(mEnds[0], some.data(), some.size());
      if (got <= 0) {
        return text;
      }
      text.append(some.data(), static_cast<std::size_t>(got));
    }
  }
};

} // namespace

TEST_CASE("a decision is one line of JSON with its inputs")
{
  const stopped_reader reader;
  decision_log log(reader.mEnds[1], "control", "n1");
  log.Write("job.accepted", { { "job", "00\n\"x" }, { "queue", "fees" } });
  log.Flush();
  const std::string text = reader.Drain();
  CHECK(text.find(R"("e":"job.accepted")") != std::string::npos);
  CHECK(text.find(R"("job":"00\n\"x")") != std::string::npos);
  CHECK(text.find('\n') == text.size() - 1);
}

TEST_CASE(
  "a stopped reader delays nothing; what is dropped is counted and told")
{
  // Nobody reads standard output for a while, in a burst of decisions. The
  // process must go on, its memory must stay bounded, and the log must say
  // afterwards what is missing.
  const stopped_reader reader;
  decision_log log(reader.mEnds[1], "control", "n1");
  const std::string wide(1'000, 'x');
  constexpr std::uint64_t kLines = 5'000;
  for (std::uint64_t line = 0; line < kLines; ++line) {
    log.Write("run.start", { { "job", wide } });
    log.Flush();
  }
  CHECK(log.Written() + log.Dropped() == kLines);
  CHECK(log.Dropped() > kLines / 2);
  CHECK(log.Counts().at("run.start") == kLines);
  std::string text;
  constexpr int kRounds = 50;
  for (int round = 0; round < kRounds; ++round) {
    text += reader.Drain();
    log.Flush();
  }
  text += reader.Drain();
  CHECK(text.find(R"("e":"log.dropped")") != std::string::npos);
  CHECK(text.find("\"lines\":\"" + std::to_string(log.Dropped()) + "\"") !=
        std::string::npos);
}

} // namespace oriolewalk::observe
