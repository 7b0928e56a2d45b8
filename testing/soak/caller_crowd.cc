#include "testing/soak/caller_crowd.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <functional>
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

constexpr milliseconds kDeadline{ 3'000 };
constexpr milliseconds kConnectBound{ 500 };
constexpr int kMostTries = 8;
constexpr milliseconds kAskEvery{ 400 };
constexpr milliseconds kCancelAfter{ 300 };
// One intruder beside so many jobs, and one such question beside so many.
constexpr std::uint64_t kIntruderEach = 4;
constexpr std::uint64_t kSpyEach = 6;
constexpr unsigned kUnauthorized = 401;
// Of the jobs, in hundredths.
constexpr std::uint64_t kCancelShare = 8;
constexpr std::uint64_t kMostSteps = 3;
constexpr std::uint64_t kMostTasks = 5;
// A stop leaves the entry so long; and another fault counts so long after.
constexpr seconds kGrace{ 6 };
constexpr seconds kHarmLasts{ 4 };

unsigned
StatusOf(const http::send_outcome& aOutcome)
{
  const auto* answer = std::get_if<http::answered>(&aOutcome);
  return answer == nullptr ? 0 : answer->mResponse.mStatus;
}

milliseconds
RetryAfter(const http::send_outcome& aOutcome)
{
  constexpr int kMostSeconds = 3;
  int wait = 0;
  if (const auto* answer = std::get_if<http::answered>(&aOutcome)) {
    const auto text = answer->mResponse.Find("Retry-After").value_or("");
    std::from_chars(text.data(), text.data() + text.size(), wait);
  }
  return seconds(std::min(wait, kMostSeconds)) + milliseconds(100);
}

job_id
DrawId(random_source& aRandom)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aRandom.Bits()));
  return job_id(std::string(text.data()));
}

bytes
WriteJob(const job_shape& aShape)
{
  json::array steps;
  for (std::size_t step = 0; step < aShape.size(); ++step) {
    json::object one{ { "count", aShape[step] },
                      { "cpu", 1'000 },
                      { "memMb", 100 },
                      { "estMs", 300 } };
    if (step > 0) {
      one["dependsOn"] = json::array{ step - 1 };
    }
    steps.emplace_back(std::move(one));
  }
  return json::serialize(
    json::object{ { "spec", "soak" }, { "steps", std::move(steps) } });
}

} // namespace

caller_crowd::caller_crowd(boost::asio::io_context& aContext,
                           crowd_options aOptions,
                           http::client& aClient,
                           promise_book& aBook)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mClient(aClient)
  , mBook(aBook)
  , mRandom(mOptions.mSeed)
  , mTimer(aContext)
  , mEntries(mOptions.mEntries.size())
{
}

void
caller_crowd::Start()
{
  if (!mOpen) {
    return;
  }
  Make();
  if (mOptions.mOrganisations && mRandom.Below(kIntruderEach) == 0) {
    Intrude();
  }
  constexpr double kMsPerSecond = 1'000;
  mTimer.expires_after(milliseconds(static_cast<std::int64_t>(
    kMsPerSecond / mOptions.mJobsPerSecond * 2 * mRandom.Fraction())));
  mTimer.async_wait([this](const auto& aProblem) {
    if (!aProblem) {
      Start();
    }
  });
}

void
caller_crowd::NoteHarm(std::size_t aEntry)
{
  mEntries[aEntry].mHarmedAt = runtime_clock::now();
}

void
caller_crowd::NoteHarm()
{
  for (std::size_t entry = 0; entry < mEntries.size(); ++entry) {
    NoteHarm(entry);
  }
}

void
caller_crowd::NoteStop(std::size_t aEntry)
{
  mEntries[aEntry].mStoppedAt = runtime_clock::now();
}

