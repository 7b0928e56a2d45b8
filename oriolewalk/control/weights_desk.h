#pragma once

// The leader's work with the weights table: who acts on which version, and the
// operators that wait to hear when their change is in force everywhere.
//
// Heartbeats of entries are held; a new version answers all of them at once,
// so that it reaches every entry a round trip after its commit, without a
// second channel. Owned by the control core while it leads. No I/O.

#include <cstdint>
#include <functional>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/control/call.h"
#include "oriolewalk/control/held_calls.h"
#include "oriolewalk/protocol/messages.h"
#include "oriolewalk/weights/in_force.h"
#include "oriolewalk/weights/weights_register.h"

namespace oriolewalk::control {

// An operator waits so long at most to hear that a version is in force
// everywhere: longer than a serving lease and the old leader's bound, within
// the 5 s that are promised under a fault.
constexpr milliseconds kInForceWait{ 4000 };

class weights_desk
{
public:
  using answer_function = std::function<void(call_id, protocol::answer_body)>;

  weights_desk(const weights::weights_register& aRegister,
               answer_function aAnswer,
               time_point aNow);

  void Heartbeat(call_id aCall,
                 const protocol::heartbeat& aBeat,
                 time_point aNow);
  // A new version was applied.
  void Changed(time_point aNow);
  // Answers when the version is in force everywhere, or after kInForceWait
  // with those that are pending named.
  void AnswerWhenInForce(call_id aCall,
                         std::uint64_t aVersion,
                         time_point aNow);
  void Tick(time_point aNow);

  [[nodiscard]] weights::in_force_report Report(time_point aNow) const
  {
    return mTracker.Report(mRegister.Version(), aNow);
  }

private:
  struct waiting_operator
  {
    call_id mCall;
    std::uint64_t mVersion = 0;
    time_point mUntil;
  };

  void Answer(call_id aCall, bool aGranted, std::uint64_t aActsOn);
  void AnswerOperators(time_point aNow);

  const weights::weights_register& mRegister;
  answer_function mAnswer;
  weights::in_force_tracker mTracker;
  held_calls<instance_id, protocol::heartbeat> mBeats;
  std::vector<waiting_operator> mOperators;
};

} // namespace oriolewalk::control
