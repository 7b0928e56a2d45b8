#include "oriolewalk/settings/settings.h"

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <iterator>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <getopt.h>
#include <unistd.h>

// Reading: flags by getopt_long, then variables, then the checks.

#ifndef ORIOLE_VERSION
#define ORIOLE_VERSION "0.1.0"
#endif

namespace oriolewalk::settings {

namespace {

// Codes that getopt_long returns: the place in the table plus kFirst, which is
// above every character so that no short flag can be meant.
constexpr int kFirst = 1000;
constexpr int kHelp = kFirst - 1;
constexpr int kVersion = kFirst - 2;
constexpr int kCheck = kFirst - 3;

// aTable with the three flags that every program has. Ends with the zero entry
// that getopt_long asks for. The names point into aTable.
std::vector<option>
LongOptions(std::span<const setting> aTable)
{
  std::vector<option> options;
  for (std::size_t place = 0; place < aTable.size(); ++place) {
    const setting& one = aTable[place];
    options.push_back({ one.mName.c_str(),
                        one.mUnit.empty() ? no_argument : required_argument,
                        nullptr,
                        kFirst + static_cast<int>(place) });
  }
  options.push_back({ "help", no_argument, nullptr, kHelp });
  options.push_back({ "version", no_argument, nullptr, kVersion });
  options.push_back({ "check", no_argument, nullptr, kCheck });
  options.push_back({});
  return options;
}

// Copies of the words, as the char* array that getopt_long may reorder.
class argument_array
{
public:
  argument_array(const std::string& aProgram,
                 std::span<const std::string> aWords)
    : mWords(aWords.begin(), aWords.end())
  {
    mWords.insert(mWords.begin(), aProgram);
    std::ranges::transform(mWords,
                           std::back_inserter(mPointers),
                           [](std::string& aWord) { return aWord.data(); });
    mPointers.push_back(nullptr);
  }

