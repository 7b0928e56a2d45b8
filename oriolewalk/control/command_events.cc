#include "oriolewalk/control/command_events.h"

#include <string>
#include <variant>

#include "oriolewalk/base/overloaded.h"

namespace oriolewalk::control {

namespace {

using events = std::vector<observe::event>;

observe::event
RequestEvent(std::string_view aKind, const ledger::request_ref& aRef)
{
  observe::event made;
  made.mKind = aKind;
  made.mRequest = aRef.ToString();
  made.mOrganisation = aRef.mOrganisation.Value();
  return made;
}

events
LedgerEvents(const ledger::ledger_command& aCommand,
             const ledger::ledger_outcome& aOutcome)
{
  return std::visit(
    overloaded{
      [&](const ledger::claim& aClaim) -> events {
        const bool granted = aOutcome.mVerdict == ledger::verdict::Granted;
        observe::event made =
          RequestEvent(granted ? "claimed" : "claim-refused", aClaim.mRef);
        made.mTarget = aClaim.mPlacement.mTarget.Value();
        made.mDetail = "attempt " + std::to_string(aOutcome.mAttempt);
        return { made };
      },
      [](const ledger::finish& aFinish) -> events {
        switch (aFinish.mResult) {
          case ledger::attempt_result::Answered:
            return { RequestEvent("completed", aFinish.mRef) };
          case ledger::attempt_result::NotStarted:
            return { RequestEvent("not-started", aFinish.mRef) };
          case ledger::attempt_result::Unknown:
            break;
        }
        return { RequestEvent("unknown", aFinish.mRef) };
      },
      [](const ledger::refusal& aRefusal) -> events {
        return { RequestEvent("not-run", aRefusal.mRef) };
      },
      [](const ledger::owner_lost& aLost) -> events {
        return { { .mKind = "entry-lost",
                   .mDetail = aLost.mOwner.mInstance.Value() } };
      },
    },
    aCommand);
}

observe::event
TaskEvent(std::string_view aKind, const cell::task_id& aTask)
{
  observe::event made;
  made.mKind = aKind;
  made.mJob = ToString(aTask);
  return made;
}

events
CellEvents(const cell::cell_command& aCommand,
           const cell::apply_outcome& aOutcome)
{
  events made;
  if (aOutcome.mRefusal && !aOutcome.mChanged) {
    return made;
  }
  std::visit(overloaded{
               [&](const cell::submit_job& aSubmit) {
                 observe::event one;
                 one.mKind =
                   aOutcome.mReplayed ? "submitted-again" : "submitted";
                 one.mOrganisation = aSubmit.mSpec.mOrganisation.Value();
                 one.mJob = aOutcome.mJob ? ToString(*aOutcome.mJob) : "";
                 made.push_back(one);
               },
               [&](const cell::cancel_job& aCancel) {
                 made.push_back(
                   { .mKind = "cancelled", .mJob = ToString(aCancel.mJob) });
               },
               [&](const cell::start_tasks& aStart) {
                 for (const cell::placement& placement : aStart.mPlacements) {
                   observe::event one = TaskEvent("started", placement.mTask);
                   one.mWorker = placement.mWorker.Value();
                   made.push_back(one);
                 }
               },
               [&](const cell::stop_task& aStop) {
                 observe::event one = TaskEvent("stopping", aStop.mTask);
                 one.mDetail = ToString(aStop.mReason);
                 made.push_back(one);
               },
               [&](const cell::task_ended& aEnded) {
                 observe::event one = TaskEvent("ended", aEnded.mTask);
                 one.mWorker = aEnded.mWorker.Value();
                 one.mDetail = ToString(aEnded.mResult);
                 made.push_back(one);
               },
               [&](const cell::workers_lost& aLost) {
                 for (const cell::worker_life& life : aLost.mLives) {
                   made.push_back({ .mKind = "worker-lost",
                                    .mWorker = life.mWorker.Value() });
                 }
               },
               [&](const cell::register_worker& aWorker) {
                 made.push_back({ .mKind = "worker-registered",
                                  .mWorker = aWorker.mWorker.Value() });
               },
               [](const auto&) {},
             },
             aCommand);
  return made;
}

} // namespace

std::vector<observe::event>
EventsOf(const command& aCommand, const applied& aOutcome)
{
  return std::visit(
    overloaded{
      [&](const ledger::ledger_command& aOne) {
        return LedgerEvents(aOne, std::get<ledger::ledger_outcome>(aOutcome));
      },
      [&](const weights::edit& aEdit) -> events {
        const auto& outcome = std::get<weights::edit_outcome>(aOutcome);
        const auto* accepted = std::get_if<weights::edit_accepted>(&outcome);
        observe::event one;
        one.mKind =
          accepted != nullptr ? "weights-accepted" : "weights-refused";
        one.mDetail = aEdit.mChangeId;
        return { one };
      },
      [&](const cell::cell_command& aOne) {
        return CellEvents(aOne, std::get<cell::apply_outcome>(aOutcome));
      },
    },
    aCommand.mBody);
}

} // namespace oriolewalk::control
