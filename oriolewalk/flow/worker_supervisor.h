#pragma once

// The leader's dealings with workers: leases, looks, starts and stops, and what
// may be concluded from answers that are late, lost or out of order.
//
//   worker_keeper keeper(state, options, term, now);
//   keeper.Began(outcome.mStarted, ...);   // committed: tell the workers
//   for (auto& order : keeper.TakeOrders()) { /* send it */ }
//   keeper.Answered(order.mId, answer, now);
//   for (auto& command : keeper.TakeCommands()) { /* propose it */ }
//
// What it relies on: a worker does nothing for a fence lower than one it has
// seen; a stop of an attempt that isn't there yet makes it impossible; leases
// end on the worker's own clock, which may be slow by a bound; and an order
// that names a process (worker_order::mBornMs) reaches that one or none. All
// orders do but looks that renew no lease and name no cursor, where the worker
// tells its start.
//
// A worker's next life under its id is met as a new leader meets a worker:
// under a higher fence, with all that was placed there taken over until a look
// shows what runs.
//
// A run is given up (so that its task may start elsewhere) only if
// - the worker listed its end, or refused the start before doing anything;
// - a look that was sent after the start was answered, or after its stop was,
//   shows neither the run nor its end;
// - the worker's life is over;
// - every lease that this or an earlier leader gave it has surely lapsed, and
//   it can't be reached. While this process is late, one that is heard counts
//   as one that can.
//
// Owned by the leading part of the flow core; made new for each term. No I/O.
// Orders are numbered on from term to term: one that an earlier keeper of this
// process sent may be answered now, and says nothing of this one's.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/command.h"
#include "oriolewalk/flow/decision.h"
#include "oriolewalk/flow/flow_state.h"
#include "oriolewalk/flow/options.h"
#include "oriolewalk/flow/worker_order.h"

namespace oriolewalk::flow {

// What the leader believes of a worker right now.
struct worker_view
{
  struct run_view
  {
    // When the start was answered as done; a look sent later must show it.
    std::optional<time_point> mStartedAt;
    // Given when the start got no answer.
    std::optional<time_point> mStartUnansweredSince;
    bool mInherited = false;  // an earlier leader may have sent the start
    bool mSeenInPoll = false; // in a look
    bool mStopRequested = false;
    bool mStopInFlight = false;
    time_point mStopRetryAt{};
    std::optional<time_point> mStoppedAt; // the stop was answered
    int mPercent = 100;
    std::int64_t mLoad = 0;
    std::string mCheckpoint; // as a look showed it last
  };

  bool mSynced = false; // it has answered under this term's fence
  bool mHasClock = false;
  std::int64_t mClockMs = 0;
  time_point mClockAt{};
  time_point mLeasesExpireAt{}; // by then every lease there is over
  std::uint64_t mLongPoll = 0;  // the look that waits there for an end
  time_point mNextPollAt{};
  bool mShortPollRequested = false; // a look that doesn't wait is wanted
  std::uint64_t mShortPoll = 0;
  time_point mNextExpiryCheckAt{};
  int mFailedPolls = 0;           // looks without an answer, in a row
  time_point mFailedPollSentAt{}; // when the last of them was sent
  time_point mFailingSince{};     // when the first of them was sent
  time_point mLastContactAt{};
  time_point mUnhealthyUntil{};
  std::int64_t mHeartbeatNumber = -1; // the newest heartbeat's number
  // When a heartbeat was heard last; of an earlier leader's, at the latest.
  time_point mHeartbeatAt{};
  bool mHasUncommittedUpdate =
    false; // it said something new, which isn't committed yet
  bool mHasUncommittedEnds = false;
  // Its last look listed ends, so that the next one names the cursor. Named
  // again and again, it would make a process that has started since, unheard,
  // forget ends of its own.
  bool mShouldSendCursor = false;
  // A look was answered by a later life, whose heartbeat is still to come.
  bool mHasNewerIncarnation = false;
  // A run is to be stopped, or its start is in doubt. Else nothing is due for
  // any run by time alone: a leader of 1,100 workers would look at 6,000 runs a
  // hundred times a second.
  bool mHasRunsToResolve = false;
  std::map<run_ref, run_view> mRuns;
  // Of the runs that were given up as lapsed: for how long they went on at
  // least.
  std::map<run_ref, duration> mLostRunAges;
  bool mEndLogged = false; // that its life is over; every late answer says so
};

class worker_supervisor
{
public:
  // aLedUntil: when an earlier leader was last heard of, which may have heard
  // the workers; min(): not known.
  worker_supervisor(const flow_state& aState,
                    flow_options aOptions,
                    std::uint64_t aTerm,
                    time_point aNow,
                    time_point aLedUntil);

