#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/entry_limiter.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {
namespace {

constexpr std::uint64_t kSeed = 3;
const organisation_id kTaksa("taksa");
const time_point kStart{ seconds(1000) };

entry_request
From(const organisation_id& aOrganisation,
     work_class aClass,
     std::string_view aCaller = "c")
{
  return { aOrganisation, aCaller, aClass };
}

bool
Admitted(entry_limiter& aLimiter,
         const entry_request& aRequest,
         time_point aNow)
{
  const entry_verdict verdict = aLimiter.Admit(aRequest, aNow);
  return !verdict.mRefused.has_value();
}

// Admits requests until the first refusal and returns how many were admitted.
int
Fill(entry_limiter& aLimiter, const entry_request& aRequest)
{
  int admitted = 0;
  while (admitted < 10000 && Admitted(aLimiter, aRequest, kStart)) {
    ++admitted;
  }
  return admitted;
}

TEST_CASE("calls in progress do not count against their caller")
{
  // One caller sends forty requests at once before the first answer. If calls
  // in progress counted as refused, the caller would be throttled.
  entry_limiter limiter({}, kSeed);
  CHECK(Fill(limiter, From(kTaksa, work_class::Urgent)) >= 40);
}

TEST_CASE("urgent calls are admitted when lower classes have used their share")
{
  entry_limiter limiter({}, kSeed);
  const int heavy = Fill(limiter, From(kTaksa, work_class::Heavy));
  const int normal = Fill(limiter, From(kTaksa, work_class::Normal));
  const int urgent = Fill(limiter, From(kTaksa, work_class::Urgent));
  CHECK(heavy > 0);
  CHECK(normal > 0);
  CHECK(urgent >= 9);
  CHECK(static_cast<double>(heavy + normal + urgent) <= limiter.Limit());
}

TEST_CASE("one organisation's calls do not shut out another organisation")
{
  // The first organisation sends all it can; the second one, of equal weight,
  // arrives later. It gets calls in progress immediately, and its half of the
  // limit as calls of the first one end.
  entry_limiter limiter({}, kSeed);
  const entry_request first = From(organisation_id("a"), work_class::Normal);
  const entry_request second = From(organisation_id("b"), work_class::Normal);
  REQUIRE(Admitted(limiter, second, kStart));
  const int most = Fill(limiter, first);
  CHECK(most <= 32);
  CHECK(Fill(limiter, second) >= 10);
}

TEST_CASE("the limit falls with slow and lost calls, and recovers")
{
  entry_limiter limiter({}, kSeed);
  const entry_request request = From(kTaksa, work_class::Urgent);
  time_point now = kStart;
  const auto call = [&](const control_call& aCall) {
    limiter.Admit(request, now);
    limiter.OnFinished(request, aCall, now);
    now += milliseconds(200);
  };
  const double before = limiter.Limit();
  for (int slow = 0; slow < 10; ++slow) {
    call({ call_result::Lost, milliseconds(100) });
  }
  const double reduced = limiter.Limit();
  CHECK(reduced < 0.5 * before);
  for (int step = 0; step < 100; ++step) {
    const int filled = Fill(limiter, request);
    for (int each = 0; each < filled; ++each) {
      limiter.OnFinished(request, { call_result::Accepted, {} }, now);
    }
  }
  CHECK(limiter.Limit() > before);
}

TEST_CASE("control's refusals of one caller do not throttle another caller")
{
  // Control refuses nearly all requests of a hot caller. The entry stops
  // sending most of them. Another caller of the same organisation, whose
  // requests are accepted, must not be affected.
  entry_limiter limiter({}, kSeed);
  const entry_request hot = From(kTaksa, work_class::Normal, "hot");
  const entry_request calm = From(kTaksa, work_class::Normal, "calm");
  int hotSent = 0;
  int calmRefused = 0;
  for (int step = 0; step < 1000; ++step) {
    const time_point now = kStart + milliseconds(step);
    if (Admitted(limiter, hot, now)) {
      ++hotSent;
      limiter.OnFinished(hot, { call_result::Refused, milliseconds(1) }, now);
    }
    if (step % 10 == 0) {
      if (!Admitted(limiter, calm, now)) {
        ++calmRefused;
      } else {
        limiter.OnFinished(
          calm, { call_result::Accepted, milliseconds(1) }, now);
      }
    }
  }
  CHECK(hotSent < 200);
  CHECK(hotSent > 10); // still detects that control accepts again
  CHECK(calmRefused == 0);
}

TEST_CASE("urgent calls are served when control is the bottleneck")
{
  // Control serves 2 calls a millisecond, and 5 arrive: 1 urgent and 4 normal.
  // Without the limiter control's queue grows by 3 calls a millisecond, and
  // every call of any class is lost within a second.
  entry_options options;
  options.mSlowCall = milliseconds(20);
  entry_limiter limiter(options, kSeed);
  std::deque<std::pair<entry_request, time_point>> control;
  const organisation_id normals("b");
  std::uint64_t urgentOffered = 0;
  std::uint64_t urgentQuick = 0;
  for (int step = 0; step < 5000; ++step) {
    const time_point now = kStart + milliseconds(step);
    for (int arrived = 0; arrived < 5; ++arrived) {
      const bool urgent = arrived == 2;
      const entry_request request = urgent ? From(kTaksa, work_class::Urgent)
                                           : From(normals, work_class::Normal);
      urgentOffered += urgent ? 1 : 0;
      if (Admitted(limiter, request, now)) {
        control.emplace_back(request, now);
      }
    }
    for (int served = 0; served < 2 && !control.empty(); ++served) {
      const auto [request, since] = control.front();
      control.pop_front();
      limiter.OnFinished(request, { call_result::Accepted, now - since }, now);
      urgentQuick +=
        request.mClass == work_class::Urgent && now - since < milliseconds(100)
          ? 1
          : 0;
    }
  }
  CHECK(static_cast<double>(urgentQuick) >
        0.95 * static_cast<double>(urgentOffered));
}

TEST_CASE("the number of caller records is bounded")
{
  entry_limiter limiter({}, kSeed);
  for (std::size_t caller = 0; caller < 3 * entry_limiter::kMaxCallers;
       ++caller) {
    const std::string name = std::to_string(caller);
    const entry_request request = From(kTaksa, work_class::Urgent, name);
    limiter.Admit(request, kStart);
    limiter.OnFinished(request, { call_result::Accepted, {} }, kStart);
  }
  CHECK(limiter.Callers() <= entry_limiter::kMaxCallers);
  CHECK(limiter.InProgress() == 0);
}

TEST_CASE("all entries together stay within a target's connections")
{
  CHECK(ConnectionsPerEntry(60, 7) * 7 <= 60);
  CHECK(ConnectionsPerEntry(60, 7) >= 8);
  CHECK(ConnectionsPerEntry(3, 7) == 1);
}

} // namespace
} // namespace oriolewalk::traffic
