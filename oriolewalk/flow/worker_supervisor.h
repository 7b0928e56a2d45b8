#pragma once

// Manages the leader's communication with workers: leases, polls, starts and
// stops, and the conclusions from answers that are late, lost or out of order.
//
//   worker_supervisor supervisor(state, options, term, now, heard);
//   supervisor.OnStartCommitted(start, ticket, now); // orders the start
//   for (auto& order : supervisor.TakeOrders()) { /* send it */ }
//   supervisor.OnAnswer(order.mId, answer, now);
//   for (auto& command : supervisor.TakeCommands()) { /* propose it */ }
//
// It relies on these guarantees:
// - A worker ignores orders with a lower fence than one it has seen.
// - A stop of an attempt that hasn't started yet prevents its start.
// - Leases end by the worker's own clock, whose drift is bounded.
// - An order that names a process (worker_order::mProcessStartMs) reaches that
//   process or none. If the worker reports its process start time, all orders
//   name it, except polls that renew no lease and send no cursor.
//
// A new incarnation of a worker under its id gets a higher fence. The runs of
// the former one are dropped before it is registered, so that its own crash is
// evidence only against tasks that were started there. If the former one didn't
// report its process start time, its orders named no process: the runs are then
// inherited, as by a new leader, until a poll shows which of them run.
//
// A run is dropped (so that its task may start elsewhere) only if
// - the worker listed its end, or refused the start before doing anything;
// - a poll that was sent after the start or the stop was answered shows neither
//   the run nor its end;
// - the worker's incarnation is over, which a later incarnation's answer shows;
// - every lease that this or an earlier leader granted the worker has certainly
//   expired, and the worker is unreachable. While this process is delayed, a
//   worker that still makes contact counts as reachable.
//
// A deregistration only says that the worker is about to end: its runs go on
// until it does, for seconds if it doesn't receive the answer. It gets no more
// leases, and the runs that it still shows are stopped. It is removed once none
// is placed there.
//
// The cost of a tick grows with the workers of which something is due, not with
// all workers: nearly all have a poll in flight or nothing to wait for.
//
// Owned by leader_core, which creates a new one for each term. Does no I/O.
// Order ids keep rising from term to term: the answer to an order that this
// process sent in an earlier term may arrive now, and is ignored.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/decision.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/messages.h"
#include "oriolewalk/flow/options.h"
#include "oriolewalk/flow/worker_order.h"

namespace oriolewalk::flow {

// The leader's current view of a worker.
struct worker_view
{
  struct run_view
  {
    // When the start was answered as done, or a poll first showed the run.
    // Later polls must show it.
    std::optional<time_point> mStartedAt;
    // Set when the start got no answer.
    std::optional<time_point> mStartUnansweredSince;
    bool mInherited = false;  // an earlier leader may have sent the start
    bool mSeenInPoll = false; // a poll has shown the run
    bool mStopRequested = false;
    bool mStopInFlight = false;
    time_point mStopRetryAt{};
    std::optional<time_point> mStoppedAt; // the stop was answered
    int mPercent = 100;
    std::int64_t mLoad = 0;
    std::string mCheckpoint; // from the latest poll
  };

