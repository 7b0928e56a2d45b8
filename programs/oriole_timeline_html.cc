#include "programs/oriole_timeline.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "oriolewalk/observe/event.h"

namespace oriolewalk::shown {

namespace {

// Lengths in pixels.
constexpr std::size_t kGutter = 190; // for the times
constexpr std::size_t kLane = 310;
constexpr std::size_t kInset = 16; // of a lane's line within its lane
constexpr std::size_t kHeader = 46;
constexpr std::size_t kRow = 30;
constexpr std::size_t kDot = 5;
constexpr std::size_t kTextSize = 12;
// What fits into a lane beside its dot at that size.
constexpr std::size_t kLabelLetters = 43;
// More rows than this are no picture any more; the page says what it leaves
// out, and the text form has all.
constexpr std::size_t kMostRows = 3000;

// Colours of eight hues that differ in lightness too, legible on white and on
// dark grey alike.
constexpr std::array kColours{ "#2f7fd6", "#d9772b", "#2a9d6f", "#c8475d",
                               "#8a63d2", "#a8871c", "#1f9aaa", "#b04fa0" };

constexpr std::string_view kStyle = R"(<style>
:root{--ink:#1d2430;--faint:#7b8494;--line:#dfe3ea;--paper:#fff;--band:#f6f8fb}
@media(prefers-color-scheme:dark){:root{--ink:#e4e8ef;--faint:#98a1b0;
--line:#3a414d;--paper:#1b1f26;--band:#222731}}
body{margin:24px;background:var(--paper);color:var(--ink);
font:14px/1.45 system-ui,sans-serif}
h1{font-size:18px;margin:0 0 4px}p{margin:0 0 12px;color:var(--faint)}
.notes{white-space:pre-line;color:#c8475d}
.key{display:inline-block;margin:0 14px 6px 0}
.key b{display:inline-block;width:10px;height:10px;border-radius:5px;
margin-right:6px}
.wide{overflow-x:auto}
text{fill:var(--ink);font:12px system-ui,sans-serif;paint-order:stroke;
stroke:var(--paper);stroke-width:4px;stroke-linejoin:round}
.time,.detail{fill:var(--faint)}.time{font-family:ui-monospace,monospace;
font-size:11px}.head{font-weight:600;font-size:13px}.kind{font-weight:600}
.lane{stroke:var(--line)}.band{fill:var(--band)}
</style>
)";

std::string
Escape(std::string_view aText)
{
  std::string text;
  for (const char letter : aText) {
    switch (letter) {
      case '&':
        text += "&amp;";
        break;
      case '<':
        text += "&lt;";
        break;
      case '>':
        text += "&gt;";
        break;
      case '"':
        text += "&quot;";
        break;
      default:
        text += letter;
    }
  }
  return text;
}

// Cut at aMost letters, never inside one of UTF-8.
std::string
Cut(std::string aText, std::size_t aMost)
{
  constexpr unsigned kMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  if (aText.size() <= aMost) {
    return aText;
  }
  std::size_t end = aMost > 0 ? aMost - 1 : 0;
  while (end > 0 &&
         (static_cast<unsigned char>(aText[end]) & kMask) == kContinuation) {
    --end;
  }
  return aText.substr(0, end) + "…";
}

std::string
Number(std::size_t aNumber)
{
  return std::to_string(aNumber);
}

// The picture of one selection of events.
class picture
{
public:
  explicit picture(std::span<const observe::event_record> aRecords)
    : mRecords(aRecords.first(std::min(aRecords.size(), kMostRows)))
  {
    for (const auto& record : mRecords) {
      mLanes.try_emplace(record.mProcess + "\n" + record.mInstance, 0);
      const std::string subject = SubjectOf(record.mEvent);
      if (!subject.empty()) {
        mColours.try_emplace(subject,
                             kColours[mColours.size() % kColours.size()]);
      }
    }
    std::size_t place = 0;
    for (auto& [name, lane] : mLanes) {
      lane = place++;
    }
  }

  std::string Draw()
  {
    const std::size_t width = kGutter + mLanes.size() * kLane + kInset;
    const std::size_t height = kHeader + mRecords.size() * kRow + kRow;
    std::string svg = "<div class=\"wide\"><svg width=\"" + Number(width) +
                      "\" height=\"" + Number(height) + "\" role=\"img\">\n";
    svg += Lanes(height);
    svg += Lines();
    for (std::size_t row = 0; row < mRecords.size(); ++row) {
      svg += Event(row);
    }
    return svg + "</svg></div>\n";
  }

  // The colours of the first subjects.
  [[nodiscard]] std::string Key() const
  {
    constexpr std::size_t kMostKeys = 24;
    std::string html = "<div>";
    std::size_t shown = 0;
    for (const auto& [subject, colour] : mColours) {
      if (++shown > kMostKeys) {
        html.append("<span class=\"key\">and ")
          .append(Number(mColours.size() - kMostKeys))
          .append(" more</span>");
        break;
      }
      html.append("<span class=\"key\"><b style=\"background:")
        .append(colour)
        .append("\"></b>")
        .append(Escape(subject))
        .append("</span>");
    }
    return html + "</div>\n";
  }

private:
  [[nodiscard]] std::size_t LaneX(const observe::event_record& aRecord) const
  {
    const auto lane = mLanes.find(aRecord.mProcess + "\n" + aRecord.mInstance);
    return kGutter + (lane == mLanes.end() ? 0 : lane->second) * kLane + kInset;
  }

  static std::size_t RowY(std::size_t aRow)
  {
    return kHeader + aRow * kRow + kRow / 2;
  }

  [[nodiscard]] std::string Lanes(std::size_t aHeight) const
  {
    std::string svg;
    for (std::size_t row = 0; row < mRecords.size(); row += 2) {
      svg += "<rect class=\"band\" x=\"0\" y=\"" +
             Number(kHeader + row * kRow) + "\" width=\"100%\" height=\"" +
             Number(kRow) + "\"/>\n";
    }
    for (const auto& [name, lane] : mLanes) {
      const std::size_t end = name.find('\n');
      const std::string left = Number(kGutter + lane * kLane + kInset);
      svg.append("<text class=\"head\" x=\"").append(left);
      svg.append("\" y=\"18\">").append(Escape(name.substr(end + 1)));
      svg.append("</text><text class=\"detail\" x=\"").append(left);
      svg.append("\" y=\"34\">").append(Escape(name.substr(0, end)));
      svg.append("</text><line class=\"lane\" x1=\"").append(left);
      svg.append("\" x2=\"").append(left).append("\" y1=\"");
      svg.append(Number(kHeader)).append("\" y2=\"").append(Number(aHeight));
      svg += "\"/>\n";
    }
    return svg;
  }

  // From each event of a subject to its next one.
  [[nodiscard]] std::string Lines() const
  {
    std::string svg;
    std::map<std::string, std::size_t> last;
    for (std::size_t row = 0; row < mRecords.size(); ++row) {
      const std::string subject = SubjectOf(mRecords[row].mEvent);
      const auto colour = mColours.find(subject);
      if (colour == mColours.end()) {
        continue;
      }
      const auto [before, first] = last.try_emplace(subject, row);
      if (!first) {
        svg += "<line x1=\"" + Number(LaneX(mRecords[before->second])) +
               "\" y1=\"" + Number(RowY(before->second)) + "\" x2=\"" +
               Number(LaneX(mRecords[row])) + "\" y2=\"" + Number(RowY(row)) +
               "\" stroke=\"" + colour->second +
               "\" stroke-width=\"1.5\" stroke-opacity=\".55\"/>\n";
        before->second = row;
      }
    }
    return svg;
  }

  [[nodiscard]] std::string Event(std::size_t aRow) const
  {
    const auto& record = mRecords[aRow];
    const auto colour = mColours.find(SubjectOf(record.mEvent));
    const std::size_t left = LaneX(record);
    const std::size_t middle = RowY(aRow);
    const std::string base = Number(middle + kTextSize / 3);
    return "<g><title>" + Escape(observe::ToJsonLine(record)) +
           "</title><text class=\"time\" x=\"4\" y=\"" + base + "\">" +
           Escape(Time(aRow)) + "</text><circle cx=\"" + Number(left) +
           "\" cy=\"" + Number(middle) + "\" r=\"" + Number(kDot) +
           "\" fill=\"" +
           (colour == mColours.end() ? "var(--faint)" : colour->second) +
           "\"/><text x=\"" + Number(left + 2 * kDot) + "\" y=\"" + base +
           "\">" + Label(record.mEvent) + "</text></g>\n";
  }

  // The kind, the subject (where there are several) and the detail, cut to
  // the lane's width together.
  [[nodiscard]] std::string Label(const observe::event& aEvent) const
  {
    const std::string kind = Cut(aEvent.mKind, kLabelLetters);
    std::size_t room = kLabelLetters - std::min(kLabelLetters, kind.size() + 1);
    std::string label = "<tspan class=\"kind\">" + Escape(kind) + "</tspan> ";
    const std::string subject = SubjectOf(aEvent);
    const auto colour = mColours.find(subject);
    if (mColours.size() > 1 && colour != mColours.end() && room > 0) {
      const std::string name = Cut(subject, room);
      room -= std::min(room, name.size() + 1);
      label.append("<tspan fill=\"").append(colour->second).append("\">");
      label.append(Escape(name)).append("</tspan> ");
    }
    const std::string detail = Detail(aEvent);
    if (room > 1 && detail != subject) {
      label.append("<tspan class=\"detail\">");
      label.append(Escape(Cut(detail, room))).append("</tspan>");
    }
    return label;
  }

  static std::string Detail(const observe::event& aEvent)
  {
    if (!aEvent.mDetail.empty()) {
      return aEvent.mDetail;
    }
    const bool job = !aEvent.mJob.empty() && !aEvent.mRequest.empty();
    return !aEvent.mTarget.empty()   ? aEvent.mTarget
           : !aEvent.mWorker.empty() ? aEvent.mWorker
           : job                     ? aEvent.mJob
                                     : std::string();
  }

  // The time of day, and how long after the event before.
  [[nodiscard]] std::string Time(std::size_t aRow) const
  {
    constexpr std::size_t kDateLetters = 11;
    const std::int64_t now = mRecords[aRow].mStamp.mWallMs;
    std::string text = FormatTime(now).substr(kDateLetters);
    const std::int64_t since =
      aRow == 0 ? 0 : now - mRecords[aRow - 1].mStamp.mWallMs;
    return since == 0 ? text : text + "  +" + std::to_string(since) + " ms";
  }

  std::span<const observe::event_record> mRecords;
  std::map<std::string, std::size_t> mLanes; // "process\ninstance", by name
  std::map<std::string, const char*> mColours;
};

} // namespace

std::string
ToHtml(std::span<const observe::event_record> aRecords,
       const std::string& aNotes)
{
  picture drawn(aRecords);
  std::string notes = aNotes;
  if (aRecords.size() > kMostRows) {
    notes += "only the first " + Number(kMostRows) + " events are drawn\n";
  }
  std::string html = "<!doctype html>\n<html lang=\"en\"><head><meta "
                     "charset=\"utf-8\"><title>Time line</title>\n";
  html += kStyle;
  html += "</head><body>\n<h1>Time line</h1>\n<p>" + Number(aRecords.size()) +
          " events from " + FormatTime(aRecords.front().mStamp.mWallMs) +
          " to " + FormatTime(aRecords.back().mStamp.mWallMs) +
          " UTC; the order is causal, also where clocks differ. Point at an "
          "event for all that it says.</p>\n";
  if (!notes.empty()) {
    html += "<p class=\"notes\">" + Escape(notes) + "</p>\n";
  }
  html += drawn.Key();
  html += drawn.Draw();
  return html + "</body></html>\n";
}

} // namespace oriolewalk::shown
