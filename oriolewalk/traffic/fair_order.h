#pragma once

// Weighted fair order of active nodes (start-time fair queueing).
//
// This handles unequal senders that all have more work than fits. Without it
// the sender with the most requests gets the most capacity. Each node has a
// virtual time that grows by cost/weight, and the node with the smallest one is
// served next. A node that was idle starts at the current virtual time: its
// unused share was lent to the others, it has neither credit nor debt, and it
// gets its share back with the next free slot.
//
// Node needs a member `fair_tag mTag`. Owned by a queue; used by one thread.
// Each change costs O(log nodes).

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace oriolewalk::traffic {

struct fair_tag
{
  double mVirtual = 0;
  double mWeight = 1;
  std::uint64_t mTurn = 0;
  bool mActive = false;
};

template<class Node>
class fair_order
{
public:
  void Activate(Node& aNode)
  {
    fair_tag& tag = aNode.mTag;
    if (tag.mActive) {
      return;
    }
    tag.mVirtual = std::max(tag.mVirtual, mVirtualTime);
    Insert(aNode);
  }

  void Deactivate(Node& aNode)
  {
    fair_tag& tag = aNode.mTag;
    if (!tag.mActive) {
      return;
    }
    mNodes.erase({ tag.mVirtual, tag.mTurn });
    tag.mActive = false;
    // Reset when empty, so that rounding errors do not accumulate.
    mWeight = mNodes.empty() ? 0 : mWeight - tag.mWeight;
  }

  // Advances the virtual time to the node that is about to be served.
  void Serve(const Node& aNode)
  {
    mVirtualTime = std::max(mVirtualTime, aNode.mTag.mVirtual);
  }

  // aCost is negative when it corrects an estimate that was too high.
  void Charge(Node& aNode, double aCost)
  {
    const bool active = aNode.mTag.mActive;
    Deactivate(aNode);
    aNode.mTag.mVirtual += aCost / aNode.mTag.mWeight;
    if (active) {
      Insert(aNode);
    }
  }

  void SetWeight(Node& aNode, double aWeight)
  {
    const bool active = aNode.mTag.mActive;
    Deactivate(aNode);
    aNode.mTag.mWeight = aWeight;
    if (active) {
      Insert(aNode);
    }
  }

  // Returns the first node for which aMayRun holds, or nullptr.
  template<class Predicate>
  [[nodiscard]] Node* First(Predicate aMayRun) const
  {
    const auto found = std::ranges::find_if(
      mNodes, [&](const auto& aEntry) { return aMayRun(*aEntry.second); });
    return found == mNodes.end() ? nullptr : found->second;
  }

  [[nodiscard]] const auto& Nodes() const { return mNodes; }
  [[nodiscard]] double Weight() const { return mWeight; }
  [[nodiscard]] double VirtualTime() const { return mVirtualTime; }

private:
  void Insert(Node& aNode)
  {
    fair_tag& tag = aNode.mTag;
    tag.mTurn = ++mTurns;
    tag.mActive = true;
    mNodes.emplace(std::pair(tag.mVirtual, tag.mTurn), &aNode);
    mWeight += tag.mWeight;
  }

  std::map<std::pair<double, std::uint64_t>, Node*> mNodes;
  double mVirtualTime = 0;
  double mWeight = 0;
  std::uint64_t mTurns = 0;
};

} // namespace oriolewalk::traffic
