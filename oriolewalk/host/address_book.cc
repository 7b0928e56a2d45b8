#include "oriolewalk/host/address_book.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace oriolewalk::host {

void
address_book::Heard(std::uint64_t aNode, std::string aAddress)
{
  mHeard.insert_or_assign(aNode, std::move(aAddress));
}

std::string
address_book::Find(consensus::node_id aNode,
                   const consensus::membership& aMembers) const
{
  if (const consensus::member* member = aMembers.Find(aNode)) {
    return member->mAddress;
  }
  for (const auto* known : { &mHeard, &mFounders }) {
    if (const auto found = known->find(aNode.Value()); found != known->end()) {
      return found->second;
    }
  }
  return {};
}

std::vector<std::string>
SeedsOutside(const std::vector<std::string>& aSeeds,
             const consensus::membership& aMembers)
{
  const auto listed = [&](const std::string& aSeed) {
    const auto here = [&](const consensus::member& aMember) {
      return aMember.mAddress == aSeed;
    };
    return std::ranges::any_of(aMembers.mVoters, here) ||
           std::ranges::any_of(aMembers.mLearners, here);
  };
  std::vector<std::string> outside;
  std::ranges::copy_if(
    aSeeds, std::back_inserter(outside), std::not_fn(listed));
  return outside;
}

} // namespace oriolewalk::host
