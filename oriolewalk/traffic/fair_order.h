#pragma once

// Weighted fair order of nodes that have work (start-time fair queueing).
//
// Load pattern: unlike senders that all have more work than fits. Without it
// the one that sends most gets most. Each node has a virtual time that grows
// by cost/weight; the node with the least is served next. A node that was idle
// starts at the present virtual time: its unused share was lent to the others,
// it is neither saved up nor owed, and the node has its share back with the
// next free slot.
//
// Node needs a member `fair_tag mTag`. Owned by a queue; one thread. Cost:
// O(log nodes) for each change.

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
    // Reset at empty, so that rounding never adds up.
    mWeight = mNodes.empty() ? 0 : mWeight - tag.mWeight;
  }

  // Moves the present on to the node that is about to be served.
  void Serve(const Node& aNode)
  {
    mVirtualTime = std::max(mVirtualTime, aNode.mTag.mVirtual);
  }

  // aCost may be negative: the correction of an estimate that was too high.
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

  // The next node for which aMayRun holds; nullptr if there is none.
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