void
caller_crowd::Make()
{
  auto made = std::make_shared<job>();
  made->mId = DrawId(mRandom);
  made->mQueue = mRandom.Below(mOptions.mQueues.size());
  made->mOrganisation = mRandom.Below(kOrganisations);
  job_shape shape;
  for (std::uint64_t step = mRandom.Below(kMostSteps) + 1; step > 0; --step) {
    shape.push_back(static_cast<std::uint32_t>(mRandom.Below(kMostTasks) + 1));
  }
  made->mBody = WriteJob(shape);
  constexpr std::uint64_t kHundred = 100;
  made->mCancels = mRandom.Below(kHundred) < kCancelShare;
  mBook.Sent(made->mId, std::move(shape));
  ++mSent;
  HandIn(made);
}

void
caller_crowd::Intrude()
{
  job intruder;
  intruder.mId = DrawId(mRandom);
  // A table that is acknowledged takes away what an earlier one gave.
  const std::int64_t newest = mBook.NewestTable();
  const std::string key =
    newest > 1 ? PassingKey(1 + static_cast<std::int64_t>(mRandom.Below(
                                  static_cast<std::uint64_t>(newest - 1))))
               : std::string(kKeyMark) + "-unknown";
  SendWithKey(intruder,
              "POST",
              WriteJob({ 1 }),
              key,
              [this](const http::send_outcome& aOutcome) {
                if (StatusOf(aOutcome) == 200) {
                  mBook.Note("a job was accepted with a key that was taken "
                             "away");
                }
              });
}

void
caller_crowd::Spy(const std::shared_ptr<job>& aJob)
{
  SendWithKey(*aJob,
              "GET",
              {},
              StableKey((aJob->mOrganisation + 1) % kOrganisations),
              [this, aJob](const http::send_outcome& aOutcome) {
                if (StatusOf(aOutcome) == 200) {
                  mBook.Note("a job was shown to another's key: " +
                             aJob->mId.Value());
                }
              });
}

void
caller_crowd::Send(const job& aJob,
                   const std::string& aMethod,
                   const bytes& aBody,
                   const http::send_callback& aDone)
{
  const std::string key = mOptions.mOrganisations && aJob.mQueue == 0
                            ? StableKey(aJob.mOrganisation)
                            : std::string();
  SendWithKey(aJob,
              aMethod,
              aBody,
              key,
              [this, aDone](const http::send_outcome& aOutcome) {
                if (StatusOf(aOutcome) == kUnauthorized) {
                  mBook.Note("a caller with a valid key was refused");
                }
                aDone(aOutcome);
              });
}

void
caller_crowd::SendWithKey(const job& aJob,
                          const std::string& aMethod,
                          const bytes& aBody,
                          const std::string& aKey,
                          const http::send_callback& aDone)
{
  const std::size_t entry = mRandom.Below(mOptions.mEntries.size());
  const queue_place& queue = mOptions.mQueues[aJob.mQueue];
  http::request request{ .mMethod = aMethod,
                         .mTarget = queue.mPrefix + aJob.mId.Value(),
                         .mHeaders = { { "Host", queue.mHost },
                                       { "Content-Type", "application/json" },
                                       { "X-Oriolewalk-Deadline-Ms",
                                         std::to_string(kDeadline.count()) } },
                         .mBody = aBody };
  if (!aKey.empty()) {
    request.mHeaders.push_back({ "Authorization", "Token " + aKey });
  }
  mClient.Send(mOptions.mEntries[entry],
               std::move(request),
               { .mConnectTimeout = kConnectBound, .mTotalTimeout = kDeadline },
               [this, entry, sentAt = runtime_clock::now(), aDone](
                 const http::send_outcome& aOutcome) {
                 Judge(entry, sentAt, aOutcome);
                 aDone(aOutcome);
               });
}

