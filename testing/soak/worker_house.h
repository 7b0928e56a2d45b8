#pragma once

// The workers of a soak and the policy service beside them: HTTP servers that
// hold flow::fake_worker's promises and send heartbeats to the control
// processes as the platform's workers do.
//
//   worker_house house(context, options, client, book);
//   house.Start();
//   house.Crash(3, seconds(1));
//
// The house's thread is the soak's one thread.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/server.h"
#include "testing/flow/fake_worker.h"
#include "testing/soak/link_proxy.h"
#include "testing/soak/promise_book.h"

namespace oriolewalk::soak {

struct house_options
{
  std::size_t mWorkers = 8;
  std::string mServerIp;                    // where the workers listen
  std::string mRelayIp;                     // what they say of themselves
  std::uint16_t mFirstPort = 20'000;        // and each a port further
  settings::address mPolicy;                // where the policy service listens
  std::vector<settings::address> mControls; // who takes heartbeats
  milliseconds mBeatEvery{ 1'500 };
  cell::resources mTaskSize{ 1'000, 100, 0 };
  std::uint64_t mSeed = 1;
};

class worker_house
{
public:
  worker_house(boost::asio::io_context& aContext,
               house_options aOptions,
               http::client& aClient,
               promise_book& aBook);

  result<void> Start();
  // The life ends at once; the next one begins at the same address, every
  // second one under the same id.
  void Crash(std::size_t aWorker, milliseconds aDownFor);
  // It says that it leaves, serves on for aLinger and says farewell. It ends
  // with the answer, or seconds later without one; the next life begins a
  // moment after that.
  void Drain(std::size_t aWorker, milliseconds aLinger);
  [[nodiscard]] link_proxy& Link(std::size_t aWorker)
  {
    return *mPlaces[aWorker].mLink;
  }
  [[nodiscard]] const flow::run_oracle& Oracle() const { return mOracle; }

private:
  // An answer that waits for an end.
  struct waiting_look
  {
    http::responder mCaller;
    flow::worker_order mOrder;
    time_point mUntil;
  };
  struct place
  {
    std::unique_ptr<flow::fake_worker> mWorker;
    std::unique_ptr<http::server> mServer;
    std::unique_ptr<link_proxy> mLink;
    std::vector<waiting_look> mWaiting;
    std::uint64_t mLives = 0;
    std::int64_t mBeats = 0;
    time_point mBeatAt{};
    std::size_t mControl = 0; // whom it calls
    bool mBeatUnderWay = false;
    // Of a drain: farewell then.
    std::optional<time_point> mLeavesAt;
    // After its farewell: at the latest.
    std::optional<time_point> mEndsAt;
    std::optional<time_point> mRebornAt;
  };

  void Begin(std::size_t aWorker);
  void OnCall(std::size_t aWorker,
              const http::request& aRequest,
              const http::responder& aCaller);
  void OnAdvice(const http::request& aRequest, const http::responder& aCaller);
  void AnswerWaiting(place& aPlace, time_point aNow);
  void Tick();
  void Beat(std::size_t aWorker, time_point aNow);
  void Farewell(std::size_t aWorker);
  void Leave(std::size_t aWorker);
  void EndProcess(std::size_t aWorker, milliseconds aDownFor);
  void TickDrain(std::size_t aWorker, time_point aNow);

  boost::asio::io_context& mContext;
  house_options mOptions;
  http::client& mClient;
  promise_book& mBook;
  flow::run_oracle mOracle;
  random_source mRandom;
  std::vector<place> mPlaces;
  std::unique_ptr<http::server> mPolicy;
  runtime_timer mTimer;
};

} // namespace oriolewalk::soak
