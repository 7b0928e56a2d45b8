// oriole-bench SUBJECT|all [--json]: runs measurements and prints
// "name value unit" lines.

#include <algorithm>
#include <cstdio>
#include <span>
#include <string_view>
#include <vector>

#include "bench/report.h"

namespace {

using oriolewalk::bench::bench_report;
using oriolewalk::bench::bench_subject;

constexpr int kExitUsage = 2;

int
PrintUsage(std::span<const bench_subject> aSubjects)
{
  std::puts("usage: oriole-bench SUBJECT|all [--json]\nsubjects:");
  for (const bench_subject& subject : aSubjects) {
    std::printf("  %s\n", subject.mName.c_str());
  }
  return kExitUsage;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::vector<bench_subject> subjects = oriolewalk::bench::Subjects();
  const std::vector<std::string_view> words(aArguments + 1,
                                            aArguments + aCount);
  if (words.empty()) {
    return PrintUsage(subjects);
  }
  const bool all = words.front() == "all";
  const bool known =
    std::ranges::find(subjects, words.front(), &bench_subject::mName) !=
    subjects.end();
  if (!all && !known) {
    return PrintUsage(subjects);
  }
  bench_report report;
  for (const bench_subject& subject : subjects) {
    if (all || subject.mName == words.front()) {
      subject.mRun(report);
    }
  }
  const bool json = std::ranges::find(words, "--json") != words.end();
  std::fputs((json ? report.ToJson() : report.ToText()).c_str(), stdout);
  return 0;
}
