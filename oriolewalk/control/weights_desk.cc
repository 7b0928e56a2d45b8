#include "oriolewalk/control/weights_desk.h"

#include <algorithm>
#include <utility>

#include "oriolewalk/control/operator_json.h"

namespace oriolewalk::control {

weights_desk::weights_desk(const weights::weights_register& aRegister,
                           answer_function aAnswer,
                           time_point aNow)
  : mRegister(aRegister)
  , mAnswer(std::move(aAnswer))
  , mTracker({}, aNow)
{
}

void
weights_desk::Heartbeat(call_id aCall,
                        const protocol::heartbeat& aBeat,
                        time_point aNow)
{
  const weights::confirm_answer confirmed = mTracker.Confirm(
    aBeat.mOwner.mInstance, aBeat.mWeightsVersion, mRegister.Version(), aNow);
  AnswerOperators(aNow);
  if (!confirmed.mGranted) {
    Answer(aCall, false, aBeat.mWeightsVersion);
    return;
  }
  const auto former = mBeats.Hold(
    aBeat.mOwner.mInstance,
    { aCall, aBeat, aNow + milliseconds(protocol::kHeartbeatHoldMs) });
  if (former) {
    Answer(former->mCall, true, former->mQuestion.mWeightsVersion);
  }
}

void
weights_desk::Answer(call_id aCall, bool aGranted, std::uint64_t aActsOn)
{
  protocol::heartbeat_answer answer{ aGranted, mRegister.Version(), {} };
  if (aActsOn != mRegister.Version()) {
    answer.mGranted = false;
    answer.mTable = mRegister.Current().ToCsv();
  }
  mAnswer(aCall, answer);
}

void
weights_desk::Changed(time_point aNow)
{
  for (const auto& [instance, held] : mBeats.TakeAll()) {
    Answer(held.mCall, true, held.mQuestion.mWeightsVersion);
  }
  AnswerOperators(aNow);
}

void
weights_desk::AnswerWhenInForce(call_id aCall,
                                std::uint64_t aVersion,
                                time_point aNow)
{
  mOperators.push_back({ aCall, aVersion, aNow + kInForceWait });
  AnswerOperators(aNow);
}

void
weights_desk::AnswerOperators(time_point aNow)
{
  std::erase_if(mOperators, [&](const waiting_operator& aWaiting) {
    const weights::in_force_report report =
      mTracker.Report(aWaiting.mVersion, aNow);
    if (!report.mEverywhere && aNow < aWaiting.mUntil) {
      return false;
    }
    mAnswer(aWaiting.mCall, InForceAnswer(aWaiting.mVersion, report));
    return true;
  });
}

void
weights_desk::Tick(time_point aNow)
{
  for (const auto& [instance, held] : mBeats.TakeDue(aNow)) {
    Answer(held.mCall, true, held.mQuestion.mWeightsVersion);
  }
  AnswerOperators(aNow);
}

} // namespace oriolewalk::control
