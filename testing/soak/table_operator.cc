#include "testing/soak/table_operator.h"

#include <memory>
#include <utility>
#include <variant>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "platform/json.h"
#include "testing/soak/run_after.h"
#include "testing/soak/soak_keys.h"

namespace oriolewalk::soak {

namespace json = boost::json;

namespace {

constexpr milliseconds kPutBound{ 1'000 };
constexpr milliseconds kAgain{ 200 };
constexpr milliseconds kReadEvery{ 300 };
constexpr milliseconds kChangeEvery{ 500 };
constexpr std::uint64_t kChangeSpanMs = 900;
constexpr std::uint64_t kRaceEach = 3;
constexpr std::uint64_t kMostSkipped = 4; // versions rise by uneven steps

// The maxima change with each version, and each takes a key away.
json::array
WriteTenants(std::int64_t aVersion)
{
  json::array tenants;
  for (std::size_t organisation = 0; organisation < kOrganisations;
       ++organisation) {
    json::array keys{ StableKey(organisation) };
    if (organisation == 0) {
      keys.emplace_back(PassingKey(aVersion));
    }
    // The maximum changes with each version, from two tasks to seven.
    constexpr std::int64_t kLeastTasks = 2;
    constexpr std::int64_t kSpan = 6;
    const std::int64_t tasks =
      kLeastTasks +
      (aVersion + static_cast<std::int64_t>(organisation)) % kSpan;
    tenants.emplace_back(json::object{
      { "name", "org" + std::to_string(organisation) },
      { "apiKeys", std::move(keys) },
      { "weight", organisation + 1 },
      { "maxCount",
        json::object{
          { "cpu", 1'000 * tasks }, { "memMb", 0 }, { "gpu", 0 } } } });
  }
  return tenants;
}

} // namespace

table_operator::table_operator(boost::asio::io_context& aContext,
                               desk_options aOptions,
                               http::client& aClient,
                               promise_book& aBook)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mClient(aClient)
  , mBook(aBook)
  , mRandom(mOptions.mSeed)
  , mLastRead(mOptions.mControls.size())
{
}

void
table_operator::Start()
{
  Put(mVersion, 0);
  for (std::size_t control = 0; control < mOptions.mControls.size();
       ++control) {
    Read(control);
  }
  Change();
}

bytes
table_operator::WriteTable(std::int64_t aVersion) const
{
  json::array routes;
  int number = 0;
  for (const queue_place& queue : mOptions.mQueues) {
    json::object route{ { "name", "q" + std::to_string(number) },
                        { "host", queue.mHost },
                        { "pathPrefix", queue.mPrefix },
                        { "kind", "unsafe" },
                        // What tells one version from the next.
                        { "timeoutMs", 3'000 + aVersion },
                        { "targetLatencyMs", 500 },
                        { "priority", number },
                        { "service", "pay" },
                        { "maxAttempts", 4 },
                        { "stretch", 2.0 },
                        { "public", number == 1 } };
    if (number == 1) {
      route["advice"] = json::object{ { "decideMs", 5.0 },
                                      { "periodMs", 0.2 },
                                      { "validMs", 2'000 } };
    }
    routes.emplace_back(std::move(route));
    ++number;
  }
  json::array services;
  services.emplace_back(json::object{ { "name", "pay" },
                                      { "healthPath", "/health" },
                                      { "maxConns", 64 },
                                      { "protocol", "h1" },
                                      { "tls", false },
                                      { "admissionControl", false },
                                      { "standby", false } });
  json::object table{ { "version", aVersion },
                      { "routes", std::move(routes) },
                      { "services", std::move(services) },
                      { "limits",
                        json::object{ { "maxBodyBytes", 262'144 } } } };
  if (mOptions.mOrganisations) {
    table["tenants"] = WriteTenants(aVersion);
  }
  return json::serialize(table);
}

void
table_operator::Put(std::int64_t aVersion, std::size_t aControl)
{
  mClient.Send(
    mOptions.mControls[aControl],
    { .mMethod = "POST",
      .mTarget = "/v1/config/put",
      .mHeaders = { { "Content-Type", "application/json" } },
      .mBody = WriteTable(aVersion) },
    { .mConnectTimeout = kPutBound, .mTotalTimeout = kPutBound },
    [this, aVersion, aControl](const http::send_outcome& aOutcome) {
      const auto* answer = std::get_if<http::answered>(&aOutcome);
      const unsigned status = answer == nullptr ? 0 : answer->mResponse.mStatus;
      if (status == 200) {
        mReady = true;
        mBook.TableAcked(aVersion, runtime_clock::now());
        return;
      }
      constexpr unsigned kFirstRefusal = 400;
      constexpr unsigned kFirstTrouble = 500;
      if (status >= kFirstRefusal && status < kFirstTrouble) {
        mBook.Note("table " + std::to_string(aVersion) +
                   " is refused with status " + std::to_string(status));
        return;
      }
      RunAfter(mContext, kAgain, [this, aVersion, aControl]() {
        Put(aVersion, (aControl + 1) % mOptions.mControls.size());
      });
    });
}

void
table_operator::Change()
{
  RunAfter(mContext,
           kChangeEvery + milliseconds(mRandom.Below(kChangeSpanMs)),
           [this]() {
             if (!mOpen) {
               return;
             }
             if (mReady) {
               mVersion +=
                 1 + static_cast<std::int64_t>(mRandom.Below(kMostSkipped));
               const std::size_t control =
                 mRandom.Below(mOptions.mControls.size());
               Put(mVersion, control);
               if (mRandom.Below(kRaceEach) == 0) {
                 ++mVersion;
                 Put(mVersion, (control + 1) % mOptions.mControls.size());
               }
             }
             Change();
           });
}

void
table_operator::Read(std::size_t aControl)
{
  const time_point asked = runtime_clock::now();
  mClient.Send(
    mOptions.mControls[aControl],
    { .mMethod = "GET", .mTarget = "/v1/config/get" },
    { .mConnectTimeout = kPutBound, .mTotalTimeout = kPutBound },
    [this, aControl, asked](const http::send_outcome& aOutcome) {
      const auto* answer = std::get_if<http::answered>(&aOutcome);
      if (answer != nullptr && answer->mResponse.mStatus == 200) {
        const auto body = platform::ParseObject(answer->mResponse.mBody);
        const std::int64_t version =
          body ? platform::IntegerOf(*body, "version") : 0;
        mLastRead[aControl] = version;
        mBook.TableShown(version, asked);
        if (answer->mResponse.mBody != WriteTable(version)) {
          mBook.Note("table " + std::to_string(version) +
                     " is not read back as it was sent");
        }
      }
      RunAfter(mContext, kReadEvery, [this, aControl]() { Read(aControl); });
    });
}

} // namespace oriolewalk::soak
