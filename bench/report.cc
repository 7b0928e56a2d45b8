#include "bench/report.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace oriolewalk::bench {

namespace {

std::vector<bench_subject>&
Registry()
{
  static std::vector<bench_subject> sSubjects;
  return sSubjects;
}

std::string
FormatValue(double aValue)
{
  constexpr int kRoom = 64;
  std::string text(kRoom, '\0');
  const int used = std::snprintf(text.data(), text.size(), "%.6g", aValue);
  text.resize(static_cast<std::size_t>(used));
  return text;
}

} // namespace

void
bench_report::Add(std::string aName, double aValue, std::string aUnit)
{
  mFigures.push_back({ std::move(aName), aValue, std::move(aUnit) });
}

std::span<const measurement>
bench_report::Figures() const
{
  return mFigures;
}

std::string
bench_report::ToText() const
{
  std::string text;
  for (const measurement& figure : mFigures) {
    text += figure.mName + ' ' + FormatValue(figure.mValue) + ' ' +
            figure.mUnit + '\n';
  }
  return text;
}

std::string
bench_report::ToJson() const
{
  std::string text = "{";
  const char* separator = "\n";
  for (const measurement& figure : mFigures) {
    text += separator;
    text += "  \"" + figure.mName +
            "\": {\"value\": " + FormatValue(figure.mValue) + ", \"unit\": \"" +
            figure.mUnit + "\"}";
    separator = ",\n";
  }
  return text + "\n}\n";
}

registered_bench::registered_bench(std::string_view aName, bench_function aRun)
{
  Registry().push_back({ std::string(aName), std::move(aRun) });
}

std::vector<bench_subject>
Subjects()
{
  std::vector<bench_subject> subjects = Registry();
  std::ranges::sort(subjects, {}, &bench_subject::mName);
  return subjects;
}

} // namespace oriolewalk::bench
