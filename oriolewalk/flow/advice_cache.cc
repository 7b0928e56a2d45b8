#include "oriolewalk/flow/advice_cache.h"

#include <algorithm>
#include <cstddef>
#include <ranges>
#include <string_view>
#include <unordered_map>

#include "oriolewalk/flow/erase_while.h"

namespace oriolewalk::flow {

namespace {

// Half of the workers, until the first answer arrives.
constexpr double kInitialRate = 0.5;
// The smoothing factor averages over about ten answers.
constexpr double kSmoothing = 0.1;
constexpr double kMinRate = 0.1;

} // namespace

void
advice_cache::OnAnswer(
  const step_ref& aStep,
  std::string_view aQueue,
  const std::vector<std::pair<worker_number, worker_id>>& aQueried,
  const std::vector<approval>& aApproved,
  time_point aValidUntil)
{
  if (aQueried.empty()) {
    return;
  }
  std::unordered_map<worker_id, const std::string*> approved;
  for (const approval& row : aApproved) {
    approved.try_emplace(row.mWorker, &row.mTicket);
  }
  step_tickets& tickets = mTickets[aStep];
  const std::size_t knownCount = tickets.size();
  std::size_t newVerdicts = 0;
  std::size_t newApprovals = 0;
  for (const auto& [number, id] : aQueried) {
    const auto row = approved.find(id);
    const bool isApproved = row != approved.end();
    ticket told{ isApproved,
                 isApproved ? *row->second : std::string(),
                 aValidUntil };
    const auto known = std::ranges::lower_bound(
      tickets.begin(),
      tickets.begin() + static_cast<std::ptrdiff_t>(knownCount),
      number,
      {},
      &step_tickets::value_type::first);
    if (known != tickets.begin() + static_cast<std::ptrdiff_t>(knownCount) &&
        known->first == number) {
      known->second = std::move(told);
      continue;
    }
    tickets.emplace_back(number, std::move(told));
    ++newVerdicts;
    newApprovals += isApproved ? 1 : 0;
  }
  std::ranges::sort(tickets, {}, &step_tickets::value_type::first);
  if (newVerdicts > 0) {
    auto [rate, isNew] = mRates.try_emplace(std::string(aQueue), kInitialRate);
    const double observed =
      static_cast<double>(newApprovals) / static_cast<double>(newVerdicts);
    rate->second += kSmoothing * (observed - rate->second);
    rate->second = std::max(rate->second, kMinRate);
  }
}

verdict
advice_cache::VerdictFor(const step_ref& aStep,
                         worker_number aWorker,
                         time_point aNow) const
{
  return VerdictsFor(aStep).For(aWorker, aNow);
}

step_verdicts
advice_cache::VerdictsFor(const step_ref& aStep) const
{
  const auto step = mTickets.find(aStep);
  return step_verdicts(step == mTickets.end() ? nullptr : &step->second);
}

const advice_cache::ticket*
advice_cache::Find(const step_tickets& aTickets, worker_number aWorker)
{
  const auto found = std::ranges::lower_bound(
    aTickets, aWorker, {}, &step_tickets::value_type::first);
  return found == aTickets.end() || found->first != aWorker ? nullptr
                                                            : &found->second;
}

verdict
step_verdicts::For(worker_number aWorker, time_point aNow) const
{
  const advice_cache::ticket* found =
    mTickets == nullptr ? nullptr : advice_cache::Find(*mTickets, aWorker);
  if (found == nullptr) {
    return verdict::Unknown;
  }
  if (!found->mApproved) {
    return verdict::Refused;
  }
  return aNow < found->mValidUntil ? verdict::Approved : verdict::Expired;
}

duration
step_verdicts::RemainingValidity(worker_number aWorker, time_point aNow) const
{
  return For(aWorker, aNow) == verdict::Approved
           ? advice_cache::Find(*mTickets, aWorker)->mValidUntil - aNow
           : duration::zero();
}

std::vector<worker_number>
advice_cache::ApprovedWorkers(const step_ref& aStep, time_point aNow) const
{
  std::vector<worker_number> approved;
  const auto step = mTickets.find(aStep);
  if (step == mTickets.end()) {
    return approved;
  }
  for (const auto& [number, entry] : step->second) {
    if (entry.mApproved && aNow < entry.mValidUntil) {
      approved.push_back(number);
    }
  }
  return approved;
}

std::vector<worker_number>
advice_cache::QueriedWorkers(const step_ref& aStep) const
{
  const auto found = mTickets.find(aStep);
  if (found == mTickets.end()) {
    return {};
  }
  const auto numbers = found->second | std::views::keys;
  return { numbers.begin(), numbers.end() };
}

std::string
advice_cache::TicketFor(const step_ref& aStep,
                        worker_number aWorker,
                        time_point aNow) const
{
  if (VerdictFor(aStep, aWorker, aNow) != verdict::Approved) {
    return {};
  }
  return Find(mTickets.at(aStep), aWorker)->mText;
}

void
advice_cache::Expire(const step_ref& aStep, worker_number aWorker)
{
  const auto step = mTickets.find(aStep);
  if (step == mTickets.end()) {
    return;
  }
  const auto found = std::ranges::lower_bound(
    step->second, aWorker, {}, &step_tickets::value_type::first);
  if (found != step->second.end() && found->first == aWorker) {
    found->second.mValidUntil = {};
  }
}

void
advice_cache::Forget(const job_id& aJob)
{
  EraseWhile(mTickets, { aJob, 0, 0 }, [&](const step_ref& aStep) {
    return aStep.mJob == aJob;
  });
}

double
advice_cache::ApprovalRate(std::string_view aQueue) const
{
  const auto found = mRates.find(aQueue);
  return found == mRates.end() ? kInitialRate : found->second;
}

} // namespace oriolewalk::flow
