#pragma once

// Settings by flags and environment variables, flags first.
//
//   struct entry_settings { address mListen; milliseconds mLease{ 2000 }; };
//
//   entry_settings settings;
//   settings_parser parser("oriole-entry", "takes callers' requests");
//   parser.Address("listen", settings.mListen, "where callers connect");
//   parser.Require("listen");
//   parser.Duration("lease", settings.mLease, { 100ms, 60s }, "serving lease");
//   parser.Check([&] { return FolderProblem("data-folder", settings.mFolder);
//   }); if (const auto code = RunParser(parser, argc, argv)) {
//     return *code;
//   }
//
// A field's value when it is added is its default. --data-folder can also be
// given as ORIOLE_DATA_FOLDER; an empty variable counts as not given. Besides
// the table each program has --help, --version and --check.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/settings/address.h"

namespace oriolewalk::settings {

constexpr int kExitDone = 0;
constexpr int kExitUsage = 2;

struct number_range
{
  std::uint64_t mLeast = 0;
  std::uint64_t mMost = std::numeric_limits<std::uint64_t>::max();
};

struct duration_range
{
  milliseconds mLeast{ 1 };
  milliseconds mMost{ 86'400'000 };
};

// All settings are right: the program may start.
struct run_program
{};

// The program is to print mText (on standard error if mCode is not 0) and end.
struct end_program
{
  int mCode = kExitUsage;
  std::string mText;
};

using parse_outcome = std::variant<run_program, end_program>;

// What is wrong with a setting, as a line for a person; nothing if it's right.
using problem = std::optional<std::string>;
// Reads a value into its field, or says what is allowed.
using value_reader = std::function<problem(std::string_view)>;
// A rule over several settings. Run only after all values could be read.
using settings_check = std::function<std::vector<std::string>()>;

// One line of the table.
struct setting
{
  std::string mName; // as in --NAME
  std::string mUnit; // empty for a switch, which takes no value
  std::string mDefault;
  std::string mHelp;
  value_reader mRead;
  bool mRequired = false;

  // ORIOLE_NAME, with _ for -.
  [[nodiscard]] std::string Variable() const;
};

// The table of one program's settings. Owned by main(); main thread only
// (getopt_long keeps its place in globals). The fields must outlive Parse().
class settings_parser
{
public:
  settings_parser(std::string aProgram, std::string aAbout);

  void Add(setting aSetting);
  void Text(std::string aName,
            std::string& aField,
            std::string aUnit,
            std::string aHelp);
  void Choice(std::string aName,
              std::string& aField,
              std::vector<std::string> aAllowed,
              std::string aHelp);
  void Number(std::string aName,
              std::uint64_t& aField,
              number_range aRange,
              std::string aUnit,
              std::string aHelp);
  // Milliseconds, written as a bare number.
  void Duration(std::string aName,
                milliseconds& aField,
                duration_range aRange,
                std::string aHelp);
  // --NAME alone, or ORIOLE_NAME=yes|no.
  void Switch(std::string aName, bool& aField, std::string aHelp);
  void Address(std::string aName, address& aField, std::string aHelp);
  void AddressList(std::string aName,
                   std::vector<address>& aField,
                   std::string aHelp);
  void PeerList(std::string aName,
                std::vector<peer>& aField,
                std::string aHelp);
  void TextList(std::string aName,
                std::vector<std::string>& aField,
                std::string aUnit,
                std::string aHelp);
  // Words that are no flags; without this call they are refused. aForm is
  // shown in the usage line, as "FILE…".
  void Operands(std::vector<std::string>& aField,
                std::size_t aLeast,
                std::size_t aMost,
                std::string aForm);
  // The named setting, which has no default, must be given.
  void Require(std::string_view aName);
  void Check(settings_check aCheck);

  // aArguments without the program's name; aEnvironment as "NAME=VALUE". All
  // that is wrong is told at once, a line each. Fields are written.
  parse_outcome Parse(std::span<const std::string> aArguments,
                      std::span<const std::string> aEnvironment);

  [[nodiscard]] std::string Help() const;
  [[nodiscard]] std::span<const setting> Table() const { return mTable; }

private:
  struct given
  {
    std::vector<std::optional<std::string>> mValues; // by place in mTable
    std::vector<std::string> mOperands;
    std::vector<std::string> mProblems;
    bool mHelp = false;
    bool mVersion = false;
    bool mCheck = false;
  };

  [[nodiscard]] given ReadFlags(std::span<const std::string> aArguments) const;
  void ReadVariables(std::span<const std::string> aEnvironment,
                     given& aGiven) const;
  void Apply(given& aGiven);

  std::string mProgram;
  std::string mAbout;
  std::vector<setting> mTable;
  std::vector<settings_check> mChecks;
  std::vector<std::string>* mOperands = nullptr;
  std::size_t mLeastOperands = 0;
  std::size_t mMostOperands = 0;
  std::string mOperandForm;
};

// Parses main's arguments and the process's environment and prints what is to
// be printed. Returns the exit code, or nothing if the program may run.
std::optional<int>
RunParser(settings_parser& aParser, int aCount, char** aArguments);

// Says so if the folder doesn't exist or files can't be made in it. Starts by
// making and removing a small file there, since modes alone don't tell (a
// read-only mount, a full disk's reserve, root). The parent is not made.
std::vector<std::string>
FolderProblem(std::string_view aName, const std::string& aFolder);

// Says so if the list does not hold aId, or holds it with another address.
std::vector<std::string>
SelfProblem(std::span<const peer> aPeers,
            std::uint64_t aId,
            const address& aListen);

} // namespace oriolewalk::settings
