#pragma once

// What must hold for a group at every moment, told from what its nodes say to
// the outside. The first thing that doesn't hold is kept as text. One thread.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "oriolewalk/consensus/raft_node.h"

namespace oriolewalk::consensus {

class log_oracle
{
public:
  // Two nodes leading in one term, or a leader without a committed entry.
  void Role(const raft_node& aNode);
  // Entries change or are lost, or an applied order differs.
  void Committed(const raft_node& aNode, const log_entry& aEntry);
  // A proposer was told that its command is committed, or that it never will.
  void Acknowledged(const bytes& aCommand);
  void Refused(const bytes& aCommand);
  // aServing of all nodes say at this moment that they may serve; aBarrier is
  // what one of them would read from.
  void Serving(int aServing, std::optional<log_index> aBarrier);
  // The commands up to aIndex, as a state machine must have them.
  void State(node_id aNode, log_index aIndex, const bytes& aDigest);

  [[nodiscard]] log_index LastCommitted() const;
  [[nodiscard]] std::size_t Commands() const { return mCommands.size(); }
  [[nodiscard]] bool IsCommitted(const bytes& aCommand) const;
  [[nodiscard]] const std::optional<std::string>& Violation() const
  {
    return mViolation;
  }
  void Violate(std::string aWhat);
  // The digest of a state machine after one more entry.
  static bytes Digest(const bytes& aBefore, const log_entry& aEntry);

private:
  std::map<term_t, node_id> mLeaders;
  std::map<log_index, log_entry> mCommitted;
  // The term in which a node first told of it: not below the one in which it
  // was committed.
  std::map<log_index, term_t> mCommitTerms;
  std::map<log_index, bytes> mDigests;
  std::set<bytes> mCommands;
  std::set<bytes> mRefused;
  std::optional<std::string> mViolation;
};

} // namespace oriolewalk::consensus
