#include "oriolewalk/consensus/options.h"

#include <chrono>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"

namespace oriolewalk::consensus {

duration
raft_options::Lease() const
{
  return std::chrono::duration_cast<duration>(mElectionMin *
                                              (1.0 - mDriftBound));
}

result<void>
raft_options::Check() const
{
  constexpr auto kStep = "checking the options of the log";
  if (mHeartbeat <= duration::zero() || mElectionMin < 2 * mHeartbeat) {
    return Fail(error_code::InvalidArgument,
                kStep,
                "the election time-out must be two heartbeats or more");
  }
  if (mElectionMax <= mElectionMin) {
    return Fail(error_code::InvalidArgument,
                kStep,
                "the longest election time-out must exceed the shortest");
  }
  if (mDriftBound < 0.0 || mDriftBound >= 1.0) {
    return Fail(
      error_code::InvalidArgument, kStep, "the drift bound must be in [0, 1)");
  }
  if (mMaxBatchEntries == 0 || mMaxBatchBytes == 0 || mMaxInflight == 0 ||
      mSnapshotChunkBytes == 0) {
    return Fail(
      error_code::InvalidArgument, kStep, "sizes must be greater than 0");
  }
  return {};
}

} // namespace oriolewalk::consensus