  std::string mAddress; // by which it is indexed
  bool mSynced = false; // it has answered under this term's fence
  bool mHasClock = false;
  std::int64_t mClockMs = 0;
  time_point mClockAt{};
  time_point mLeasesExpireAt{}; // every lease there is over by then
  std::uint64_t mLongPoll = 0;  // id of the long poll in flight; 0: none
  time_point mNextPollAt{};
  bool mShortPollRequested = false; // a poll that doesn't wait is due
  std::uint64_t mShortPoll = 0;
  time_point mNextExpiryCheckAt{};
  time_point mVisitAt = time_point::max(); // the next scheduled visit
  int mFailedPolls = 0;           // consecutive polls without an answer
  time_point mFailedPollSentAt{}; // when the last of them was sent
  time_point mFailingSince{};     // when the first of them was sent
  time_point mLastContactAt{};
  time_point mUnhealthyUntil{};
  time_point mNextRemovalAt{};        // when its removal may be proposed again
  std::int64_t mHeartbeatNumber = -1; // of the newest heartbeat; -1: none
  // When the last heartbeat arrived, here or at the earlier leader that told
  // so. Nothing starts there before: the capacity may have shrunk unheard.
  time_point mHeartbeatAt = time_point::min();
  // The same for the heartbeat before the one that reported a change which
  // isn't committed yet.
  time_point mConfirmedAt = time_point::min();
  bool mHasUncommittedUpdate =
    false; // it reported a change that isn't committed yet
  bool mHasUncommittedEnds = false;
  bool mIsFirstPollInFlight = false; // of an idle worker; see IsFirstPoll
  // Its last poll listed ends, so the next one sends the cursor. If every poll
  // sent it, a process that has restarted unnoticed would forget ends of its
  // own.
  bool mShouldSendCursor = false;
  // A poll was answered by a later incarnation, whose heartbeat hasn't arrived
  // yet.
  bool mHasNewerIncarnation = false;
  bool mHasDeregistered = false; // it is about to end
  // A run must be stopped, or its start is unconfirmed. Otherwise a visit skips
  // the runs.
  bool mHasRunsToResolve = false;
  std::map<run_ref, run_view> mRuns;
  // How long runs had run at least that were marked as lost when their lease
  // expired.
  std::map<run_ref, duration> mLostRunAges;
  bool mEndLogged = false; // its incarnation ended; every late answer says so
};

// When a leader received the last heartbeat of a worker, by the clock of this
// process; at that time or later.
using heard_workers = std::map<worker_number, time_point>;

// Whether new runs may be placed on a worker now.
struct worker_usability
{
  bool mIsUsable = false;
  // When time alone changes it, if nothing else happens before.
  time_point mUntil = time_point::max();
};

class worker_supervisor
{
public:
  worker_supervisor(const flow_state& aState,
                    flow_options aOptions,
                    std::uint64_t aTerm,
                    time_point aNow,
                    const heard_workers& aHeard = {});

  // A known incarnation of a worker sent a heartbeat.
  void OnHeartbeat(worker_number aWorker,
                   std::int64_t aNumber,
                   std::int64_t aClockMs,
                   time_point aNow);
  // A change that a heartbeat reported is proposed. Until it is committed,
  // nothing is planned there by the former description.
  void OnUpdateProposed(worker_number aWorker);
  // The number of its newest heartbeat in this term; -1: none arrived.
  [[nodiscard]] std::int64_t LatestHeartbeatNumber(worker_number aWorker) const;
  // The workers whose capacity is known well enough for starts.
  [[nodiscard]] worker_contacts Contacts(time_point aNow) const;
  // The worker was added to the state or changed in it.
  void OnRegistered(worker_number aWorker, time_point aNow);
  void OnRemoved(worker_number aWorker);
  // The worker is about to end, and nothing starts there any more by the
  // replicated state. Proposes to remove it once nothing can run there.
  void OnDeregistered(worker_number aWorker);
  // A start was committed in this term: orders it from the worker. aTicket is
  // empty unless the queue requires one.
  void OnStartCommitted(const run_start& aStart,
                        std::string aTicket,
                        time_point aNow);
  // The ends of a poll were committed, or could not be proposed.
  void OnEndsApplied(worker_number aWorker, time_point aNow);
  // Proposes to save its runs' latest checkpoints; called before they are
  // dropped.
  void SaveCheckpoints(worker_number aWorker);
  // A later incarnation, which is about to be registered, has replaced the
  // worker under its id.
  void OnRestarted(worker_number aWorker, time_point aNow);
  // A later incarnation has replaced the worker. Proposes to count a crash for
  // the runs there, unless the worker was draining. aKnownBy, for the log, says
  // what showed it.
  void OnIncarnationEnded(worker_number aWorker,
                          std::string_view aKnownBy,
                          time_point aNow);
  // Runs there were dropped or marked as lost.
  void OnRunsDropped(worker_number aWorker);
  void OnAnswer(std::uint64_t aOrder,
                const order_answer& aAnswer,
                time_point aNow);
  void Tick(time_point aNow);
  // Requests that a run be stopped (its job ended, its gang is broken, it must
  // move).
  void RequestStop(worker_number aWorker, const run_ref& aRun, time_point aNow);
  void SetPace(worker_number aWorker,
               const run_ref& aRun,
               int aPercent,
               time_point aNow);

