#pragma once

// Calls whose answer waits for something to happen, each with a latest time.
//
//   held_calls<worker_id, poll> polls;
//   polls.Hold(worker, call, poll, now + wait);
//   for (auto& due : polls.TakeDue(now)) { answer it now }
//
// One call per key: a later one takes the place of an earlier one, which is
// given back to be answered. Owned by the control core; O(log n) a call.

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/control/call.h"

namespace oriolewalk::control {

template<class Key, class Question>
class held_calls
{
public:
  struct held
  {
    call_id mCall;
    Question mQuestion;
    time_point mUntil;
  };

  std::optional<held> Hold(const Key& aKey, held aHeld)
  {
    std::optional<held> former = Take(aKey);
    mDue.emplace(aHeld.mUntil, aKey);
    mHeld.emplace(aKey, std::move(aHeld));
    return former;
  }

  std::optional<held> Take(const Key& aKey)
  {
    auto node = mHeld.extract(aKey);
    if (node.empty()) {
      return std::nullopt;
    }
    EraseDue(node.mapped().mUntil, aKey);
    return std::move(node.mapped());
  }

  std::vector<std::pair<Key, held>> TakeDue(time_point aNow)
  {
    std::vector<std::pair<Key, held>> due;
    while (!mDue.empty() && mDue.begin()->first <= aNow) {
      const Key key = mDue.begin()->second;
      if (auto taken = Take(key)) {
        due.emplace_back(key, std::move(*taken));
      }
    }
    return due;
  }

  std::vector<std::pair<Key, held>> TakeAll()
  {
    return TakeDue(time_point::max());
  }

  [[nodiscard]] const held* Find(const Key& aKey) const
  {
    const auto found = mHeld.find(aKey);
    return found == mHeld.end() ? nullptr : &found->second;
  }
  [[nodiscard]] std::size_t Size() const { return mHeld.size(); }

private:
  void EraseDue(time_point aUntil, const Key& aKey)
  {
    auto [first, last] = mDue.equal_range(aUntil);
    for (; first != last; ++first) {
      if (first->second == aKey) {
        mDue.erase(first);
        return;
      }
    }
  }

  std::map<Key, held> mHeld;
  std::multimap<time_point, Key> mDue;
};

} // namespace oriolewalk::control
