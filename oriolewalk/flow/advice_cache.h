#pragma once

// Caches the policy service's verdicts: which workers may run a step, and the
// ticket that authorises each of them.
//
//   advice_cache advice;
//   advice.OnAnswer(step, queue, queried, approved, validUntil);
//   if (advice.VerdictFor(step, worker, now) == verdict::Approved) {
//     const std::string ticket = advice.TicketFor(step, worker, now); ...
//   }
//
// A verdict on a worker is final for the step. A ticket expires and can be
// renewed by another query. Soft state of the leader: a new leader starts with
// an empty cache and queries again.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A step of one occurrence, the subject of an advice query.
struct step_ref
{
  job_id mJob;
  std::uint32_t mOccurrence = 0;
  std::uint32_t mStep = 0;

  auto operator<=>(const step_ref&) const = default;
  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mJob, mOccurrence, mStep);
  }
};

struct approval
{
  worker_id mWorker;
  std::string mTicket;

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWorker, mTicket);
  }
};

enum class verdict : std::uint8_t
{
  Unknown,
  Refused,
  Approved, // with a ticket that is valid now
  Expired,  // approved, but its ticket has expired
};

// The verdicts for one step. Valid until the cache changes.
class step_verdicts;

class advice_cache
{
public:
  // Records the answer to a query. The approval rate is tracked per aQueue.
  void OnAnswer(
    const step_ref& aStep,
    std::string_view aQueue,
    const std::vector<std::pair<worker_number, worker_id>>& aQueried,
    const std::vector<approval>& aApproved,
    time_point aValidUntil);
  // Whether any worker has a verdict for the step.
  [[nodiscard]] bool HasVerdict(const step_ref& aStep) const
  {
    return mTickets.contains(aStep);
  }
  [[nodiscard]] verdict VerdictFor(const step_ref& aStep,
                                   worker_number aWorker,
                                   time_point aNow) const;
  // For many workers: finds the step once.
  [[nodiscard]] step_verdicts VerdictsFor(const step_ref& aStep) const;
  // Workers with a ticket that is valid at aNow. Passing time_point::min()
  // includes workers whose ticket has expired. Linear in the queried workers.
  [[nodiscard]] std::vector<worker_number> ApprovedWorkers(
    const step_ref& aStep,
    time_point aNow) const;
  [[nodiscard]] std::size_t QueriedCount(const step_ref& aStep) const
  {
    const auto found = mTickets.find(aStep);
    return found == mTickets.end() ? 0 : found->second.size();
  }
  // All workers that have a verdict for the step. Linear in them.
  [[nodiscard]] std::vector<worker_number> QueriedWorkers(
    const step_ref& aStep) const;
  // Empty if there is no valid ticket.
  [[nodiscard]] std::string TicketFor(const step_ref& aStep,
                                      worker_number aWorker,
                                      time_point aNow) const;
  // Marks the ticket as expired, because the worker refused it.
  void Expire(const step_ref& aStep, worker_number aWorker);
  void Forget(const job_id& aJob);
  // The expected fraction of workers that the policy approves, in (0, 1].
  [[nodiscard]] double ApprovalRate(std::string_view aQueue) const;

private:
  friend class step_verdicts;

  struct ticket
  {
    bool mApproved = false;
    std::string mText;
    time_point mValidUntil{};
  };

  // By worker, in ascending order: plans visit all of a step's tickets much
  // more often than an answer adds some.
  using step_tickets = std::vector<std::pair<worker_number, ticket>>;

  static const ticket* Find(const step_tickets& aTickets,
                            worker_number aWorker);

  std::map<step_ref, step_tickets> mTickets;
  std::map<std::string, double, std::less<>> mRates; // approval, by queue
};

class step_verdicts
{
public:
  [[nodiscard]] verdict For(worker_number aWorker, time_point aNow) const;
  // How long the ticket remains valid; zero if there is no valid ticket.
  [[nodiscard]] duration RemainingValidity(worker_number aWorker,
                                           time_point aNow) const;

private:
  friend class advice_cache;
  explicit step_verdicts(const advice_cache::step_tickets* aTickets)
    : mTickets(aTickets)
  {
  }

  const advice_cache::step_tickets* mTickets; // null if there are none
};

} // namespace oriolewalk::flow
