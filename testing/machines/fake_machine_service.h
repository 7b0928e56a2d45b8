#pragma once

// A simulated machine service: pages, fences, limits of calls, and upkeeps that
// end after a while. It notes how many machines are down at once.
//
//   fake_machine_service service(milliseconds(5'000));
//   service.Add("m1", "w1");
//   call_answer answer = service.Handle(body, now);

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/machines/machine_call.h"

namespace oriolewalk::machines::testing {

class fake_machine_service
{
public:
  explicit fake_machine_service(milliseconds aMaintenance)
    : mMaintenance(aMaintenance)
  {
  }

  struct machine
  {
    machine_state mState = machine_state::Up;
    std::string mWorker;
    time_point mUpAt{};
    std::set<std::uint64_t> mDoneFor;
    int mUpkeeps = 0;
  };

  void Add(const std::string& aMachine, const std::string& aWorker)
  {
    mMachines[aMachine] = { machine_state::Up, aWorker, {}, {}, 0 };
  }

  // What the service does and answers. The answer may still be lost.
  call_answer Handle(const call_body& aBody, time_point aNow)
  {
    Advance(aNow);
    return std::visit(overloaded{ [&](const list_request& aRequest) {
                                   mPageCalls.push_back(aNow);
                                   return List(aRequest);
                                 },
                                  [&](const upkeep_request& aRequest) {
                                    mOrderCalls.push_back(aNow);
                                    return Upkeep(aRequest, aNow);
                                  } },
                      aBody);
  }

  // Ends the upkeeps that are due.
  void Advance(time_point aNow)
  {
    for (auto& [name, one] : mMachines) {
      if (one.mState == machine_state::Upkeep && aNow >= one.mUpAt) {
        one.mState = machine_state::Up;
        one.mWorker += "'"; // another worker
        if (mOnUp) {
          mOnUp(name);
        }
      }
    }
  }

  [[nodiscard]] std::size_t Down() const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(mMachines, [](const auto& aEntry) {
        return aEntry.second.mState == machine_state::Upkeep;
      }));
  }
  [[nodiscard]] int Upkeeps() const
  {
    int all = 0;
    for (const auto& [name, one] : mMachines) {
      all += one.mUpkeeps;
    }
    return all;
  }

  std::map<std::string, machine> mMachines;
  std::function<void(const std::string&)> mOnUpkeep; // before it begins
  std::function<void(const std::string&)> mOnUp;
  std::size_t mPageSize = 1'000;
  bool mRefusesCalls = false;  // answers 429
  std::set<std::string> mBusy; // machines that refuse orders while they are up
  std::uint64_t mFence = 0;
  std::size_t mMostDown = 0;
  std::vector<time_point> mPageCalls;
  std::vector<time_point> mOrderCalls;

private:
  call_answer List(const list_request& aRequest)
  {
    if (mRefusesCalls) {
      return { call_result::TooMany, {} };
    }
    call_answer answer{ call_result::Done, {} };
    // The token is the first name of the page.
    auto next = mMachines.lower_bound(aRequest.mPageToken);
    for (; next != mMachines.end() && answer.mPage.mMachines.size() < mPageSize;
         ++next) {
      answer.mPage.mMachines.push_back({ machine_id(next->first),
                                         next->second.mState,
                                         worker_id(next->second.mWorker) });
    }
    if (next != mMachines.end()) {
      answer.mPage.mNextToken = next->first;
    }
    return answer;
  }

  call_answer Upkeep(const upkeep_request& aRequest, time_point aNow)
  {
    if (mRefusesCalls) {
      return { call_result::TooMany, {} };
    }
    if (aRequest.mFence < mFence) {
      return { call_result::Fenced, {} };
    }
    mFence = aRequest.mFence;
    const auto found = mMachines.find(aRequest.mMachine.Value());
    if (found == mMachines.end()) {
      return { call_result::NoMachine, {} };
    }
    machine& one = found->second;
    if (one.mDoneFor.contains(aRequest.mWave)) {
      return { call_result::Done, {} };
    }
    if (one.mState != machine_state::Up || mBusy.contains(found->first)) {
      return { call_result::Busy, {} };
    }
    if (mOnUpkeep) {
      mOnUpkeep(found->first);
    }
    one.mState = machine_state::Upkeep;
    one.mUpAt = aNow + mMaintenance;
    one.mDoneFor.insert(aRequest.mWave);
    ++one.mUpkeeps;
    mMostDown = std::max(mMostDown, Down());
    return { call_result::Done, {} };
  }

  milliseconds mMaintenance;
};

} // namespace oriolewalk::machines::testing
