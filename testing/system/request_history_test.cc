// Random histories of a cell: callers, resends, operators' edits and faults in
// any order, two at once among them, judged by the oracle after every action.

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "oriolewalk/base/random.h"
#include "testing/system/fake_cell.h"

namespace oriolewalk::testing {
namespace {

constexpr int kActions = 60;
constexpr std::size_t kControls = 3;

// What operators were told of their changes.
struct edit_oracle
{
  std::map<std::string, std::uint16_t> mFirstAnswer;
  std::map<std::uint64_t, std::string> mWinner; // by the version edited
  std::string mBroken;

  void Told(const std::string& aChange,
            std::uint64_t aBase,
            std::uint16_t aStatus)
  {
    constexpr std::uint16_t kAccepted = 200;
    const auto first = mFirstAnswer.emplace(aChange, aStatus).first;
    if (first->second != aStatus) {
      mBroken = "change " + aChange + " was told " +
                std::to_string(first->second) + " and then " +
                std::to_string(aStatus);
    }
    if (aStatus == kAccepted) {
      const auto winner = mWinner.emplace(aBase, aChange).first;
      if (winner->second != aChange) {
        mBroken = "two changes of version " + std::to_string(aBase);
      }
    }
  }
};

class history
{
public:
  explicit history(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mCell(kControls, aSeed)
  {
    mCell.AddEntry("e1");
    mCell.AddEntry("e2");
    mCell.AddTarget("t1", 2);
    mCell.AddTarget("t2", 2);
    mCell.Run(seconds(2));
  }

  std::string Run()
  {
    for (int action = 0; action < kActions; ++action) {
      Act();
      mCell.Run(milliseconds(mRandom.Below(400)));
      if (std::string broken = Broken(); !broken.empty()) {
        return broken;
      }
    }
    Heal();
    mCell.Run(seconds(25));
    const std::size_t last = mCell.Send("e2", { .mKey = "last" });
    mCell.Run(seconds(5));
    if (mCell.Outcome(last) != "completed") {
      return "the healed cell does not serve: " + mCell.Outcome(last);
    }
    return Broken();
  }

private:
  [[nodiscard]] std::string Broken() const
  {
    const std::string audit = mCell.Audit();
    return audit.empty() ? mEdits.mBroken : audit;
  }

  void Act()
  {
    constexpr std::uint64_t kKinds = 12;
    switch (mRandom.Below(kKinds)) {
      case 0:
        FaultControl();
        break;
      case 1:
        HealControl();
        break;
      case 2:
        FaultEntry();
        break;
      case 3:
        MoodOfTarget();
        break;
      case 4:
        mCell.DisturbNetwork(mRandom.Below(2) * 10, mRandom.Below(2) * 10);
        break;
      case 5:
      case 6:
        Edit();
        break;
      default:
        Send();
        break;
    }
  }

  std::string Entry() { return mRandom.Below(2) == 0 ? "e1" : "e2"; }

  // New keys and resends, the same key also through both entries at once.
  void Send()
  {
    constexpr std::uint64_t kKeys = 12;
    send_request request;
    const std::uint64_t key = mRandom.Below(kKeys);
    request.mKey = "k" + std::to_string(key);
    request.mBody = "pay " + std::to_string(key);
    request.mRepeatable = key % 3 == 0;
    request.mDeadline = milliseconds(200 + mRandom.Below(3000));
    mCell.Send(Entry(), request);
    if (mRandom.Below(3) == 0) {
      mCell.Send(Entry(), request);
    }
  }

  void Edit()
  {
    constexpr std::uint64_t kChanges = 8;
    const std::uint64_t number = mRandom.Below(kChanges);
    const std::string change = "c" + std::to_string(number);
    const std::uint64_t base = 1 + number / 2;
    protocol::operator_request request;
    request.mMethod = "PUT";
    request.mPath = "/v1/weights";
    request.mKey = change;
    request.mIfMatch = std::to_string(base);
    request.mBody = weights::weights_table::BuiltIn().ToCsv() + "team,*," +
                    std::to_string(10 + number) + ",,,,,,,,\n";
    mCell.Ask(request,
              mCell.Now() + seconds(8),
              [this, change, base](const auto& aAnswer) {
                constexpr std::uint16_t kNotKnown = 500;
                const auto* told =
                  aAnswer ? std::get_if<protocol::operator_answer>(&*aAnswer)
                          : nullptr;
                if (told != nullptr && told->mStatus < kNotKnown) {
                  mEdits.Told(change, base, told->mStatus);
                }
              });
  }

  void FaultControl()
  {
    const std::size_t control = mRandom.Below(kControls);
    switch (mRandom.Below(3)) {
      case 0:
        mCell.Crash(control);
        mDown.insert(control);
        break;
      case 1:
        mCell.Pause(control, true);
        break;
      default:
        mCell.Cut(control, true);
        break;
    }
  }

  void HealControl()
  {
    const std::size_t control = mRandom.Below(kControls);
    mCell.Pause(control, false);
    mCell.Cut(control, false);
    if (mDown.erase(control) != 0) {
      mCell.Restart(control);
    }
  }

  void FaultEntry()
  {
    const std::string entry = Entry();
    switch (mRandom.Below(3)) {
      case 0:
        mCell.CrashEntry(entry);
        mCell.AddEntry(entry); // restarted at once, with another boot
        break;
      case 1:
        mCell.PauseEntry(entry, true);
        break;
      default:
        mCell.PauseEntry(entry, false);
        break;
    }
  }

  void MoodOfTarget()
  {
    constexpr std::array kMoods = { target_mood::Serves,
                                    target_mood::Refuses,
                                    target_mood::CutsAnswers,
                                    target_mood::Stalls };
    mCell.SetMood(mRandom.Below(2) == 0 ? "t1" : "t2",
                  kMoods.at(mRandom.Below(kMoods.size())));
  }

  void Heal()
  {
    mCell.DisturbNetwork(0, 0);
    mCell.SetMood("t1", target_mood::Serves);
    mCell.SetMood("t2", target_mood::Serves);
    mCell.PauseEntry("e1", false);
    mCell.PauseEntry("e2", false);
    for (std::size_t control = 0; control < kControls; ++control) {
      mCell.Pause(control, false);
      mCell.Cut(control, false);
      if (mDown.erase(control) != 0) {
        mCell.Restart(control);
      }
    }
  }

  random_source mRandom;
  fake_cell mCell;
  edit_oracle mEdits;
  std::set<std::size_t> mDown;
};

TEST_CASE("random histories keep every promise")
{
  const auto seed = GENERATE(range<std::uint64_t>(1, 61));
  INFO("seed " << seed);
  CHECK(history(seed).Run() == "");
}

} // namespace
} // namespace oriolewalk::testing
