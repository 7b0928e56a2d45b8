#pragma once

// One made-up history of faults, drawn choice by choice: the fuzzer draws from
// its input, a walk from a seed. The oracle looks after every millisecond of
// it. At the end the faults are lifted: unless disks were lost or members
// changed, the group must then elect and commit. One thread.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "testing/consensus/fake_cluster.h"

namespace oriolewalk::consensus {

// Returns a number in [0, bound), or nothing when the input is used up.
using choice_source =
  std::function<std::optional<std::uint64_t>(std::uint64_t aBound)>;

class fault_history
{
public:
  fault_history(choice_source aChoose, mutation aMutation);

  // What didn't hold, if anything.
  std::optional<std::string> Play(int aMostActions);

private:
  std::uint64_t Choose(std::uint64_t aBound);
  node_id AnyNode();
  cluster_options Options(mutation aMutation);
  void Act();
  void Crash();
  void Propose();
  void Cut();
  void Transfer();
  void Change();
  void ChangeMembers(node_id aLeader, node_id aNode, std::uint64_t aKind);
  void Recover();

  choice_source mChoose;
  bool mIsOver = false;
  fake_cluster mCluster;
  int mCommands = 0;
  bool mIsWhole = true;
  bool mIsStuck = false;
};

} // namespace oriolewalk::consensus
