#pragma once

// What a benchmark prints: lines of "name value unit", or the same as JSON.
// A subject registers itself in its own file:
//
//   const registered_bench kBench("storage", [](bench_report& aReport) {...});

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace oriolewalk::bench {

struct measurement
{
  std::string mName;
  double mValue = 0;
  std::string mUnit;
};

// Collects figures in the order in which they are added. One thread.
class bench_report
{
public:
  void Add(std::string aName, double aValue, std::string aUnit);
  [[nodiscard]] std::span<const measurement> Figures() const;
  [[nodiscard]] std::string ToText() const;
  [[nodiscard]] std::string ToJson() const;

private:
  std::vector<measurement> mFigures;
};

using bench_function = std::function<void(bench_report&)>;

struct bench_subject
{
  std::string mName;
  bench_function mRun;
};

class registered_bench
{
public:
  registered_bench(std::string_view aName, bench_function aRun);
};

// All registered subjects, by name.
std::vector<bench_subject>
Subjects();

} // namespace oriolewalk::bench
