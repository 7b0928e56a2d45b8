#pragma once

// What the policy service has said: which workers may run a step, and by which
// ticket.
//
//   advice_book book;
//   book.Answered(step, asked, approved, validity, now);
//   if (const auto* ticket = book.TicketFor(step, worker, now)) { ... }
//
// A verdict on a worker stays for the step; a ticket runs out and may be
// asked for again. Soft state of the leader; a new leader asks anew.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/flow/types.h"

namespace oriolewalk::flow {

// A step of one occurrence: what the policy service is asked about.
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
  Expired,  // approved, but its ticket has run out
};

class advice_cache
{
public:
  // aQueue names what the share of approvals is learnt by.
  void OnAnswer(const step_ref& aStep,
                std::string_view aQueue,
                const std::vector<std::pair<worker_number, worker_id>>& aAsked,
                const std::vector<approval>& aApproved,
                time_point aValidUntil);
  // Whether there is any verdict on the step.
  [[nodiscard]] bool HasVerdict(const step_ref& aStep) const
  {
    return mTickets.contains(aStep);
  }
  [[nodiscard]] verdict VerdictFor(const step_ref& aStep,
                                   worker_number aWorker,
                                   time_point aNow) const;
  // For how long the ticket holds on; zero, if there is none.
  [[nodiscard]] duration RemainingValidity(const step_ref& aStep,
                                           worker_number aWorker,
                                           time_point aNow) const;
  // Those with a ticket that is valid at aNow; with time_point::min() also
  // those whose ticket has run out. Linear in the workers asked about.
  [[nodiscard]] std::vector<worker_number> ApprovedWorkers(
    const step_ref& aStep,
    time_point aNow) const;
  // Empty if there is no valid one.
  [[nodiscard]] std::string TicketFor(const step_ref& aStep,
                                      worker_number aWorker,
                                      time_point aNow) const;
  // A worker refused the ticket: it is out of date.
  void Expire(const step_ref& aStep, worker_number aWorker);
  void Forget(const job_id& aJob);
  // The share of workers that the policy approves, in (0, 1].
  [[nodiscard]] double ApprovalRate(std::string_view aQueue) const;

private:
  struct ticket
  {
    bool mApproved = false;
    std::string mText;
    time_point mValidUntil{};
  };

  std::map<step_ref, std::map<worker_number, ticket>> mTickets;
  std::map<std::string, double, std::less<>> mShares;
};

} // namespace oriolewalk::flow