// Beside a planned stop and nothing else, a call that was sent to the entry
// before or while it stops gets its whole answer.
void
caller_crowd::Judge(std::size_t aEntry,
                    time_point aSentAt,
                    const http::send_outcome& aOutcome)
{
  const auto* lost = std::get_if<http::unknown_outcome>(&aOutcome);
  const entry_times& times = mEntries[aEntry];
  if (lost == nullptr || lost->mError.mCode == error_code::Timeout) {
    return;
  }
  const time_point now = runtime_clock::now();
  const bool stopping = aSentAt < times.mStoppedAt + kGrace &&
                        now >= times.mStoppedAt &&
                        times.mStoppedAt != time_point{};
  if (stopping && times.mHarmedAt + kHarmLasts < aSentAt) {
    mBook.CutAtPlannedStop("entry " + std::to_string(aEntry) + " (" +
                           lost->mError.Describe() + ")");
  }
}

void
caller_crowd::HandIn(const std::shared_ptr<job>& aJob)
{
  ++aJob->mTries;
  Send(*aJob, "POST", aJob->mBody, [this, aJob](const auto& aOutcome) {
    HandedIn(aJob, aOutcome);
  });
}

void
caller_crowd::HandedIn(const std::shared_ptr<job>& aJob,
                       const http::send_outcome& aOutcome)
{
  constexpr unsigned kTooMany = 429;
  constexpr unsigned kUnavailable = 503;
  const unsigned status = StatusOf(aOutcome);
  if (status == 200) {
    mBook.Accepted(aJob->mId, runtime_clock::now());
    aJob->mAccepted = true;
    Follow(aJob);
    if (aJob->mCancels) {
      RunAfter(mContext, kCancelAfter, [this, aJob]() { Cancel(aJob); });
    }
    return;
  }
  const bool refused = status == kTooMany || status == kUnavailable ||
                       std::holds_alternative<http::never_started>(aOutcome);
  aJob->mAllRefused = aJob->mAllRefused && refused;
  if (aJob->mTries < kMostTries) {
    RunAfter(mContext, RetryAfter(aOutcome), [this, aJob]() { HandIn(aJob); });
  } else if (aJob->mAllRefused) {
    ++mRefused;
    mBook.Refused(aJob->mId);
  }
}

void
caller_crowd::Cancel(const std::shared_ptr<job>& aJob)
{
  if (aJob->mOver) {
    return;
  }
  aJob->mCancelSent = true;
  mBook.CancelSent(aJob->mId);
  Send(*aJob, "DELETE", {}, [this, aJob](const auto& aOutcome) {
    if (StatusOf(aOutcome) == 200) {
      mBook.CancelAcked(aJob->mId, runtime_clock::now());
    } else {
      RunAfter(mContext, kAskEvery, [this, aJob]() { Cancel(aJob); });
    }
  });
}

void
caller_crowd::Follow(const std::shared_ptr<job>& aJob)
{
  RunAfter(mContext, kAskEvery, [this, aJob]() { AskState(aJob); });
}

void
caller_crowd::AskState(const std::shared_ptr<job>& aJob)
{
  if (mOptions.mOrganisations && aJob->mQueue == 0 &&
      mRandom.Below(kSpyEach) == 0) {
    Spy(aJob);
  }
  Send(*aJob, "GET", {}, [this, aJob](const http::send_outcome& aOutcome) {
    constexpr unsigned kGone = 410;
    const unsigned status = StatusOf(aOutcome);
    const time_point now = runtime_clock::now();
    if (status == kGone) {
      mBook.Shown(aJob->mId, "", now);
    } else if (status == 200) {
      const auto body = platform::ParseObject(
        std::get<http::answered>(aOutcome).mResponse.mBody);
      const std::string state =
        body ? platform::TextOf(*body, "state") : std::string();
      mBook.Shown(aJob->mId, state, now);
      aJob->mOver = state == "done" || state == "cancelled";
    }
    if (!aJob->mOver) {
      Follow(aJob);
    }
  });
}

} // namespace oriolewalk::soak
