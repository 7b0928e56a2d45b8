#pragma once

// The callers of a soak: they hand in jobs at any entry, come back after a
// refusal, send again what got no answer, ask for states, cancel some. The
// callers of the first queue have keys of organisations, the second one is
// public. Intruders use keys that were taken away or never existed, or ask with
// another organisation's key.
//
//   caller_crowd crowd(context, options, client, book);
//   crowd.Start();      // hands in jobs until Close()
//   crowd.Close();      // no new jobs; go on asking for what is owed
//
// The soak's one thread.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/client.h"
#include "testing/soak/promise_book.h"

namespace oriolewalk::soak {

// A queue as callers know it.
struct queue_place
{
  std::string mHost;
  std::string mPrefix;
};

struct crowd_options
{
  std::vector<settings::address> mEntries;
  std::vector<queue_place> mQueues;
  double mJobsPerSecond = 6;
  std::uint64_t mSeed = 1;
  bool mOrganisations = true; // callers have keys
};

class caller_crowd
{
public:
  caller_crowd(boost::asio::io_context& aContext,
               crowd_options aOptions,
               http::client& aClient,
               promise_book& aBook);

  void Start();
  void Close() { mOpen = false; }
  // Something else than a planned stop befalls the entry, or all of them.
  void NoteHarm(std::size_t aEntry);
  void NoteHarm();
  void NoteStop(std::size_t aEntry);
  [[nodiscard]] std::size_t Sent() const { return mSent; }
  [[nodiscard]] std::size_t RefusedCount() const { return mRefused; }

private:
  struct job
  {
    job_id mId;
    std::size_t mQueue = 0;
    std::size_t mOrganisation = 0; // whose key it is sent with
    bytes mBody;
    int mTries = 0;
    bool mAllRefused = true; // so far
    bool mAccepted = false;
    bool mCancels = false;
    bool mCancelSent = false;
    bool mOver = false;
  };
  struct entry_times
  {
    time_point mHarmedAt{};
    time_point mStoppedAt{};
  };

  void Make();
  void HandIn(const std::shared_ptr<job>& aJob);
  void HandedIn(const std::shared_ptr<job>& aJob,
                const http::send_outcome& aOutcome);
  void Follow(const std::shared_ptr<job>& aJob);
  void Cancel(const std::shared_ptr<job>& aJob);
  void AskState(const std::shared_ptr<job>& aJob);
  void Send(const job& aJob,
            const std::string& aMethod,
            const bytes& aBody,
            const http::send_callback& aDone);
  void SendWithKey(const job& aJob,
                   const std::string& aMethod,
                   const bytes& aBody,
                   const std::string& aKey,
                   const http::send_callback& aDone);
  // Hands in a job with a key that no table in force has.
  void Intrude();
  // Asks for the job with another organisation's key.
  void Spy(const std::shared_ptr<job>& aJob);
  void Judge(std::size_t aEntry,
             time_point aSentAt,
             const http::send_outcome& aOutcome);

  boost::asio::io_context& mContext;
  crowd_options mOptions;
  http::client& mClient;
  promise_book& mBook;
  random_source mRandom;
  runtime_timer mTimer;
  std::vector<entry_times> mEntries;
  bool mOpen = true;
  std::size_t mSent = 0;
  std::size_t mRefused = 0;
};

} // namespace oriolewalk::soak
