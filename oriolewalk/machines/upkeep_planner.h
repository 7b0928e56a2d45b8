#pragma once

// Decides what is done next for the operators' waves: which machines are
// drained, which runs are stopped, and what is asked of the machine service.
//
//   upkeep_planner planner(options, term, lastCall, inherited, now);
//   upkeep_actions next = planner.Plan(input); // about every 100 ms
//   // make next.mCalls, stop next.mStops, propose next.mRecords ...
//   planner.OnAnswer(call, answer, now);
//
// It maintains these limits whatever the service answers:
// - At most maxCount machines of a wave are down at once. A machine counts from
//   the moment its order is sent until the list shows it up again. If an order
//   got no answer, it counts until a later order for it is answered, and the
//   list is read before that.
// - A machine gets its order only while the last list, which must be recent,
//   shows it up, and nothing runs there.
// - A long-running task ends only as the availability budget grants.
// - Calls keep the rates of the options, and back off after failures.
//
// The next leader knows nothing of the orders of this one. For waves that it
// inherits it waits until they have had their effect, and reads the list then.
//
// Soft state of the leader, bounded by the machines of open waves and by those
// that are down. Pure; no clock. Cost of a plan: linear in the machines of the
// waves and in the runs on those that are drained.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/machines/call_pacer.h"
#include "oriolewalk/machines/machine_call.h"
#include "oriolewalk/machines/machine_list.h"
#include "oriolewalk/machines/wave.h"

namespace oriolewalk::machines {

struct upkeep_options
{
  // For all processes together the service takes twice as many: an earlier
  // leader may have used its part of the same second.
  double mOrdersPerS = 1;
  double mPagesPerS = 1;
  // How long a machine is down at least.
  milliseconds mMaintenance{ 0 };
};

enum class run_kind : std::uint8_t
{
  Saved,       // resumes elsewhere from a checkpoint
  Unsaved,     // stopped, it starts from the beginning
  LongRunning, // ends only as the availability budget grants
  Starting,    // its start isn't committed yet
};

// A run on a machine. The key is the caller's own.
struct machine_run
{
  std::uint64_t mKey = 0;
  run_kind mKind = run_kind::Unsaved;
};

struct upkeep_input
{
  // All waves, ended ones too.
  const std::map<std::uint64_t, wave_record>* mWaves = nullptr;
  // What runs, or is about to run, on the worker.
  std::function<std::vector<machine_run>(const worker_id&)> mRunsAt;
  // Which of these long-running tasks may end now, by the availability budget.
  std::function<std::vector<std::uint64_t>(std::span<const std::uint64_t>)>
    mGrant;
  time_point mNow{};
  std::int64_t mWallMs = 0;
};

// For the decision log.
struct upkeep_note
{
  std::string_view mEvent; // a string literal
  std::vector<std::pair<std::string_view, std::string>> mFields;
};

struct settled_machine
{
  std::uint64_t mWave = 0;
  machine_id mMachine;
  bool mHasLeft = false; // it left the list, and has no upkeep

  auto operator<=>(const settled_machine&) const = default;
};

struct upkeep_actions
{
  std::vector<machine_call> mCalls;
  std::set<worker_id> mDraining;     // nothing new may be placed there
  std::set<worker_id> mDown;         // the workers of machines that count
  std::vector<std::uint64_t> mStops; // keys of runs
  // To be committed. Repeated until the waves show them.
  std::vector<settled_machine> mRecords;
  std::vector<upkeep_note> mNotes;
};

class upkeep_planner
{
public:
  // aInherited: the waves of which an earlier leader may have ordered upkeep.
  // Call ids rise from aLastCall.
  upkeep_planner(upkeep_options aOptions,
                 std::uint64_t aTerm,
                 std::uint64_t aLastCall,
                 std::set<std::uint64_t> aInherited,
                 time_point aNow);

