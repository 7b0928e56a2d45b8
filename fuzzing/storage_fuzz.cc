// The data folder on a disk that fails, against a plain model of what was
// asked. After each crash the folder must hold exactly what the model held at
// some moment between the last successful sync and the crash.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include <fuzzer/FuzzedDataProvider.h>

#include "oriolewalk/storage/data_folder.h"
#include "oriolewalk/storage/verify.h"
#include "testing/storage/faulty_disk.h"

namespace oriolewalk::storage {
namespace {

const std::string kPath = "/data";
const folder_identity kIdentity{ "fuzz", 1 };

void
Require(bool aHolds, const char* aWhat)
{
  if (!aHolds) {
    std::fprintf(stderr, "does not hold: %s\n", aWhat);
    std::abort();
  }
}

struct model
{
  bytes mVote;
  std::optional<snapshot_record> mSnapshot;
  std::vector<log_record> mRecords;

  bool operator==(const model&) const = default;

  [[nodiscard]] std::uint64_t Base() const
  {
    return mSnapshot ? mSnapshot->mIndex : 0;
  }
  [[nodiscard]] std::uint64_t Last() const { return Base() + mRecords.size(); }
};

class storage_run
{
public:
  storage_run(const std::uint8_t* aData, std::size_t aSize)
    : mInput(aData, aSize)
    , mRandom(mInput.ConsumeIntegral<std::uint16_t>())
  {
    mOptions.mSegmentBytes = mInput.ConsumeIntegralInRange(1, 600);
    mOptions.mBlockBytes = mInput.ConsumeIntegralInRange(1, 400);
    Reopen();
  }

  void Run()
  {
    constexpr int kSteps = 200;
    for (int i = 0; i < kSteps && mInput.remaining_bytes() > 0; ++i) {
      Step();
      if (!mFolder || mFolder->Failure()) {
        Restart(mInput.ConsumeBool());
      }
    }
    Restart(true);
  }

private:
  void Step()
  {
    enum class action : std::uint8_t
    {
      Append,
      Truncate,
      Vote,
      Sync,
      Snapshot,
      Fault,
      Kill,
      PowerLoss,
      kMaxValue = PowerLoss
    };
    switch (mInput.ConsumeEnum<action>()) {
      case action::Append:
        return Append();
      case action::Truncate:
        return Truncate();
      case action::Vote:
        return Vote();
      case action::Sync:
        return Sync();
      case action::Snapshot:
        return Snapshot();
      case action::Fault:
        return mDisk.FailAt(
          mInput.ConsumeIntegralInRange(1, 8),
          static_cast<faulty_disk::fault>(mInput.ConsumeIntegralInRange(0, 6)));
      case action::Kill:
        return Restart(false);
      case action::PowerLoss:
        return Restart(true);
    }
  }

  model& Next()
  {
    mMoments.push_back(mMoments.back());
    return mMoments.back();
  }

  void Append()
  {
    std::vector<log_record> records;
    const auto count = mInput.ConsumeIntegralInRange(1, 4);
    for (int i = 0; i < count; ++i) {
      log_record record;
      record.mIndex = mMoments.back().Last() + 1;
      record.mTerm = mInput.ConsumeIntegral<std::uint8_t>();
      record.mPayload.assign(mInput.ConsumeIntegralInRange(0, 700), 'p');
      records.push_back(record);
      Next().mRecords.push_back(record);
    }
    const auto done = mFolder->Append(records);
    Require(done || mFolder->Failure(), "a fitting append is taken");
  }

  void Truncate()
  {
    const auto& now = mMoments.back();
    const auto from = mInput.ConsumeIntegralInRange<std::uint64_t>(
      now.Base() + 1, now.Last() + 1);
    auto& next = Next();
    next.mRecords.resize(from - next.Base() - 1);
    const auto done = mFolder->TruncateFrom(from);
    Require(done || mFolder->Failure(), "a fitting truncation is taken");
  }

  void Vote()
  {
    Next().mVote = "vote " + std::to_string(++mVotes);
    const auto done = mFolder->SaveVote(mMoments.back().mVote);
    Require(done || mFolder->Failure(), "a vote is taken");
  }

  void Sync()
  {
    const auto calls = mDisk.ChangingCalls();
    if (mFolder->Sync()) {
      mMoments.erase(mMoments.begin(), mMoments.end() - 1);
    } else {
      Require(mFolder->Sync().error().Describe() ==
                mFolder->Failure()->Describe(),
              "a failed folder stays failed");
    }
    // At most: make a segment, its header, two syncs, block, its sync, and one
    // more write after a short one.
    Require(mDisk.ChangingCalls() <= calls + 7, "a sync is a few calls");
  }

  void Snapshot()
  {
    const auto& now = mMoments.back();
    const auto index = mInput.ConsumeIntegralInRange<std::uint64_t>(
      now.Base() + 1, now.Last() + 3);
    const snapshot_record snapshot{ index,
                                    1,
                                    "state " + std::to_string(index) };
    const bool install = mInput.ConsumeBool();
    if (install) {
      // What lies past it goes first, in a moment of its own.
      auto& cut = Next();
      cut.mRecords.resize(
        std::min<std::size_t>(cut.mRecords.size(), index - cut.Base()));
    }
    Cover(Next(), snapshot);
    const auto saved = install ? mFolder->InstallSnapshot(snapshot)
                               : mFolder->SaveSnapshot(snapshot);
    if (saved) {
      mMoments.erase(mMoments.begin(), mMoments.end() - 1);
    } else {
      Require(mFolder->Failure().has_value(), "a fitting snapshot is taken");
    }
  }

  static void Cover(model& aModel, const snapshot_record& aSnapshot)
  {
    const auto covered = std::min<std::uint64_t>(
      aSnapshot.mIndex - aModel.Base(), aModel.mRecords.size());
    aModel.mRecords.erase(aModel.mRecords.begin(),
                          aModel.mRecords.begin() +
                            static_cast<std::ptrdiff_t>(covered));
    aModel.mSnapshot = aSnapshot;
  }

  void Restart(bool aPowerLoss)
  {
    mFolder.reset();
    if (aPowerLoss) {
      mDisk.Crash(mRandom);
    } else {
      mDisk.Kill();
    }
    const auto report = Verify(mDisk, kPath);
    Require(report && report->Sound(), "a crash leaves a sound folder");
    Reopen();
  }

  void Reopen()
  {
    auto opened = data_folder::Open(mDisk, kPath, kIdentity, mOptions);
    if (!opened) {
      std::fprintf(stderr, "%s\n", opened.error().Describe().c_str());
    }
    Require(opened.has_value(), "a folder opens after a crash");
    mFolder = std::move(opened->mFolder);
    model found{ opened->mState.mVote,
                 opened->mState.mSnapshot,
                 opened->mState.mRecords };
    Require(std::ranges::find(mMoments, found) != mMoments.end(),
            "a crash leaves a moment since the last sync");
    Require(opened->mState.mFresh == (found == model{}), "fresh means empty");
    Require(mFolder->LastIndex() == found.Last(), "the last index agrees");
    mMoments = { std::move(found) }; // Shown to the owner: must stay.
  }

  FuzzedDataProvider mInput;
  random_source mRandom;
  folder_options mOptions;
  faulty_disk mDisk;
  std::unique_ptr<data_folder> mFolder;
  std::vector<model> mMoments{ model{} };
  int mVotes = 0;
};

} // namespace
} // namespace oriolewalk::storage

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  oriolewalk::storage::storage_run(aData, aSize).Run();
  return 0;
}
