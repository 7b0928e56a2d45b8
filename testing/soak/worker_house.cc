#include "testing/soak/worker_house.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <string>
#include <utility>
#include <variant>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "platform/json.h"
#include "testing/soak/worker_side.h"

namespace oriolewalk::soak {

namespace {

namespace json = boost::json;

constexpr milliseconds kTick{ 10 };
constexpr milliseconds kBeatBound{ 1'000 };
// A worker goes on for so long if its deregistration gets no answer.
constexpr milliseconds kEndsAnyway{ 3'500 };
// One answer to a deregistration in so many is lost.
constexpr std::uint64_t kLostAnswerOneIn = 3;
// A life that left begins anew so much later.
constexpr milliseconds kBetweenLives{ 500 };
constexpr cell::resources kCapacity{ 8'000, 8'000, 0 };
// A task's time, unless its job says otherwise.
constexpr std::uint64_t kLeastWorkMs = 60;
constexpr std::uint64_t kWorkSpanMs = 500;
// One worker in four fails the first attempts of odd tasks.
constexpr std::size_t kFailsEach = 4;
// The policy lets this share of the workers run a step, the same for all of its
// questions; and one of them always, or the step could never run.
constexpr std::size_t kApprovedOf = 10;
constexpr std::size_t kApproved = 7;

// Of "w3-1", the first life at the fourth place.
std::size_t
PlaceOf(const std::string& aId)
{
  std::size_t place = 0;
  std::from_chars(aId.data() + 1, aId.data() + aId.size(), place);
  return place;
}

bool
IsApproved(const std::string& aStep,
           const std::string& aId,
           std::size_t aWorkers)
{
  const std::hash<std::string> draw;
  return draw(aStep + aId) % kApprovedOf < kApproved ||
         draw(aStep) % aWorkers == PlaceOf(aId);
}

} // namespace

worker_house::worker_house(boost::asio::io_context& aContext,
                           house_options aOptions,
                           http::client& aClient,
                           promise_book& aBook)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mClient(aClient)
  , mBook(aBook)
  , mRandom(mOptions.mSeed)
  , mPlaces(mOptions.mWorkers)
  , mTimer(aContext)
{
  mOracle.mOnStart = [this](const flow::run_ref& aRun) {
    mBook.Started(aRun, runtime_clock::now());
  };
  mOracle.mOnEnd = [this](const flow::run_ref& aRun, flow::run_outcome aHow) {
    mBook.Ended(aRun, aHow);
  };
}

result<void>
worker_house::Start()
{
  for (std::size_t worker = 0; worker < mPlaces.size(); ++worker) {
    place& made = mPlaces[worker];
    const auto port = static_cast<std::uint16_t>(mOptions.mFirstPort + worker);
    const settings::address own{ mOptions.mServerIp, port };
    made.mServer = std::make_unique<http::server>(
      mContext,
      own,
      http::server_limits{},
      [this, worker](const http::request& aRequest,
                     const http::responder& aCaller) {
        OnCall(worker, aRequest, aCaller);
      });
    made.mLink = std::make_unique<link_proxy>(
      mContext, settings::address{ mOptions.mRelayIp, port }, own);
    if (const auto served = made.mServer->Start(); !served) {
      return Fail(served.error());
    }
    if (auto relayed = made.mLink->Start(); !relayed) {
      return relayed;
    }
    made.mControl = worker % mOptions.mControls.size();
    Begin(worker);
  }
  mPolicy = std::make_unique<http::server>(
    mContext,
    mOptions.mPolicy,
    http::server_limits{},
    [this](const http::request& aRequest, const http::responder& aCaller) {
      OnAdvice(aRequest, aCaller);
    });
  if (const auto served = mPolicy->Start(); !served) {
    return Fail(served.error());
  }
  Tick();
  return {};
}

void
worker_house::Begin(std::size_t aWorker)
{
  place& one = mPlaces[aWorker];
  // Every second life keeps the id of the one before.
  const std::uint64_t id = 1 + one.mLives++ / 2;
  flow::worker_description facts;
  facts.mId =
    worker_id("w" + std::to_string(aWorker) + "-" + std::to_string(id));
  facts.mAddress = settings::address{ mOptions.mRelayIp,
                                      static_cast<std::uint16_t>(
                                        mOptions.mFirstPort + aWorker) }
                     .ToString();
  facts.mService = service_id("pay");
  facts.mDataCentre = data_centre_id("a");
  facts.mLabels = { "a", "r" + std::to_string(aWorker / 4) };
  facts.mCapacity = kCapacity;
  constexpr double kMostSlow = 0.02;
  one.mWorker = std::make_unique<flow::fake_worker>(
    std::move(facts), kMostSlow * mRandom.Fraction(), mOracle);
  one.mWorker->Restart(runtime_clock::now()); // its counts and clock are new
  one.mWorker->mTaskSize = mOptions.mTaskSize;
  one.mWorker->mWorkTime =
    milliseconds(kLeastWorkMs + mRandom.Below(kWorkSpanMs));
  one.mWorker->mFailsFirstAttempts = aWorker % kFailsEach == 0;
  one.mBeats = 0;
  one.mBeatAt = {};
  one.mLeavesAt.reset();
  one.mEndsAt.reset();
  one.mRebornAt.reset();
}

void
worker_house::Crash(std::size_t aWorker, milliseconds aDownFor)
{
  mPlaces[aWorker].mWorker->Crash(runtime_clock::now());
  EndProcess(aWorker, aDownFor);
}

void
worker_house::EndProcess(std::size_t aWorker, milliseconds aDownFor)
{
  place& one = mPlaces[aWorker];
  one.mWaiting.clear();
  one.mLeavesAt.reset();
  one.mEndsAt.reset();
  one.mRebornAt = runtime_clock::now() + aDownFor;
  one.mLink->Reset();
}

void
worker_house::Drain(std::size_t aWorker, milliseconds aLinger)
{
  place& one = mPlaces[aWorker];
  if (one.mWorker->IsUp() && !one.mLeavesAt) {
    one.mWorker->mDraining = true;
    one.mLeavesAt = runtime_clock::now() + aLinger;
    one.mBeatAt = {};
  }
}

void
worker_house::OnCall(std::size_t aWorker,
                     const http::request& aRequest,
                     const http::responder& aCaller)
{
  const time_point now = runtime_clock::now();
  for (place& one : mPlaces) {
    // A lease that has lapsed elsewhere by now must have ended what ran there.
    one.mWorker->Advance(now);
  }
  place& here = mPlaces[aWorker];
  const auto order = ReadOrder(aRequest);
  if (!order) {
    aCaller.Send({ .mStatus = 400 });
    return;
  }
  if (!here.mWorker->IsUp()) {
    return; // dropped: the caller sees a broken call
  }
  const flow::order_answer answer = here.mWorker->Handle(*order, now);
  const auto* look = std::get_if<flow::poll_order>(&order->mBody);
  if (look != nullptr && look->mWaitMs > 0 && answer.mEnded.empty() &&
      answer.mResult == flow::order_result::Done) {
    here.mWaiting.push_back(
      { aCaller, *order, now + milliseconds(look->mWaitMs) });
    return;
  }
  aCaller.Send(WriteAnswer(answer));
}

void
worker_house::AnswerWaiting(place& aPlace, time_point aNow)
{
  std::erase_if(aPlace.mWaiting, [&](const waiting_look& aLook) {
    const flow::order_answer answer =
      aPlace.mWorker->Handle(aLook.mOrder, aNow);
    const bool over = aNow >= aLook.mUntil || !answer.mEnded.empty() ||
                      answer.mResult != flow::order_result::Done;
    if (over) {
      aLook.mCaller.Send(WriteAnswer(answer));
    }
    return over;
  });
}

void
worker_house::OnAdvice(const http::request& aRequest,
                       const http::responder& aCaller)
{
  const auto body = platform::ParseObject(aRequest.mBody);
  const json::array* workers =
    body ? platform::ArrayOf(*body, "workers") : nullptr;
  if (workers == nullptr) {
    aCaller.Send({ .mStatus = 400 });
    return;
  }
  const std::string step = platform::TextOf(*body, "step");
  json::array approved;
  for (const json::value& worker : *workers) {
    const std::string id = platform::ToText(worker);
    if (id.size() > 1 && IsApproved(step, id, mPlaces.size())) {
      approved.emplace_back(json::array{ id, "ticket-" + step });
    }
  }
  aCaller.Send({ .mStatus = 200,
                 .mHeaders = { { "Content-Type", "application/json" } },
                 .mBody = json::serialize(
                   json::object{ { "approved", std::move(approved) } }) });
}

void
worker_house::Tick()
{
  const time_point now = runtime_clock::now();
  for (std::size_t worker = 0; worker < mPlaces.size(); ++worker) {
    place& one = mPlaces[worker];
    one.mWorker->Advance(now);
    if (one.mRebornAt && now >= *one.mRebornAt) {
      Begin(worker);
    }
    if (one.mWorker->IsUp()) {
      AnswerWaiting(one, now);
      TickDrain(worker, now);
    }
    if (one.mWorker->IsUp() && now >= one.mBeatAt && !one.mBeatUnderWay &&
        !one.mEndsAt) {
      Beat(worker, now);
    }
  }
  mTimer.expires_after(kTick);
  mTimer.async_wait([this](const auto& aProblem) {
    if (!aProblem) {
      Tick();
    }
  });
}

void
worker_house::TickDrain(std::size_t aWorker, time_point aNow)
{
  place& one = mPlaces[aWorker];
  if (one.mLeavesAt && aNow >= *one.mLeavesAt && !one.mEndsAt) {
    one.mEndsAt = aNow + kEndsAnyway;
    Farewell(aWorker);
  }
  if (one.mEndsAt && aNow >= *one.mEndsAt) {
    Leave(aWorker);
  }
}

void
worker_house::Leave(std::size_t aWorker)
{
  mPlaces[aWorker].mWorker->Leave(runtime_clock::now());
  EndProcess(aWorker, kBetweenLives);
}

void
worker_house::Beat(std::size_t aWorker, time_point aNow)
{
  place& one = mPlaces[aWorker];
  one.mBeatAt = aNow + mOptions.mBeatEvery;
  one.mBeatUnderWay = true;
  mClient.Send(mOptions.mControls[one.mControl],
               WriteBeat(one.mWorker->Description(),
                         one.mWorker->mDraining,
                         one.mWorker->ClockMs(aNow),
                         ++one.mBeats),
               { .mConnectTimeout = kBeatBound, .mTotalTimeout = kBeatBound },
               [this, aWorker](const http::send_outcome& aOutcome) {
                 place& here = mPlaces[aWorker];
                 here.mBeatUnderWay = false;
                 const auto* answer = std::get_if<http::answered>(&aOutcome);
                 if (answer == nullptr || answer->mResponse.mStatus != 200) {
                   here.mControl =
                     (here.mControl + 1) % mOptions.mControls.size();
                   here.mBeatAt = runtime_clock::now() + milliseconds(100);
                 }
               });
}

void
worker_house::Farewell(std::size_t aWorker)
{
  const place& one = mPlaces[aWorker];
  const bool isAnswerLost = mRandom.Below(kLostAnswerOneIn) == 0;
  mClient.Send(mOptions.mControls[one.mControl],
               WriteFarewell(one.mWorker->Description()),
               { .mConnectTimeout = kBeatBound, .mTotalTimeout = kBeatBound },
               [this, aWorker, isAnswerLost, life = one.mLives](
                 const http::send_outcome& aOutcome) {
                 const place& here = mPlaces[aWorker];
                 const auto* answer = std::get_if<http::answered>(&aOutcome);
                 const bool isAcknowledged = !isAnswerLost &&
                                             answer != nullptr &&
                                             answer->mResponse.mStatus == 200;
                 if (isAcknowledged && here.mLives == life && here.mEndsAt) {
                   Leave(aWorker);
                 }
               });
}

} // namespace oriolewalk::soak