  std::vector<worker_order> TakeOrders();
  std::vector<command_body> TakeCommands();
  // The decisions since the last call, for the log.
  std::vector<decision> TakeDecisions();
  // Starts that a worker refused because of the ticket, since the last call.
  std::vector<run_start> TakeTicketRefusals();

  // Whether the run has just started, as far as is known, and may yet crash its
  // worker.
  [[nodiscard]] bool IsNewlyStarted(worker_number aWorker,
                                    const run_ref& aRun) const;
  [[nodiscard]] worker_usability Usability(worker_number aWorker,
                                           time_point aNow) const;
  [[nodiscard]] bool IsUsable(worker_number aWorker, time_point aNow) const
  {
    return Usability(aWorker, aNow).mIsUsable;
  }
  // The workers whose usability may have changed since the last call, except
  // by time.
  std::set<worker_number> TakeChangedWorkers();
  [[nodiscard]] const std::map<worker_number, worker_view>& Views() const
  {
    return mViews;
  }
  // How many workers the ticks have visited so far, each counted once a tick.
  [[nodiscard]] std::uint64_t Visits() const { return mVisits; }

private:
  struct pending_order
  {
    worker_number mWorker = 0;
    order_body mBody;
    time_point mSentAt{};
  };

  // The view of a worker of which only the replicated state is known.
  [[nodiscard]] worker_view MakeInheritedView(worker_number aWorker,
                                              time_point aNow) const;
  // When a lease is over at the latest that another leader grants now.
  [[nodiscard]] time_point MaxLeaseExpiry(time_point aNow) const;
  // Whether the answer is from another incarnation than the order's.
  [[nodiscard]] bool IsFromOtherIncarnation(worker_number aWorker,
                                            const order_answer& aAnswer) const;
  void OnNewerIncarnation(worker_number aWorker,
                          worker_view& aView,
                          const order_answer& aAnswer);
  std::uint64_t Send(worker_number aWorker,
                     order_body aBody,
                     bool aWithLease,
                     time_point aNow,
                     std::optional<time_point> aSendBefore = std::nullopt,
                     std::optional<milliseconds> aShorterLease = std::nullopt);
  std::uint64_t SendPoll(worker_number aWorker,
                         worker_view& aView,
                         milliseconds aWait,
                         time_point aNow);
  void SendDuePolls(worker_number aWorker, worker_view& aView, time_point aNow);
  void SetClock(worker_view& aView, std::int64_t aClockMs, time_point aNow);
  void UpdateReachability(const pending_order& aOrder,
                          worker_view& aView,
                          const order_answer& aAnswer,
                          time_point aNow);
  void OnPollAnswer(worker_number aWorker,
                    worker_view& aView,
                    time_point aSentAt,
                    const order_answer& aAnswer,
                    time_point aNow);
  void OnStartAnswer(worker_number aWorker,
                     worker_view& aView,
                     const start_order& aOrder,
                     const order_answer& aAnswer,
                     time_point aNow);
  void OnStopAnswer(worker_view& aView,
                    const stop_order& aOrder,
                    const order_answer& aAnswer,
                    time_point aNow);
  void UpdateRunning(worker_number aWorker,
                     worker_view& aView,
                     const order_answer& aAnswer,
                     time_point aNow);
  bool ProposeEnds(worker_number aWorker,
                   worker_view& aView,
                   const order_answer& aAnswer);
  void DropAbsentRuns(worker_number aWorker,
                      worker_view& aView,
                      time_point aSentAt,
                      const order_answer& aAnswer);
  void DropExpiredRuns(worker_number aWorker,
                       worker_view& aView,
                       time_point aNow);
  // Proposes to drop the runs, and logs the reason.
  void DropRuns(worker_number aWorker,
                std::vector<run_ref> aRuns,
                std::string_view aWhy);
  void LogDroppedRuns(worker_number aWorker,
                      const std::vector<run_ref>& aRuns,
                      std::string_view aWhy);
  void LogIgnoredEnd(const worker_record& aRecord, const listed_end& aListed);
  void ResolveRuns(worker_number aWorker, worker_view& aView, time_point aNow);
  void SyncRuns(worker_number aWorker, worker_view& aView);
  void DetectLateTick(time_point aNow);
  // Whether the worker awaits its first poll in this term and nothing runs
  // there, so that the poll may wait for those of other workers.
  [[nodiscard]] static bool IsFirstPoll(const worker_view& aView);
  void QueueFirstPoll(worker_number aWorker, const worker_view& aView);
  void SendFirstPolls(time_point aNow);
  void OnFirstPollEnded(worker_view& aView);
  // The next tick visits the worker.
  void Wake(worker_number aWorker) { mDue.insert(aWorker); }
  void WakeScheduled(time_point aNow);
  void Visit(worker_number aWorker, worker_view& aView, time_point aNow);
  void Schedule(worker_number aWorker, worker_view& aView, time_point aNow);
  // When something is due there, unless an answer, a commit or a request
  // changes it before.
  [[nodiscard]] time_point NextVisitAt(const worker_view& aView) const;
  // When the worker may be removed, if nothing is placed there.
  [[nodiscard]] time_point RemovalAt(const worker_view& aView) const;
  void IndexAddress(worker_number aWorker, worker_view& aView);
  void ForgetAddress(worker_number aWorker, const worker_view& aView);
  // Whether its last poll may have failed only because this process was
  // delayed: the worker made contact after the poll was sent.
  [[nodiscard]] bool IsOwnDelay(const worker_view& aView) const;
  // Whether its polls fail and a delay of this process can't be the cause.
  [[nodiscard]] bool IsUnreachable(const worker_view& aView,
                                   time_point aNow) const;
  void LogIncarnationEnd(worker_number aWorker,
                         const worker_view& aView,
                         std::string_view aKnownBy,
                         time_point aNow);
  void ProposeWorkerReturn(worker_number aWorker, worker_view& aView);
  // Proposes to mark its runs as lost because their lease expired, until it is
  // known whether the worker crashed.
  void MarkRunsLost(worker_number aWorker, worker_view& aView);
  [[nodiscard]] bool IsCleared(const worker_view& aView,
                               const run_ref& aRun) const;
  // How long the run has run at least, by the last contact with its worker.
  // None: it isn't known to have started, or an earlier leader started it.
  [[nodiscard]] static std::optional<duration> MinRunTime(
    const worker_view& aView,
    const worker_view::run_view& aRun);
  [[nodiscard]] static bool NeedsShortPoll(const worker_view& aView);
  [[nodiscard]] static bool NeedsLongPoll(const worker_view& aView);
  // When the capacity in the state was reported at last.
  [[nodiscard]] static time_point CapacityKnownAt(const worker_view& aView);
  // Until when a start may be sent to the worker, by the age of its capacity.
  [[nodiscard]] time_point SendStartsBefore(const worker_view& aView) const;