  [[nodiscard]] int Count() const { return static_cast<int>(mWords.size()); }
  char** Pointers() { return mPointers.data(); }
  // The words from getopt_long's place to the end.
  [[nodiscard]] std::vector<std::string> From(int aPlace) const
  {
    return { mPointers.begin() + aPlace, mPointers.end() - 1 };
  }
  // The word that getopt_long has just left.
  [[nodiscard]] std::string Before(int aPlace) const
  {
    return mPointers[static_cast<std::size_t>(aPlace) - 1];
  }

private:
  std::vector<std::string> mWords;
  std::vector<char*> mPointers;
};

std::optional<std::string>
FindVariable(std::span<const std::string> aEnvironment,
             const std::string& aVariable)
{
  const std::string start = aVariable + "=";
  const auto found =
    std::ranges::find_if(aEnvironment, [&](const std::string& aLine) {
      return aLine.starts_with(start) && aLine.size() > start.size();
    });
  return found == aEnvironment.end()
           ? std::nullopt
           : std::optional(found->substr(start.size()));
}

std::string
Lines(const std::string& aProgram, std::span<const std::string> aProblems)
{
  std::string text;
  for (const std::string& line : aProblems) {
    text += aProgram;
    text += ": ";
    text += line;
    text += '\n';
  }
  return text;
}

} // namespace

settings_parser::given
settings_parser::ReadFlags(std::span<const std::string> aArguments) const
{
  given found;
  found.mValues.resize(mTable.size());
  argument_array words(mProgram, aArguments);
  const std::vector<option> options = LongOptions(mTable);
  optind = 0; // the GNU library's way to start over
  opterr = 0;
  int code = 0;
  while ((code = getopt_long(
            words.Count(), words.Pointers(), ":", options.data(), nullptr)) !=
         -1) {
    switch (code) {
      case kHelp:
        found.mHelp = true;
        break;
      case kVersion:
        found.mVersion = true;
        break;
      case kCheck:
        found.mCheck = true;
        break;
      case ':':
        found.mProblems.push_back(words.Before(optind) + " needs a value");
        break;
      case '?':
        found.mProblems.push_back(words.Before(optind) +
                                  " is not known; --help lists what is");
        break;
      default:
        found.mValues[static_cast<std::size_t>(code - kFirst)] =
          optarg == nullptr ? "yes" : optarg;
    }
  }
  found.mOperands = words.From(optind);
  return found;
}

void
settings_parser::ReadVariables(std::span<const std::string> aEnvironment,
                               given& aGiven) const
{
  for (std::size_t place = 0; place < mTable.size(); ++place) {
    if (!aGiven.mValues[place]) {
      aGiven.mValues[place] =
        FindVariable(aEnvironment, mTable[place].Variable());
    }
  }
}

void
settings_parser::Apply(given& aGiven)
{
  for (std::size_t place = 0; place < mTable.size(); ++place) {
    const setting& one = mTable[place];
    const std::string name = "--" + one.mName + " (" + one.Variable() + ")";
    const std::optional<std::string>& value = aGiven.mValues[place];
    if (!value) {
      if (one.mRequired) {
        aGiven.mProblems.push_back(name + " is needed: " + one.mUnit + ", " +
                                   one.mHelp);
      }
      continue;
    }
    if (const problem wrong = one.mRead(*value)) {
      aGiven.mProblems.push_back(name + " is '" + *value + "': " + *wrong);
    }
  }
  if (mOperands != nullptr && aGiven.mOperands.size() >= mLeastOperands &&
      aGiven.mOperands.size() <= mMostOperands) {
    *mOperands = aGiven.mOperands;
  } else if (mOperands != nullptr) {
    aGiven.mProblems.push_back(
      "wanted: " + mOperandForm +
      "; given: " + std::to_string(aGiven.mOperands.size()) + " words");
  } else if (!aGiven.mOperands.empty()) {
    aGiven.mProblems.push_back("'" + aGiven.mOperands.front() +
                               "' is no flag; --help lists what is allowed");
  }
}

parse_outcome
settings_parser::Parse(std::span<const std::string> aArguments,
                       std::span<const std::string> aEnvironment)
{
  given found = ReadFlags(aArguments);
  if (found.mHelp) {
    return end_program{ kExitDone, Help() };
  }
  if (found.mVersion) {
    return end_program{ kExitDone, mProgram + " " ORIOLE_VERSION "\n" };
  }
  ReadVariables(aEnvironment, found);
  Apply(found);
  if (found.mProblems.empty()) {
    for (const settings_check& check : mChecks) {
      std::ranges::move(check(), std::back_inserter(found.mProblems));
    }
  }
  if (!found.mProblems.empty()) {
    return end_program{ kExitUsage, Lines(mProgram, found.mProblems) };
  }
  if (found.mCheck) {
    return end_program{ kExitDone, "settings are right\n" };
  }
  return run_program{};
}

std::string
settings_parser::Help() const
{
  std::string text = mProgram + ": " + mAbout + "\nusage: " + mProgram +
                     (mTable.empty() ? "" : " [--NAME VALUE]…") +
                     (mOperandForm.empty() ? "" : " " + mOperandForm) +
                     "\n\nsettings (a flag goes before its variable):\n";
  for (const setting& one : mTable) {
    text += "  --";
    text += one.mName;
    text += one.mUnit.empty() ? "" : " ";
    text += one.mUnit;
    const std::string standard = one.mRequired ? "must be given"
                                 : one.mDefault.empty()
                                   ? "default: none"
                                   : "default: " + one.mDefault;
    text += "\n      ";
    text += one.mHelp;
    text += "\n      ";
    text += standard;
    text += "; variable: ";
    text += one.Variable();
    text += '\n';
  }
  return text +
         "  --check\n      checks all settings, says what is wrong and ends\n"
         "  --help\n      prints this\n"
         "  --version\n      prints the version\n";
}

std::optional<int>
RunParser(settings_parser& aParser, int aCount, char** aArguments)
{
  const std::vector<std::string> words(aArguments + std::min(aCount, 1),
                                       aArguments + aCount);
  std::vector<std::string> lines;
  for (char** line = environ; line != nullptr && *line != nullptr; ++line) {
    lines.emplace_back(*line);
  }
  const parse_outcome outcome = aParser.Parse(words, lines);
  const auto* end = std::get_if<end_program>(&outcome);
  if (end == nullptr) {
    return std::nullopt;
  }
  std::fputs(end->mText.c_str(), end->mCode == kExitDone ? stdout : stderr);
  return end->mCode;
}

} // namespace oriolewalk::settings
