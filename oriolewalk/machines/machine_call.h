#pragma once

// What the leader asks the machine service, and what the service answers. An
// adapter translates both for the real service and makes no decisions.
//
//   machine_call call{ 1, list_request{} };           // the first page
//   machine_call order{ 2, upkeep_request{ 7, machine_id("m-1"), term } };

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/id.h"

namespace oriolewalk::machines {

enum class machine_state : std::uint8_t
{
  Up,
  Moving, // to another pool
  Upkeep,
  Down,
};

struct listed_machine
{
  machine_id mMachine;
  machine_state mState = machine_state::Down;
  worker_id mWorker; // empty: none is there
};

struct list_page
{
  std::vector<listed_machine> mMachines;
  std::string mNextToken; // empty: it is the last page
};

struct list_request
{
  std::string mPageToken; // empty: the first page
};

// Everything on the machine ends at once.
struct upkeep_request
{
  std::uint64_t mWave = 0;
  machine_id mMachine;
  std::uint64_t mFence = 0; // the leader's term
};

using call_body = std::variant<list_request, upkeep_request>;

struct machine_call
{
  std::uint64_t mId = 0;
  call_body mBody;
};

enum class call_result : std::uint8_t
{
  Done,
  Fenced,    // the service has heard a later leader
  Busy,      // the machine isn't up, or is leaving
  OtherWave, // the machine isn't of that wave
  NoMachine,
  TooMany,  // calls in the last second; nothing was done
  NotSent,  // certainly not delivered
  NoAnswer, // it may have taken effect
};

std::string_view
ToString(call_result aResult);

// How long an answer is waited for. An order that had no answer by then may
// still be on its way, so a later leader waits as long before it gives one.
inline constexpr milliseconds kOrderTimeout{ 2'000 };
// A page may take longer: nothing depends on whether it was read.
inline constexpr milliseconds kPageTimeout{ 5'000 };

struct call_answer
{
  call_result mResult = call_result::NoAnswer;
  list_page mPage; // of a list_request that is done
};

} // namespace oriolewalk::machines
