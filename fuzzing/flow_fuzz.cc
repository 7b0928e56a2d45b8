// Fuzzes histories of faults of control processes and workers, which are drawn
// from the fuzzer's input; see testing/flow/flow_history.h.

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <optional>

#include <fuzzer/FuzzedDataProvider.h>

#include "testing/flow/flow_history.h"

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace oriolewalk::flow;
  constexpr int kMaxActions = 60;
  FuzzedDataProvider input(aData, aSize);
  const flow_choices choose =
    [&](std::uint64_t aBound) -> std::optional<std::uint64_t> {
    if (input.remaining_bytes() == 0) {
      return std::nullopt;
    }
    return input.ConsumeIntegralInRange<std::uint64_t>(0, aBound - 1);
  };
  if (const auto broken = PlayFlowHistory(choose, kMaxActions)) {
    std::fprintf(stderr, "%s\n", broken->c_str());
    std::abort();
  }
  return 0;
}
