#pragma once

// A cell in one thread: control cores, entries' request flows and targets,
// joined by a network and disks that tests can break. Nothing here decides
// anything: it carries messages, keeps what was stored, and records what ran.
//
//   fake_cell cell(3, seed);
//   cell.Run(seconds(2));                    // until a leader is there
//   auto call = cell.Send("e1", "k", options);
//   cell.CrashLeader();
//   cell.Run(seconds(10));
//   cell.Answer(call)                        // what the caller got

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "oriolewalk/control/control_core.h"
#include "oriolewalk/entry/request_flow.h"
#include "oriolewalk/wire/leader_choice.h"

namespace oriolewalk::testing {

struct send_request
{
  std::string mKey = "k";
  std::string mOrganisation = "taksa";
  std::string mBody = "pay 1";
  bool mRepeatable = false;
  milliseconds mDeadline{ 3000 };
  traffic::work_class mClass = traffic::work_class::Normal;
};

// One run of a request on a target.
struct target_run
{
  std::string mKey;
  std::uint32_t mAttempt = 0;
  time_point mFrom;
  time_point mTo;
};

// What a target does with the next requests.
enum class target_mood : std::uint8_t
{
  Serves,
  Refuses,     // no connection: surely not started
  CutsAnswers, // runs, and the connection breaks before the answer
  Stalls,      // runs for ever
};

class fake_cell
{
public:
  static constexpr milliseconds kStep{ 1 };
  static constexpr milliseconds kNetwork{ 1 };

  fake_cell(std::size_t aControls, std::uint64_t aSeed);
  ~fake_cell();
  fake_cell(const fake_cell&) = delete;
  fake_cell& operator=(const fake_cell&) = delete;
  fake_cell(fake_cell&&) = delete;
  fake_cell& operator=(fake_cell&&) = delete;

  void AddEntry(const std::string& aName);
  void AddTarget(const std::string& aName, std::uint32_t aSlots);
  void Run(duration aFor);
  // Steps until aDone holds, at most for aFor; says whether it did.
  bool RunUntil(const std::function<bool()>& aDone, duration aFor);

  // Callers. Returns the number of the call.
  std::size_t Send(const std::string& aEntry, const send_request& aRequest);
  // Nothing yet, or never, if its entry died.
  [[nodiscard]] const std::optional<http::response>& Answer(
    std::size_t aCall) const;
  // "completed", "busy", …; "error" for others, "none" without an answer.
  [[nodiscard]] std::string Outcome(std::size_t aCall) const;
  // The step that the call is at: "claiming", "forwarding", "reporting",
  // "answered".
  [[nodiscard]] std::string StepOf(std::size_t aCall) const;

  // Faults.
  [[nodiscard]] std::optional<std::size_t> Leader() const;
  void Crash(std::size_t aControl); // unsynced writes are lost
  void Restart(std::size_t aControl);
  void LoseDisk(std::size_t aControl); // of a crashed one
  void Pause(std::size_t aControl, bool aPaused);
  void Cut(std::size_t aControl, bool aCut); // silent, both ways
  void CrashEntry(const std::string& aEntry);
  void PauseEntry(const std::string& aEntry, bool aPaused);
  void SetMood(const std::string& aTarget, target_mood aMood);
  void LeaveTarget(const std::string& aTarget);
  // Loses or doubles one in aEvery messages between control processes; 0: none.
  void DisturbNetwork(std::uint64_t aLoseOneIn, std::uint64_t aDoubleOneIn);

  // Asks the leader like an entry's link does.
  void Ask(protocol::request_body aBody,
           time_point aUntil,
           std::function<void(const result<protocol::answer_body>&)> aDone);

