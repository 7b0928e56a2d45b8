#include "oriolewalk/observe/metrics.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "oriolewalk/base/overloaded.h"

namespace oriolewalk::observe {

namespace {

using metric = std::variant<std::unique_ptr<counter>,
                            std::unique_ptr<gauge>,
                            std::unique_ptr<quantiles>>;

struct labelled_metric
{
  std::vector<label> mLabels;
  metric mMetric;
};

struct family
{
  std::string mHelp;
  std::string_view mType;
  std::deque<labelled_metric> mMembers;
};

template<class Number>
std::string
Format(Number aValue)
{
  constexpr std::size_t kRoom = 32;
  std::array<char, kRoom> text{};
  const auto end = std::to_chars(text.data(), text.data() + kRoom, aValue).ptr;
  return { text.data(), end };
}

// Backslash, quote and line end, as the text format asks.
std::string
Escape(std::string_view aValue)
{
  std::string text;
  for (const char letter : aValue) {
    if (letter == '\n') {
      text += "\\n";
      continue;
    }
    if (letter == '\\' || letter == '"') {
      text += '\\';
    }
    text += letter;
  }
  return text;
}

std::string
FormatLabels(const std::vector<label>& aLabels)
{
  std::string text;
  for (const label& one : aLabels) {
    text += text.empty() ? "{" : ",";
    text += one.mName;
    text += "=\"";
    text += Escape(one.mValue);
    text += '"';
  }
  return text.empty() ? text : text + "}";
}

std::string
Line(const std::string& aName,
     const std::vector<label>& aLabels,
     const std::string& aValue)
{
  return aName + FormatLabels(aLabels) + " " + aValue + "\n";
}

std::string
RenderQuantiles(const std::string& aName,
                const std::vector<label>& aLabels,
                const quantile_reading& aReading)
{
  const std::array<std::pair<const char*, double>, 3> levels{
    { { "0.5", aReading.mP50 },
      { "0.9", aReading.mP90 },
      { "0.99", aReading.mP99 } }
  };
  std::string text;
  for (const auto& [level, value] : levels) {
    std::vector<label> labels = aLabels;
    labels.push_back({ "quantile", level });
    text += Line(aName, labels, Format(value));
  }
  text += Line(aName + "_sum", aLabels, Format(aReading.mSum));
  text += Line(aName + "_count", aLabels, Format(aReading.mCount));
  return text;
}

std::string
RenderMember(const std::string& aName, const labelled_metric& aMember)
{
  return std::visit(
    overloaded{
      [&](const std::unique_ptr<counter>& aCounter) {
        return Line(aName, aMember.mLabels, Format(aCounter->Value()));
      },
      [&](const std::unique_ptr<gauge>& aGauge) {
        return Line(aName, aMember.mLabels, Format(aGauge->Value()));
      },
      [&](const std::unique_ptr<quantiles>& aQuantiles) {
        return RenderQuantiles(aName, aMember.mLabels, aQuantiles->Read());
      },
    },
    aMember.mMetric);
}

} // namespace

class metric_registry::state
{
public:
  template<class Metric>
  Metric& Make(std::string aName,
               std::string aHelp,
               std::string_view aType,
               std::vector<label> aLabels)
  {
    const std::scoped_lock lock(mLock);
    const auto [place, fresh] = mFamilies.try_emplace(std::move(aName));
    if (fresh) {
      place->second.mHelp = std::move(aHelp);
      place->second.mType = aType;
    }
    auto made = std::make_unique<Metric>();
    Metric& reference = *made;
    place->second.mMembers.push_back({ std::move(aLabels), std::move(made) });
    return reference;
  }

  std::string Render()
  {
    const std::scoped_lock lock(mLock);
    std::string page;
    for (const auto& [name, one] : mFamilies) {
      page.append("# HELP ").append(name).append(" ").append(one.mHelp);
      page.append("\n# TYPE ").append(name).append(" ").append(one.mType);
      page += '\n';
      for (const labelled_metric& member : one.mMembers) {
        page += RenderMember(name, member);
      }
    }
    return page;
  }

private:
  std::mutex mLock;
  std::map<std::string, family> mFamilies;
};

metric_registry::metric_registry()
  : mState(std::make_unique<state>())
{
}

metric_registry::~metric_registry() = default;

counter&
metric_registry::Counter(std::string aName,
                         std::string aHelp,
                         std::vector<label> aLabels)
{
  return mState->Make<counter>(
    std::move(aName), std::move(aHelp), "counter", std::move(aLabels));
}

gauge&
metric_registry::Gauge(std::string aName,
                       std::string aHelp,
                       std::vector<label> aLabels)
{
  return mState->Make<gauge>(
    std::move(aName), std::move(aHelp), "gauge", std::move(aLabels));
}

quantiles&
metric_registry::Quantiles(std::string aName,
                           std::string aHelp,
                           std::vector<label> aLabels)
{
  return mState->Make<quantiles>(
    std::move(aName), std::move(aHelp), "summary", std::move(aLabels));
}

std::string
metric_registry::Render() const
{
  return mState->Render();
}

} // namespace oriolewalk::observe