  // A worker's heartbeat of a known life.
  void OnHeartbeat(worker_number aWorker,
                   std::int64_t aBeat,
                   std::int64_t aClockMs,
                   time_point aNow);
  // What the heartbeat says is proposed: nothing is planned there by what was
  // known before.
  void OnUpdateProposed(worker_number aWorker);
  // The number of its newest heartbeat in this term; -1: none was heard.
  [[nodiscard]] std::int64_t LatestHeartbeatNumber(worker_number aWorker) const;
  // The worker is in the state (anew or changed).
  void OnRegistered(worker_number aWorker, time_point aNow);
  void OnRemoved(worker_number aWorker);
  // The starts were committed in this term: tell the workers. aTickets, by
  // worker, where the queue asks for them.
  void OnStartCommitted(const run_start& aStart,
                        std::string aTicket,
                        time_point aNow);
  // The ends of a look were committed.
  void OnEndsApplied(worker_number aWorker, time_point aNow);
  // Proposes to keep how far its runs had come; before they are given up.
  void SaveCheckpoints(worker_number aWorker);
  // A later life has taken the worker's place. Proposes to count a crash of
  // what ran there, unless the worker drained; notes how that is known.
  void OnIncarnationEnded(worker_number aWorker,
                          std::string_view aKnownBy,
                          time_point aNow);
  // Runs there were given up.
  void OnRunsDropped(worker_number aWorker);
  void OnAnswer(std::uint64_t aOrder,
                const order_answer& aAnswer,
                time_point aNow);
  void Tick(time_point aNow);
  // Wishes a run's end (its job ended, its gang is broken, it must move).
  void RequestStop(worker_number aWorker, const run_ref& aRun, time_point aNow);
  void SetPace(worker_number aWorker,
               const run_ref& aRun,
               int aPercent,
               time_point aNow);

  std::vector<worker_order> TakeOrders();
  std::vector<command_body> TakeCommands();
  // What it concluded since the last call, for the log.
  std::vector<decision> TakeDecisions();
  // Starts that a worker refused for its ticket, since the last call.
  std::vector<run_start> TakeTicketRefusals();

  // Whether the run has just started, as far as is known: it may be about to
  // crash its worker.
  [[nodiscard]] bool IsNewlyStarted(worker_number aWorker,
                                    const run_ref& aRun) const;
  // Whether new work may go there now.
  [[nodiscard]] bool IsUsable(worker_number aWorker, time_point aNow) const;
  [[nodiscard]] const std::map<worker_number, worker_view>& Views() const
  {
    return mViews;
  }

private:
  struct open_order
  {
    worker_number mWorker = 0;
    order_body mBody;
    time_point mSentAt{};
  };

