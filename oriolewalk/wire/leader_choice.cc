#include "oriolewalk/wire/leader_choice.h"

#include <algorithm>
#include <utility>

namespace oriolewalk::wire {

leader_choice::leader_choice(std::vector<std::string> aPeers)
  : mPeers(std::move(aPeers))
{
}

void
leader_choice::Redirected(std::string_view aFrom, std::string_view aLeader)
{
  if (aFrom != Current()) {
    return;
  }
  if (aLeader.empty() || aLeader == aFrom) {
    Failed(aFrom);
    return;
  }
  const auto found = std::ranges::find(mPeers, aLeader);
  if (found == mPeers.end()) {
    // It has joined since the peers were configured.
    mPeers.emplace_back(aLeader);
    mCurrent = mPeers.size() - 1;
    return;
  }
  mCurrent = static_cast<std::size_t>(found - mPeers.begin());
}

void
leader_choice::Failed(std::string_view aPeer)
{
  if (aPeer == Current()) {
    mCurrent = (mCurrent + 1) % mPeers.size();
  }
}

void
leader_choice::Learn(const std::vector<std::string>& aPeers)
{
  for (const std::string& peer : aPeers) {
    if (std::ranges::find(mPeers, peer) == mPeers.end()) {
      mPeers.push_back(peer);
    }
  }
}

} // namespace oriolewalk::wire
