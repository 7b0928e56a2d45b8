// Instances confirm versions to a leader that changes, with delays, losses,
// pauses and clocks that drift; a deposed leader goes on granting for its
// bound. When the tracker says "in force everywhere", no instance may act on
// an older version.

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

#include <fuzzer/FuzzedDataProvider.h>

#include "oriolewalk/weights/in_force.h"
#include "oriolewalk/weights/serving_lease.h"

namespace oriolewalk::weights {
namespace {

void
Require(bool aHolds, const char* aWhat)
{
  if (!aHolds) {
    std::fprintf(stderr, "does not hold: %s\n", aWhat);
    std::abort();
  }
}

struct message
{
  std::size_t mInstance = 0;
  std::uint64_t mVersion = 0;
  bool mGranted = false;
  time_point mSentAt; // By the instance's clock.
};

struct old_leader
{
  std::uint64_t mVersion = 0;
  time_point mUntil;
};

class in_force_run
{
public:
  in_force_run(const std::uint8_t* aData, std::size_t aSize)
    : mInput(aData, aSize)
    , mTracker(mOptions, mNow)
  {
    for (auto& rate : mRates) {
      rate = mInput.ConsumeIntegralInRange(-4, 4);
    }
    for (auto& lease : mLeases) {
      lease.Adopt(1);
    }
  }

  void Run()
  {
    constexpr int kSteps = 300;
    for (int i = 0; i < kSteps && mInput.remaining_bytes() > 0; ++i) {
      Step();
      Check();
    }
  }

private:
  static constexpr std::size_t kInstances = 3;

  void Step()
  {
    const auto instance =
      mInput.ConsumeIntegralInRange<std::size_t>(0, kInstances - 1);
    switch (mInput.ConsumeIntegralInRange(0, 6)) {
      case 0:
        mNow += milliseconds(mInput.ConsumeIntegralInRange(1, 2500));
        break;
      case 1:
        mVersion += 1;
        break;
      case 2:
        mLeases.at(instance).Adopt(mVersion);
        break;
      case 3:
        mRequests.push_back({ instance,
                              mLeases.at(instance).Version(),
                              false,
                              ClockOf(instance) });
        break;
      case 4:
        Handle();
        break;
      case 5:
        Receive();
        break;
      default:
        mOld = old_leader{ mVersion, mNow + mOptions.mOldLeaderBound };
        mTracker = in_force_tracker(mOptions, mNow);
        break;
    }
  }

  // Instances' clocks differ by up to 0.4 %.
  [[nodiscard]] time_point ClockOf(std::size_t aInstance) const
  {
    const auto since = mNow.time_since_epoch();
    return time_point(since + since * mRates.at(aInstance) / 1000);
  }

  std::optional<message> Pick(std::vector<message>& aFrom)
  {
    if (aFrom.empty()) {
      return std::nullopt;
    }
    const auto at =
      mInput.ConsumeIntegralInRange<std::size_t>(0, aFrom.size() - 1);
    const auto picked = aFrom.at(at);
    // Kept at times: networks duplicate.
    if (mInput.ConsumeBool()) {
      aFrom.erase(aFrom.begin() + static_cast<std::ptrdiff_t>(at));
    }
    return picked;
  }

  void Handle()
  {
    auto request = Pick(mRequests);
    if (!request) {
      return;
    }
    const bool byOld = mOld && mNow < mOld->mUntil && mInput.ConsumeBool();
    if (byOld) {
      request->mGranted = request->mVersion == mOld->mVersion;
    } else {
      const instance_id name(std::to_string(request->mInstance));
      request->mGranted =
        mTracker.Confirm(name, request->mVersion, mVersion, mNow).mGranted;
    }
    mAnswers.push_back(*request);
  }

  void Receive()
  {
    const auto answer = Pick(mAnswers);
    if (answer && answer->mGranted) {
      mLeases.at(answer->mInstance)
        .Confirmed(answer->mVersion, answer->mSentAt);
    }
  }

  void Check() const
  {
    const auto report = mTracker.Report(mVersion, mNow);
    if (!report.mEverywhere) {
      return;
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      const auto& lease = mLeases.at(i);
      Require(!lease.MayAdmit(ClockOf(i)) || lease.Version() >= mVersion,
              "in force everywhere: nobody acts on an older version");
    }
  }

  FuzzedDataProvider mInput;
  in_force_options mOptions;
  time_point mNow{ seconds(1) };
  std::uint64_t mVersion = 1;
  in_force_tracker mTracker;
  std::optional<old_leader> mOld;
  std::array<int, kInstances> mRates{};
  std::array<serving_lease, kInstances> mLeases{};
  std::vector<message> mRequests;
  std::vector<message> mAnswers;
};

} // namespace
} // namespace oriolewalk::weights

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  oriolewalk::weights::in_force_run(aData, aSize).Run();
  return 0;
}
