#pragma once

// The operator of a soak: changes the table of queues, at times two changes at
// once and at two control processes, sends again what got no answer, and reads
// back at every control process.
//
//   table_operator desk(context, options, client, book);
//   desk.Start();
//   desk.Close();   // no more changes; reads go on
//
// The soak's one thread.

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/base/timer.h"
#include "oriolewalk/http/client.h"
#include "testing/soak/caller_crowd.h"
#include "testing/soak/promise_book.h"

namespace oriolewalk::soak {

struct desk_options
{
  std::vector<settings::address> mControls;
  std::vector<queue_place> mQueues; // the second one asks the policy service
  std::uint64_t mSeed = 1;
  bool mOrganisations = true; // without them every queue is public
};

class table_operator
{
public:
  table_operator(boost::asio::io_context& aContext,
                 desk_options aOptions,
                 http::client& aClient,
                 promise_book& aBook);

  // Sends the first table until it is taken, then goes on with changes.
  void Start();
  void Close() { mOpen = false; }
  [[nodiscard]] bool IsReady() const { return mReady; }
  // The version that the last whole read at each process gave; 0: none yet.
  [[nodiscard]] const std::vector<std::int64_t>& LastRead() const
  {
    return mLastRead;
  }

private:
  void Put(std::int64_t aVersion, std::size_t aControl);
  void Change();
  void Read(std::size_t aControl);
  [[nodiscard]] bytes WriteTable(std::int64_t aVersion) const;

  boost::asio::io_context& mContext;
  desk_options mOptions;
  http::client& mClient;
  promise_book& mBook;
  random_source mRandom;
  bool mOpen = true;
  bool mReady = false;
  std::int64_t mVersion = 1;
  std::vector<std::int64_t> mLastRead;
};

} // namespace oriolewalk::soak
