#pragma once

// Keeps the serving lease: tells the leader again and again which version of
// the weights table this entry acts on, and takes over a newer one.
//
// Control thread only, but for the answers, which it moves there itself.

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
  using load_function = std::function<std::uint64_t()>;

  // aOnTable is called with each new table before it is confirmed; aInProgress
  // tells how many requests are in progress.
  heartbeat_loop(boost::asio::io_context& aControl,
                 control_link& aLink,
                 serving_state& aServing,
                 protocol::heartbeat aBeat,
                 table_function aOnTable,
                 load_function aInProgress);

  void Start() { Beat(); }

private:
  void Beat();
  void OnAnswer(const control_answer& aAnswer, time_point aSentAt);
  // False if nothing was taken over.
  bool Adopt(const protocol::heartbeat_answer& aAnswer);
  void Again(duration aPause);

  boost::asio::io_context& mControl;
  control_link& mLink;
  serving_state& mServing;
  protocol::heartbeat mBeat;
  table_function mOnTable;
  load_function mInProgress;
  weights::serving_lease mLease;
  runtime_timer mTimer;
};

} // namespace oriolewalk::entry
