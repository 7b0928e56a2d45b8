// Histories of faults on 3 or 5 nodes, drawn from the fuzzer's input; see
// testing/consensus/fault_history.h.

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>

#include <fuzzer/FuzzedDataProvider.h>

#include "testing/consensus/fault_history.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace oriolewalk::consensus;
  constexpr int kMostActions = 100;
  FuzzedDataProvider input(aData, aSize);
  const choice_source choose =
    [&](std::uint64_t aBound) -> std::optional<std::uint64_t> {
    if (input.remaining_bytes() == 0) {
      return std::nullopt;
    }
    return input.ConsumeIntegralInRange<std::uint64_t>(0, aBound - 1);
  };
  fault_history history(choose, mutation::None);
  if (const auto violation = history.Play(kMostActions)) {
    std::fprintf(stderr, "%s\n", violation->c_str());
    std::abort();
  }
  return 0;
}
