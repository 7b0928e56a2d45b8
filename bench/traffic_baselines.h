#pragma once

// The policies that the scenarios compare, behind one variant: the project's
// own policy and common baselines.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"
#include "oriolewalk/base/random.h"
#include "oriolewalk/traffic/dispatcher.h"
#include "oriolewalk/traffic/options.h"
#include "oriolewalk/traffic/policy.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::bench {

enum class policy_kind : std::uint8_t
{
  Own,
  Fifo,             // one FIFO queue within the slots; deadlines are ignored
  Random,           // immediately to a random target, which queues
  LeastOutstanding, // immediately to the least busy target, which queues
  NoLimit,          // own order and placement, but everything is admitted
  LentCredits,      // seven own dispatchers with lent slots
};

std::string_view
ToString(policy_kind aKind);

// Targets as the simple baselines see them.
class plain_targets
{
public:
  void Add(const traffic::target_state& aTarget);
  void Remove(const target_id& aTarget);
  void AcquireSlot(const target_id& aTarget);
  void ReleaseSlot(const target_id& aTarget);
  [[nodiscard]] std::size_t Size() const { return mTargets.size(); }
  [[nodiscard]] const target_id& At(std::size_t aIndex) const
  {
    return mTargets.at(aIndex).first.mId;
  }
  // Returns the index of the least busy target, or nothing if there is none.
  [[nodiscard]] std::optional<std::size_t> LeastBusy() const;
  [[nodiscard]] bool HasSlot(std::size_t aIndex) const
  {
    return mTargets.at(aIndex).second < mTargets.at(aIndex).first.mSlots;
  }

private:
  std::vector<std::pair<traffic::target_state, std::uint32_t>> mTargets;
};

class fifo_policy
{
public:
  void OnTargetUp(const traffic::target_state& aTarget, time_point aNow);
  void OnTargetLeaving(const target_id& aTarget, time_point aNow);
  void OnArrival(const traffic::arrival& aArrival, time_point aNow);
  void OnFinished(traffic::request_id aId,
                  const target_id& aTarget,
                  const traffic::finish& aFinish,
                  time_point aNow);
  std::vector<traffic::decision> TakeDecisions();

private:
  void Place();

  plain_targets mTargets;
  std::deque<traffic::request_id> mQueue;
  std::vector<traffic::decision> mDecisions;
};

// Sends each request immediately to a random or the least busy target.
class direct_policy
{
public:
  direct_policy(bool aLeastOutstanding, std::uint64_t aSeed)
    : mIsLeastOutstanding(aLeastOutstanding)
    , mRandom(aSeed)
  {
  }
  void OnTargetUp(const traffic::target_state& aTarget, time_point aNow);
  void OnTargetLeaving(const target_id& aTarget, time_point aNow);
  void OnArrival(const traffic::arrival& aArrival, time_point aNow);
  void OnFinished(traffic::request_id aId,
                  const target_id& aTarget,
                  const traffic::finish& aFinish,
                  time_point aNow);
  std::vector<traffic::decision> TakeDecisions();

private:
  bool mIsLeastOutstanding;
  random_source mRandom;
  plain_targets mTargets;
  std::vector<traffic::decision> mDecisions;
};

// Seven entries with one dispatcher each. The slots of each target are lent to
// them again every 100 ms: free slots in proportion to what each entry has
// queued or running.
class credit_policy
{
public:
  static constexpr std::size_t kEntries = 7;

  credit_policy(double aSkew, std::uint64_t aSeed);
  void SetPolicy(const traffic::share_policy& aPolicy, time_point aNow);
  void OnTargetUp(const traffic::target_state& aTarget, time_point aNow);
  void OnTargetLeaving(const target_id& aTarget, time_point aNow);
  void OnArrival(const traffic::arrival& aArrival, time_point aNow);
  void OnFinished(traffic::request_id aId,
                  const target_id& aTarget,
                  const traffic::finish& aFinish,
                  time_point aNow);
  void Tick(time_point aNow);
  [[nodiscard]] std::optional<time_point> NextWake() const;
  std::vector<traffic::decision> TakeDecisions();

private:
  void Lend(time_point aNow);

  std::vector<traffic::dispatcher> mEntries;
  std::vector<traffic::target_state> mTargets;
  std::unordered_map<traffic::request_id, std::size_t> mOwner;
  random_source mRandom;
  double mSkew;
  time_point mNextLend{};
};

using any_policy =
  std::variant<traffic::dispatcher, fifo_policy, direct_policy, credit_policy>;

any_policy
MakePolicy(policy_kind aKind,
           const traffic::dispatch_options& aOptions,
           double aSkew,
           std::uint64_t aSeed);

} // namespace oriolewalk::bench
