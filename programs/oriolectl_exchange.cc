#include "programs/oriolectl.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::ctl {

namespace {

constexpr unsigned kFirstRefusal = 300;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kUnavailable = 503;
constexpr milliseconds kRoundPause{ 200 };
constexpr milliseconds kLeastTry{ 300 };
constexpr milliseconds kTryTimeout{ 5'000 };

// One request to one entry. Blocks: oriolectl has nothing else to do.
http::send_outcome
SendOnce(const settings::address& aEntry,
         const http::request& aRequest,
         milliseconds aTimeout)
{
  boost::asio::io_context context(1);
  http::client web(context, {});
  std::optional<http::send_outcome> outcome;
  constexpr std::size_t kMaxAnswer = 64UL * 1024 * 1024;
  web.Send(aEntry,
           aRequest,
           { .mConnectTimeout = std::min(aTimeout, milliseconds(1000)),
             .mTotalTimeout = aTimeout,
             .mMaxAnswerBytes = kMaxAnswer },
           [&](http::send_outcome aOutcome) {
             outcome = std::move(aOutcome);
             web.Close();
           });
  context.run();
  if (!outcome) {
    return http::unknown_outcome{};
  }
  return *std::move(outcome);
}

// The answer's words for a person: its "error", or its "errors" by cell.
std::string
RefusalText(const http::response& aResponse)
{
  try {
    const boost::json::value value = boost::json::parse(aResponse.mBody);
    const auto& object = value.as_object();
    if (const auto* errors = object.if_contains("errors")) {
      return "the table was refused:\n" + ToTables(*errors);
    }
    if (const auto* text = object.if_contains("error")) {
      return std::string(text->as_string());
    }
  } catch (const std::exception&) {
    return aResponse.mBody;
  }
  return aResponse.mBody;
}

// One command's tries.
class exchange
{
public:
  exchange(const options& aOptions, resend aResend)
    : mOptions(aOptions)
    , mResend(aResend)
    , mDue(runtime_clock::now() + aOptions.mTimeout)
  {
  }

  exchange_result Run(const http::request& aRequest)
  {
    // A try cut short by the end of the time would make an unknown outcome of
    // one that was plainly not taken, so none is begun close to it.
    for (std::size_t turn = 0; !mFinal && (turn == 0 || TimeLeft() > kLeastTry);
         ++turn) {
      const auto& entries = mOptions.mEntries;
      if (turn > 0 && turn % entries.size() == 0) {
        std::this_thread::sleep_for(std::min(kRoundPause, TimeLeft()));
      }
      const settings::address& entry = entries[turn % entries.size()];
      Take(SendOnce(entry, aRequest, std::min(TimeLeft(), kTryTimeout)), entry);
    }
    if (mFinal) {
      return *std::move(mFinal);
    }
    const bool unknown = mMaybeDone && mResend != resend::Reads;
    return { unknown ? verdict::Unknown : verdict::Failed, {}, mReason };
  }

private:
  [[nodiscard]] milliseconds TimeLeft() const
  {
    return std::max(
      std::chrono::duration_cast<milliseconds>(mDue - runtime_clock::now()),
      milliseconds(0));
  }

  void Take(http::send_outcome aOutcome, const settings::address& aEntry)
  {
    std::visit(overloaded{
                 [&](http::answered& aAnswer) {
                   TakeAnswer(std::move(aAnswer.mResponse), aEntry);
                 },
                 [&](const http::never_started& aNone) {
                   mReason = aNone.mError.Describe();
                 },
                 [&](const http::unknown_outcome& aLost) {
                   TakeUnknown(aLost.mError.Describe());
                 },
               },
               aOutcome);
  }

  void TakeAnswer(http::response aResponse, const settings::address& aEntry)
  {
    const unsigned status = aResponse.mStatus;
    const std::string said = aEntry.ToString() + " said " +
                             std::to_string(status) + ": " + aResponse.mBody;
    if (status == kUnavailable) {
      mReason = said;
    } else if (status >= kFirstServerError) {
      TakeUnknown(said);
    } else {
      mFinal = { status < kFirstRefusal ? verdict::Done : verdict::Refused,
                 std::move(aResponse),
                 {} };
    }
  }

  void TakeUnknown(std::string aReason)
  {
    mMaybeDone = true;
    mReason = std::move(aReason);
    if (mResend == resend::Never) {
      mFinal = { verdict::Unknown, {}, mReason };
    }
  }

  const options& mOptions;
  const resend mResend;
  const time_point mDue;
  bool mMaybeDone = false;
  std::string mReason = "no time was left to ask";
  std::optional<exchange_result> mFinal;
};

} // namespace

exchange_result
Exchange(const options& aOptions, const http::request& aRequest, resend aResend)
{
  return exchange(aOptions, aResend).Run(aRequest);
}

const std::string&
ChangeId(options& aOptions)
{
  if (aOptions.mChangeId.empty()) {
    std::random_device device;
    aOptions.mChangeId = "ctl-" + std::to_string(WallMilliseconds()) + "-" +
                         std::to_string(device());
  }
  std::fprintf(stderr, "change id: %s\n", aOptions.mChangeId.c_str());
  return aOptions.mChangeId;
}

int
Conclude(const exchange_result& aResult, std::string_view aAgain)
{
  switch (aResult.mVerdict) {
    case verdict::Done:
      return kExitDone;
    case verdict::Refused:
      std::fprintf(stderr,
                   "refused (%u): %s\n",
                   aResult.mResponse.mStatus,
                   RefusalText(aResult.mResponse).c_str());
      return kExitRefused;
    case verdict::Failed:
      std::fprintf(
        stderr, "failed, nothing was changed: %s\n", aResult.mReason.c_str());
      return kExitRefused;
    case verdict::Unknown:
      break;
  }
  std::fprintf(stderr,
               "the outcome is not known, it may have been done: %s\n%.*s\n",
               aResult.mReason.c_str(),
               static_cast<int>(aAgain.size()),
               aAgain.data());
  return kExitUnknown;
}

int
Show(const options& aOptions,
     const http::request& aRequest,
     resend aResend,
     std::string_view aAgain)
{
  const exchange_result outcome = Exchange(aOptions, aRequest, aResend);
  const int code = Conclude(outcome, aAgain);
  if (outcome.mResponse.mBody.empty() ||
      (code != kExitDone && !aOptions.mJson)) {
    return code;
  }
  if (aOptions.mJson) {
    std::printf("%s\n", outcome.mResponse.mBody.c_str());
    return code;
  }
  try {
    std::fputs(ToTables(boost::json::parse(outcome.mResponse.mBody)).c_str(),
               stdout);
  } catch (const std::exception&) {
    std::printf("%s\n", outcome.mResponse.mBody.c_str());
  }
  return code;
}

} // namespace oriolewalk::ctl
