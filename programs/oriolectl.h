#pragma once

// What the commands of oriolectl share.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"
#include "oriolewalk/settings/settings.h"

namespace oriolewalk::ctl {

// Exit codes; 2 (usage) is the settings parser's.
constexpr int kExitDone = 0;
constexpr int kExitRefused = 1; // refused or failed: nothing was changed
constexpr int kExitUnknown = 3; // it may have been done

// All that can be set; each command takes the part that it shows in --help.
struct options
{
  std::vector<std::string> mOperands;
  std::vector<settings::address> mEntries{ { "127.0.0.1", 8001 } };
  milliseconds mTimeout{ 10'000 };
  bool mJson = false;
  std::string mChangeId; // made up if none is given
  std::uint64_t mVersion = 0;
  std::string mOrganisation = "default";
  std::string mClass = "heavy";
  std::string mKind = "batch";
  std::uint64_t mTasks = 1;
  std::uint64_t mMilliProcessors = 1000;
  std::uint64_t mMemoryMb = 512;
  std::uint64_t mAccelerators = 0;
  milliseconds mExpected{ 60'000 };
  bool mRepeatable = false;
  bool mCheckpointable = false;
  std::string mFamily;
};

struct command
{
  std::string_view mName;     // one or two words
  std::string_view mOperands; // for the usage line
  std::size_t mLeast = 0;
  std::size_t mMost = 0;
  std::string_view mAbout;
  void (*mDescribe)(settings::settings_parser&, options&) = nullptr;
  int (*mRun)(options&) = nullptr; // the exit code
};

std::span<const command>
WeightsCommands();
std::span<const command>
JobCommands();
std::span<const command>
CellCommands();
std::span<const command>
StorageCommands();

// How a request may be sent again, and so what its last outcome means.
enum class resend : std::uint8_t
{
  Reads, // changes nothing: always
  Safe,  // the same key, change id or end state: always
  Never, // only where it provably wasn't taken
};

enum class verdict : std::uint8_t
{
  Done,
  Refused, // by an answer
  Failed,  // no entry could take it: nothing was changed
  Unknown, // it may have been done
};

struct exchange_result
{
  verdict mVerdict = verdict::Failed;
  http::response mResponse; // of Done and Refused
  std::string mReason;      // of the others
};

// Sends to the entries in turn until one answers for good or the time is over.
// An outcome that was unknown once is never made a failure by a later refusal
// to take the request: the first copy may still have been done.
exchange_result
Exchange(const options& aOptions,
         const http::request& aRequest,
         resend aResend);

// aOptions.mChangeId; one is made up first if there's none, and told on
// standard error so that the command can be repeated with it.
const std::string&
ChangeId(options& aOptions);

// Says on standard error what came of it, but for Done. aAgain is what to do
// when the outcome isn't known. Returns the exit code.
int
Conclude(const exchange_result& aResult, std::string_view aAgain);

// Exchange, Conclude, and the answer's JSON as tables or with --json as it is.
int
Show(const options& aOptions,
     const http::request& aRequest,
     resend aResend,
     std::string_view aAgain);

// For people: lists of objects as tables, objects as names and values.
std::string
ToTables(const boost::json::value& aValue);

} // namespace oriolewalk::ctl
