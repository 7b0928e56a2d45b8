#pragma once

// Renews the serving lease: reports to the leader in a loop which version of
// the weights table this entry uses, and adopts newer versions.
//
// Control thread only. Answers arrive on other threads and are posted to the
// control thread.

#include <functional>

#include <boost/asio/io_context.hpp>

#include "oriolewalk/base/timer.h"
#include "oriolewalk/entry/control_link.h"
#include "oriolewalk/entry/serving_state.h"
#include "oriolewalk/protocol/messages.h"
#include "oriolewalk/weights/serving_lease.h"
#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::entry {

class heartbeat_loop
{
public:
  using table_function = std::function<void(const weights::weights_table&)>;
  using count_function = std::function<std::uint64_t()>;

  // aOnTable is called with each new table before it is confirmed; aInProgress
  // returns the number of requests in progress.
  heartbeat_loop(boost::asio::io_context& aControl,
                 control_link& aLink,
                 serving_state& aServing,
                 protocol::heartbeat aHeartbeat,
                 table_function aOnTable,
                 count_function aInProgress);

  void Start() { SendHeartbeat(); }

private:
  void SendHeartbeat();
  void OnAnswer(const control_answer& aAnswer, time_point aSentAt);
  // Returns false if no table was adopted.
  bool AdoptTable(const protocol::heartbeat_answer& aAnswer);
  void RetryAfter(duration aDelay);

  boost::asio::io_context& mControl;
  control_link& mLink;
  serving_state& mServing;
  protocol::heartbeat mHeartbeat;
  table_function mOnTable;
  count_function mInProgress;
  weights::serving_lease mLease;
  runtime_timer mTimer;
};

} // namespace oriolewalk::entry
