#pragma once

// The log by which a failure is explained afterwards: one JSON object a line on
// standard output, one line a decision.
//
//   decision_log log(1, "control", "core-a-1");
//   log.Write("job.accepted", fields);   // buffered
//   log.Flush();                         // a few times a second
//
//   {"t":1764714000123,"p":"control","n":"core-a-1","e":"job.accepted",
//    "job":"5c0e7a21d94b36f8","queue":"fees"}            (as one line)
//
// Never blocks: what standard output doesn't take stays in a bounded buffer,
// and lines beyond it are dropped, counted by event and told by a line
// "log.dropped" once there is room. Without that a stopped reader would stop
// the process. Cost: about 2 us a line, one write a flush. One thread.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolewalk::observe {

using decision_fields = std::vector<std::pair<std::string_view, std::string>>;

class decision_log
{
public:
  // What waits for a reader; about 2,000 lines.
  static constexpr std::size_t kMostBuffered = std::size_t{ 512 } << 10U;

  // aDescriptor is made non-blocking; it stays the caller's.
  decision_log(int aDescriptor, std::string aProcess, std::string aNode);

  void Write(std::string_view aEvent, const decision_fields& aFields);
  void Flush();
  [[nodiscard]] std::uint64_t Written() const { return mWritten; }
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }
  // Decisions by event, those whose lines were dropped among them.
  [[nodiscard]] const std::map<std::string, std::uint64_t, std::less<>>&
  Counts() const
  {
    return mCounts;
  }

private:
  void Append(std::string_view aEvent, const decision_fields& aFields);
  void TellDropped();

  int mDescriptor;
  std::string mProcess;
  std::string mNode;
  std::string mBuffer;
  std::map<std::string, std::uint64_t, std::less<>> mLost; // by event
  std::map<std::string, std::uint64_t, std::less<>> mCounts;
  std::uint64_t mWritten = 0;
  std::uint64_t mDropped = 0;
};

} // namespace oriolewalk::observe
