#pragma once

// Which control process to ask next. Pure: failures come in, a choice goes out.
//
//   leader_choice choice({ "10.0.0.1:7001", "10.0.0.2:7001" });
//   choice.Current();                        // ask this one
//   choice.Redirected(peer, "10.0.0.2:7001");  // it named the leader
//   choice.Failed(peer);                     // it is silent, or knows no
//   leader
//
// Many calls fail at once when a leader goes; only the first failure of the
// present choice moves it, or seven calls would walk past the new leader.
// Not thread-safe.

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
  // Processes that joined since: they are asked too, the present choice stays.
  void Learn(const std::vector<std::string>& aPeers);

private:
  std::vector<std::string> mPeers;
  std::size_t mCurrent = 0;
};

} // namespace oriolewalk::wire
