// oriolectl COMMAND: an operator's hand on a cell, by HTTP with any entry.

#include "programs/oriolectl.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <iterator>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "oriolewalk/settings/settings.h"

namespace oriolewalk::ctl {

namespace {

std::vector<command>
AllCommands()
{
  std::vector<command> all;
  for (const auto group : { WeightsCommands(),
                            JobCommands(),
                            CellCommands(),
                            StorageCommands() }) {
    std::ranges::copy(group, std::back_inserter(all));
  }
  return all;
}

int
PrintUsage(std::span<const command> aCommands, bool aAsked)
{
  std::string text =
    "oriolectl: an operator's hand on a cell\n"
    "usage: oriolectl COMMAND [WORDS] [--NAME VALUE]…\n\ncommands "
    "(oriolectl COMMAND --help tells its settings):\n";
  for (const command& one : aCommands) {
    std::string line = "  ";
    line.append(one.mName).append(" ").append(one.mOperands);
    constexpr std::size_t kColumn = 44;
    line.resize(std::max(kColumn, line.size() + 1), ' ');
    text.append(line).append(one.mAbout).append("\n");
  }
  text += "\nexit codes: 0 done, 1 refused or failed, 2 usage, 3 the outcome "
          "is not known\n";
  std::fputs(text.c_str(), aAsked ? stdout : stderr);
  return aAsked ? kExitDone : settings::kExitUsage;
}

int
RunCommand(const command& aCommand, int aCount, char** aArguments)
{
  options given;
  settings::settings_parser parser("oriolectl " + std::string(aCommand.mName),
                                   std::string(aCommand.mAbout));
  parser.AddressList(
    "entries", given.mEntries, "entries, tried in turn until one answers");
  parser.Duration("timeout", given.mTimeout, {}, "for the whole command");
  parser.Switch("json", given.mJson, "print the answer's JSON");
  if (aCommand.mDescribe != nullptr) {
    aCommand.mDescribe(parser, given);
  }
  parser.Operands(given.mOperands,
                  aCommand.mLeast,
                  aCommand.mMost,
                  std::string(aCommand.mOperands));
  if (const auto code = settings::RunParser(parser, aCount, aArguments)) {
    return *code;
  }
  return aCommand.mRun(given);
}

// The command that the first words name, the longer name first.
const command*
FindCommand(std::span<const command> aCommands,
            std::span<char* const> aWords,
            int& aUsed)
{
  constexpr std::size_t kMostWords = 2;
  for (std::size_t words = std::min(kMostWords, aWords.size()); words > 0;
       --words) {
    std::string name(aWords[0]);
    for (const char* word : aWords.subspan(1, words - 1)) {
      name.append(" ").append(word);
    }
    const auto found = std::ranges::find(aCommands, name, &command::mName);
    if (found != aCommands.end()) {
      aUsed = static_cast<int>(words);
      return &*found;
    }
  }
  return nullptr;
}

} // namespace

} // namespace oriolewalk::ctl

int
main(int aCount, char** aArguments)
{
  using namespace oriolewalk::ctl;
  const std::vector<command> commands = AllCommands();
  const std::span<char* const> words(aArguments + 1,
                                     static_cast<std::size_t>(aCount) - 1);
  const std::string_view first = words.empty() ? "" : words.front();
  if (first == "--version") {
    oriolewalk::settings::settings_parser parser("oriolectl", "");
    return oriolewalk::settings::RunParser(parser, aCount, aArguments)
      .value_or(kExitDone);
  }
  int used = 0;
  const command* chosen =
    words.empty() ? nullptr : FindCommand(commands, words, used);
  if (chosen == nullptr) {
    return PrintUsage(commands, first == "--help");
  }
  return RunCommand(*chosen, aCount - used, aArguments + used);
}
