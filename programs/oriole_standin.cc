// oriole-standin target|worker|callers: plays one outside party, for tests and
// local runs.

#include <cstdio>
#include <string_view>

#include "programs/oriole_standin.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolewalk;
  constexpr int kExitUsage = 2;
  const std::string_view role = aCount > 1 ? aArguments[1] : "";
  if (role == "target") {
    return standin::RunTarget(aCount - 1, aArguments + 1);
  }
  if (role == "worker") {
    return standin::RunWorker(aCount - 1, aArguments + 1);
  }
  if (role == "callers") {
    return standin::RunCallers(aCount - 1, aArguments + 1);
  }
  const bool help = role == "--help";
  std::fputs("usage: oriole-standin target|worker|callers [--NAME VALUE]…\n"
             "Each role has its own --help.\n",
             help ? stdout : stderr);
  return help ? 0 : kExitUsage;
}