  // A view of a worker of which nothing is known but what the state holds.
  [[nodiscard]] worker_view TakeOver(worker_number aWorker,
                                     time_point aNow) const;
  // By when a lease is over that begins now and isn't ours.
  [[nodiscard]] time_point LongestLapse(time_point aNow) const;
  // Whether the lists are of another life than the one that was asked.
  [[nodiscard]] bool IsOfOtherLife(worker_number aWorker,
                                   const order_answer& aAnswer) const;
  void NoteOutlived(worker_number aWorker,
                    worker_view& aView,
                    const order_answer& aAnswer);
  std::uint64_t Send(worker_number aWorker,
                     order_body aBody,
                     bool aWithLease,
                     time_point aNow);
  std::uint64_t Look(worker_number aWorker,
                     worker_view& aView,
                     milliseconds aWait,
                     time_point aNow);
  void TickLooks(worker_number aWorker, worker_view& aView, time_point aNow);
  void NoteClock(worker_view& aView, std::int64_t aClockMs, time_point aNow);
  void NoteAnswer(const open_order& aOrder,
                  worker_view& aView,
                  const order_answer& aAnswer,
                  time_point aNow);
  void LookAnswered(worker_number aWorker,
                    worker_view& aView,
                    time_point aSentAt,
                    const order_answer& aAnswer,
                    time_point aNow);
  void StartAnswered(worker_number aWorker,
                     worker_view& aView,
                     const start_order& aOrder,
                     const order_answer& aAnswer,
                     time_point aNow);
  void StopAnswered(worker_view& aView,
                    const stop_order& aOrder,
                    const order_answer& aAnswer,
                    time_point aNow);
  void TakeRunning(worker_number aWorker,
                   worker_view& aView,
                   const order_answer& aAnswer,
                   time_point aNow);
  bool TakeEnds(worker_number aWorker,
                worker_view& aView,
                const order_answer& aAnswer);
  void DropAbsent(worker_number aWorker,
                  worker_view& aView,
                  time_point aSentAt,
                  const order_answer& aAnswer);
  void DropLapsed(worker_number aWorker, worker_view& aView, time_point aNow);
  // Proposes to give them up, and notes why.
  void GiveUp(worker_number aWorker,
              std::vector<run_ref> aRuns,
              std::string_view aWhy);
  void NoteGivenUp(worker_number aWorker,
                   const std::vector<run_ref>& aRuns,
                   std::string_view aWhy);
  void NotePassedOver(const worker_record& aRecord, const listed_end& aListed);
  void TickRuns(worker_number aWorker, worker_view& aView, time_point aNow);
  void SyncRuns(worker_number aWorker, worker_view& aView);
  void NoteTick(time_point aNow);
  // Whether its last look may have failed only because this process was late:
  // the worker was heard since it was sent.
  [[nodiscard]] bool IsOurDelay(const worker_view& aView) const;
  // Whether all its looks fail and that can't be for this process's delay.
  [[nodiscard]] bool IsUnreachable(const worker_view& aView,
                                   time_point aNow) const;
  void NoteOver(worker_number aWorker,
                const worker_view& aView,
                std::string_view aKnownBy,
                time_point aNow);
  void NoteReturn(worker_number aWorker, worker_view& aView);
  // Of the lease: proposes to give them up until it is known whether the worker
  // crashed under them.
  void LoseRuns(worker_number aWorker, worker_view& aView);
  [[nodiscard]] bool IsProven(const worker_view& aView,
                              const run_ref& aRun) const;
  // For how long the run went on at least, by the last word from its worker.
  // None: it isn't known to have begun, or an earlier leader started it.
  [[nodiscard]] static std::optional<duration> RanFor(
    const worker_view& aView,
    const worker_view::run_view& aRun);
  [[nodiscard]] bool IsQuiet(const worker_view& aView, time_point aNow) const;
  [[nodiscard]] static bool NeedsLook(const worker_view& aView);

  const flow_state& mState;
  flow_options mOptions;
  std::uint64_t mTerm;
  std::uint64_t mLastOrder;
  time_point mTickedAt;
  time_point mLateAt{}; // when a tick last came late
  std::map<worker_number, worker_view> mViews;
  std::map<std::uint64_t, open_order> mOpen;
  std::vector<worker_order> mOrders;
  std::vector<command_body> mCommands;
  std::vector<run_start> mTicketsRefused;
  std::vector<decision> mNotes;
};

} // namespace oriolewalk::flow