  const flow_state& mState;
  flow_options mOptions;
  std::uint64_t mTerm;
  std::uint64_t mLastOrderId;
  time_point mLastTickAt;
  time_point mLastLateTickAt{}; // when the last late tick came
  std::map<worker_number, worker_view> mViews;
  // Usually one worker at each address; another incarnation or a worker that
  // took over an address makes it two.
  std::unordered_multimap<std::string, worker_number> mByAddress;
  std::set<worker_number> mDue; // workers that the next tick visits
  // Later visits. An entry counts if it is the worker's mVisitAt.
  std::priority_queue<std::pair<time_point, worker_number>,
                      std::vector<std::pair<time_point, worker_number>>,
                      std::greater<>>
    mScheduled;
  // Idle workers that await their first poll: those whose heartbeat a leader
  // heard come first, since the others can't get work yet.
  std::set<worker_number> mHeardUnpolled;
  std::set<worker_number> mSilentUnpolled;
  std::size_t mFirstPollsInFlight = 0;
  std::uint64_t mVisits = 0;
  std::set<worker_number> mChanged; // see TakeChangedWorkers
  std::map<std::uint64_t, pending_order> mPendingOrders;
  std::vector<worker_order> mOrders;
  std::vector<command_body> mCommands;
  std::vector<run_start> mTicketRefusals;
  std::vector<decision> mDecisions;
};

} // namespace oriolewalk::flow
