#pragma once

// An order of events that holds across processes whose wall clocks differ: a
// hybrid logical clock (Kulkarni et al., 2014).
//
//   const stamp sent = clock.Next(WallMilliseconds()); // goes with a message
//   other.Merge(message.mStamp);                       // on receipt
//   // every later other.Next(...) is greater than sent
//
// The wall time alone would order an answer before its question whenever the
// answerer's clock is behind; a logical count alone would not tell when.

#include <compare>
#include <cstdint>
#include <string>

namespace oriolewalk::observe {

struct stamp
{
  std::int64_t mWallMs = 0;   // milliseconds since the epoch
  std::uint32_t mLogical = 0; // order within and ahead of that millisecond

  auto operator<=>(const stamp&) const = default;
  [[nodiscard]] std::string ToString() const; // "1700000000000.3"

  template<class Archive>
  void serialize(Archive& aArchive) // NOLINT(readability-identifier-naming)
  {
    aArchive(mWallMs, mLogical);
  }
};

// One process's clock. Pure; not thread-safe (event_log guards its own).
class hybrid_clock
{
public:
  // A peer further ahead than this isn't followed: one clock set years ahead
  // would otherwise set the times of the whole cell for good. Order between
  // such a peer and us is given up, the rest of the cell's is kept.
  static constexpr std::int64_t kMostAheadMs = 3'600'000;

  // Greater than every stamp that was given out or merged before.
  stamp Next(std::int64_t aWallMs);
  // Takes in a stamp that came with a message. False if it was too far ahead
  // of aWallMs and was left out.
  bool Merge(const stamp& aSeen, std::int64_t aWallMs);
  [[nodiscard]] const stamp& Last() const { return mLast; }

private:
  stamp mLast;
};

} // namespace oriolewalk::observe
