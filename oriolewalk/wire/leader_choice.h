#pragma once

// Selects the control process to call next.
//
//   leader_choice choice({ "10.0.0.1:7001", "10.0.0.2:7001" });
//   choice.Current();                          // call this one
//   choice.Redirected(peer, "10.0.0.2:7001");  // it named the leader
//   choice.Failed(peer);                       // no answer, or no known leader
//
// Many calls fail at once when a leader is lost. Only the first failure of the
// current choice changes it; otherwise several failures would skip the new
// leader. Pure; not thread-safe.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace oriolewalk::wire {

class leader_choice
{
public:
  // aPeers must not be empty.
  explicit leader_choice(std::vector<std::string> aPeers);

  [[nodiscard]] const std::string& Current() const { return mPeers[mCurrent]; }
  void Redirected(std::string_view aFrom, std::string_view aLeader);
  void Failed(std::string_view aPeer);
  // Adds processes that have joined since. The current choice stays.
  void Learn(const std::vector<std::string>& aPeers);

private:
  std::vector<std::string> mPeers;
  std::size_t mCurrent = 0;
};

} // namespace oriolewalk::wire
