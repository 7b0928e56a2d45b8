#pragma once

// Where a control process answers another one: its RPC address by its number.
//
//   address_book book(founders);
//   book.Heard(message.mFrom.Value(), address);   // each message names it
//   const std::string to = book.Find(node, raft.Members());
//
// The failure it answers: a process that lost its disk knows no members, only
// the founders of its settings. A leader that isn't a founder sent it the log,
// and its answers went nowhere: the leader took it for silent, and it never
// came back. That the sender names its address is enough, since whoever must
// answer has heard the question. Pure; one thread; as many rows as processes.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "oriolewalk/consensus/types.h"

namespace oriolewalk::host {

class address_book
{
public:
  explicit address_book(std::map<std::uint64_t, std::string> aFounders)
    : mFounders(std::move(aFounders))
  {
  }

  void Heard(std::uint64_t aNode, std::string aAddress);
  // As the group lists it; else as it said itself; else as a founder. Empty if
  // it isn't known.
  [[nodiscard]] std::string Find(consensus::node_id aNode,
                                 const consensus::membership& aMembers) const;

private:
  std::map<std::uint64_t, std::string> mFounders;
  std::map<std::uint64_t, std::string> mHeard;
};

// Those of aSeeds that the group doesn't list: they are told who leads, since
// whoever starts anew knows the seeds alone.
std::vector<std::string>
SeedsOutside(const std::vector<std::string>& aSeeds,
             const consensus::membership& aMembers);

} // namespace oriolewalk::host
