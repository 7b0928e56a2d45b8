#pragma once

// The dispatcher's state and counters for status pages and metrics.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "oriolewalk/base/id.h"
#include "oriolewalk/traffic/types.h"

namespace oriolewalk::traffic {

enum class target_phase : std::uint8_t
{
  Up,
  Probing, // after an ejection: few slots, doubled by each answer
  Ejected,
  Leaving,
  Gone, // still has attempts in progress
};

std::string_view
ToString(target_phase aPhase);

struct target_stats
{
  target_id mId;
  service_id mService;
  data_centre_id mDataCentre;
  target_phase mPhase = target_phase::Up;
  std::uint32_t mSlots = 0;
  std::uint32_t mAllowed = 0; // slots that may be used now
  std::uint32_t mHeld = 0;
  double mSlowness = 1; // measured latency relative to its peers
  double mFailureRate = 0;
};

struct flow_stats
{
  organisation_id mOrganisation;
  work_class mClass = work_class::Normal;
  double mWeight = 1;
  std::size_t mWaiting = 0;
  std::uint32_t mHeld = 0;
  double mMeanSeconds = 0; // 0 if not measured yet
  double mChargedSeconds = 0;
};

struct service_stats
{
  service_id mService;
  std::uint32_t mSlots = 0; // of the targets that take new work
  std::array<std::size_t, kClassCount> mWaiting{};
  std::array<std::uint32_t, kClassCount> mHeld{};
  std::vector<flow_stats> mFlows;
  std::vector<target_stats> mTargets;
};

struct dispatch_counters
{
  std::uint64_t mArrived = 0;
  std::uint64_t mDispatched = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mFinished = 0;
  std::uint64_t mEjections = 0;
  std::array<std::uint64_t, kRefusalCount> mRefused{};
};

struct dispatcher_stats
{
  dispatch_counters mCounters;
  std::vector<service_stats> mServices; // sorted by name
};

} // namespace oriolewalk::traffic