  [[nodiscard]] const std::vector<target_run>& Runs() const { return mRuns; }
  [[nodiscard]] std::size_t RunsOf(const std::string& aKey) const;
  [[nodiscard]] std::uint32_t MostHeld(const std::string& aTarget) const;
  // The first broken promise; empty if all hold.
  [[nodiscard]] std::string Audit() const;
  [[nodiscard]] control::control_core& Core(std::size_t aControl);
  [[nodiscard]] time_point Now() const { return mNow; }
  [[nodiscard]] const std::vector<std::string>& Events() const
  {
    return mEvents;
  }

private:
  struct fake_disk
  {
    consensus::restored_state mState;
    bool mInitialised = true;
  };
  struct fake_control
  {
    fake_disk mDisk;
    std::unique_ptr<control::control_core> mCore;
    std::deque<voter::write_batch> mWrites; // not yet durable
    bool mPaused = false;
    bool mCut = false;
    std::uint64_t mLives = 0;
  };
  struct question
  {
    protocol::request_body mBody;
    time_point mUntil;
    time_point mRetryAt;
    std::size_t mPeer = 0;
    bool mSent = false;
    std::uint64_t mHeardBy = 0; // which life of the peer has it; 0: none
    std::function<void(const result<protocol::answer_body>&)> mDone;
  };
  struct fake_call
  {
    std::string mEntry;
    send_request mRequest;
    std::unique_ptr<entry::request_flow> mFlow;
    std::string mStep = "claiming";
    std::optional<http::response> mAnswer;
  };
  struct fake_entry
  {
    ledger::owning_entry mOwner;
    bool mUp = true;
    bool mPaused = false;
    std::uint64_t mVersion = 0;
    time_point mBeatAt{};
    bool mBeating = false;
    std::deque<std::function<void()>> mHeldBack; // while it is paused
  };
  struct fake_target
  {
    std::uint32_t mSlots = 0;
    target_mood mMood = target_mood::Serves;
    bool mLeaving = false;
    time_point mRenewAt{};
    std::uint32_t mHeld = 0;
    std::uint32_t mMostHeld = 0;
  };
  struct delayed
  {
    time_point mAt;
    std::function<void()> mDo;
  };

  void Step();
  void StepControl(std::size_t aControl);
  void Store(fake_control& aControl);
  void StepQuestions();
  [[nodiscard]] bool IsOpen(const question& aQuestion) const;
  void SendQuestion(std::uint64_t aNumber, question& aQuestion);
  void OnReply(std::uint64_t aNumber,
               std::size_t aPeer,
               const result<protocol::answer_body>& aAnswer);
  void EndQuestion(std::uint64_t aNumber,
                   const result<protocol::answer_body>& aAnswer);
  void StepEntries();
  void StepTargets();
  void Later(duration aAfter, std::function<void()> aDo);
  void Do(std::size_t aCall, entry::flow_step aStep);
  void Forward(std::size_t aCall, const entry::forward& aForward);
  void EndRun(std::size_t aCall, const std::string& aTarget);
  void OnEntry(const std::string& aEntry, std::function<void()> aDo);
  void Start(std::size_t aControl);
  [[nodiscard]] bool Reaches(std::size_t aControl) const;
  [[nodiscard]] consensus::membership Founders() const;
  void Transmit(std::size_t aFrom,
                std::span<const consensus::message> aMessages);

  random_source mRandom;
  std::uint64_t mSeed;
  time_point mNow{ seconds(1000) };
  std::int64_t mWallMs = 1'700'000'000'000;
  std::vector<fake_control> mControls;
  std::map<std::string, fake_entry> mEntries;
  std::map<std::string, fake_target> mTargets;
  std::vector<fake_call> mCalls;
  std::vector<target_run> mRuns;
  std::map<std::uint64_t, question> mQuestions;
  std::uint64_t mLastQuestion = 0;
  std::uint64_t mLastToken = 0;
  std::size_t mGuess = 0;
  std::multimap<time_point, std::function<void()>> mDelayed;
  std::uint64_t mLoseOneIn = 0;
  std::uint64_t mDoubleOneIn = 0;
  std::vector<std::string> mEvents;
  std::set<std::string> mToldNotRun;
};

} // namespace oriolewalk::testing