  void OnAnswer(std::uint64_t aCall,
                const call_answer& aAnswer,
                time_point aNow);
  upkeep_actions Plan(const upkeep_input& aInput);

private:
  enum class order_phase : std::uint8_t
  {
    InFlight,
    Unanswered, // the list must be read
    Refused,    // counts until the list shows the machine's state
    Begun,      // the service has confirmed the upkeep
  };
  struct order_view
  {
    std::uint64_t mWave = 0;
    worker_id mWorker; // before the upkeep
    order_phase mPhase = order_phase::InFlight;
    time_point mChangedAt{};   // when the phase began
    bool mHadNoAnswer = false; // this order or an earlier one for the machine
  };
  struct wave_view
  {
    time_point mFirstSeenAt{};
    bool mLateNoted = false;
  };
  struct drain_view
  {
    std::size_t mRuns = 0;
    time_point mRunsChangedAt{};
    bool mIsDraining = false;
    bool mIsBlocked = false; // only long-running runs that may not end
  };
  struct open_call
  {
    call_body mBody;
    time_point mSentAt{};
  };
  // A machine that isn't to be ordered for a while.
  struct hold
  {
    time_point mUntil;
    time_point mListAfter; // nor before a list that was asked for later
  };
  // One wave while a plan is made.
  struct wave_plan
  {
    const wave_record* mRecord = nullptr;
    std::uint32_t mDown = 0;
    std::size_t mReturning = 0; // of those, machines that are soon up again
    std::vector<machine_id> mOpen;
    time_point mLatestBegin{}; // of the next order, to be done in time
  };

  void OnPageAnswer(const list_request& aRequest,
                    const call_answer& aAnswer,
                    time_point aSentAt,
                    time_point aNow);
  void OnOrderAnswer(const upkeep_request& aRequest,
                     const call_answer& aAnswer,
                     time_point aNow);
  void LearnWaves(const upkeep_input& aInput);
  // Updates the orders by what the list shows.
  void LearnFromList(time_point aNow);
  // Whether the machine no longer counts as down because of the order.
  [[nodiscard]] bool IsOver(const machine_id& aMachine,
                            const order_view& aOrder) const;
  // Records which machines need nothing more for their waves.
  void Settle(const upkeep_input& aInput, upkeep_actions& aActions);
  [[nodiscard]] bool HasBegun(const upkeep_input& aInput,
                              const wave_record& aWave,
                              const machine_id& aMachine) const;
  void PlanWave(const upkeep_input& aInput,
                const wave_record& aWave,
                upkeep_actions& aActions);
  [[nodiscard]] wave_plan Summarize(const upkeep_input& aInput,
                                    const wave_record& aWave) const;
  void NoteIfLate(const upkeep_input& aInput,
                  const wave_plan& aPlan,
                  upkeep_actions& aActions);
  // The machines to be drained now, those that are closest to it first.
  [[nodiscard]] std::vector<machine_id> SelectDrains(
    const upkeep_input& aInput,
    const wave_plan& aPlan) const;
  // Returns whether nothing runs on the machine.
  bool Drain(const upkeep_input& aInput,
             const wave_plan& aPlan,
             const machine_id& aMachine,
             upkeep_actions& aActions);
  void StopRuns(const upkeep_input& aInput,
                const wave_plan& aPlan,
                const std::vector<machine_run>& aRuns,
                upkeep_actions& aActions);
  [[nodiscard]] bool MayOrder(const upkeep_input& aInput,
                              const wave_plan& aPlan,
                              const machine_id& aMachine) const;
  void Order(const upkeep_input& aInput,
             const wave_plan& aPlan,
             const machine_id& aMachine,
             upkeep_actions& aActions);
  void ReadList(time_point aNow, upkeep_actions& aActions);
  void Call(call_body aBody, time_point aNow, upkeep_actions& aActions);
  // Whether the machine is down for the wave's upkeep, or may be.
  [[nodiscard]] bool IsDown(const wave_record& aWave,
                            const machine_id& aMachine) const;

  upkeep_options mOptions;
  std::uint64_t mTerm;
  std::uint64_t mLastCall;
  time_point mLeadingSince;
  std::set<std::uint64_t> mInherited;
  call_pacer mOrderPacer;
  call_pacer mPagePacer;
  machine_list mList;
  std::map<std::uint64_t, open_call> mOpenCalls;
  std::map<machine_id, order_view> mOrders;
  std::map<machine_id, hold> mHolds;
  std::map<machine_id, drain_view> mDrains;
  std::map<std::uint64_t, wave_view> mWaves; // open ones
  std::vector<upkeep_note> mNotes;           // of answers
};

} // namespace oriolewalk::machines
