#pragma once

// The event file of one process: one JSON line an event, bounded in size, in
// an order that holds across processes.
//
//   auto log = event_log::Open({ .mPath = "e1.events",
//                                .mProcess = "oriole-entry",
//                                .mInstance = "e1" });
//   (*log)->Write({ .mKind = "claimed", .mRequest = "taksa/7" });
//   message.mStamp = (*log)->Stamp();   // with every message that is sent
//   (*log)->Merge(message.mStamp);      // and on receipt of one

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/observe/event.h"
#include "oriolewalk/observe/hybrid_clock.h"

namespace oriolewalk::observe {

struct event_log_options
{
  // Empty: nothing is written, but stamps are still given out and merged.
  std::string mPath{};
  std::string mProcess{};
  std::string mInstance{};
  // At this size the file becomes PATH.1 (the one before is lost) and a new
  // one starts: at most twice this much disk is used.
  std::uint64_t mMaxBytes = 64ULL * 1024 * 1024;
  // Events wait this long in memory; a killed process loses at most these.
  milliseconds mFlushEvery{ 100 };
  // Events that wait for a slow disk; beyond this they are dropped, counted,
  // and seen later as a gap in the sequence. Traffic never waits for them.
  std::size_t mMaxBufferBytes = 4UL * 1024 * 1024;
  std::function<std::int64_t()> mWallMilliseconds =
    &oriolewalk::WallMilliseconds;
};

// Owned by the process's shell; any thread may call it. Write costs one JSON
// object and a short lock; a thread of the log's own does the file work.
class event_log
{
public:
  // Goes on where the file ends: sequence and clock continue above its last
  // line, also when the wall clock was set back meanwhile, and a torn last
  // line (the process was killed) is closed off. Errors: Io.
  static result<std::unique_ptr<event_log>> Open(event_log_options aOptions);
  // Writes out what waits.
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;
  event_log(event_log&&) = delete;
  event_log& operator=(event_log&&) = delete;

  void Write(event aEvent);
  stamp Stamp();
  void Merge(const stamp& aSeen);
  // Waits until all events so far are in the file.
  void Flush();
  // Events that were lost for want of room or by a failed write.
  [[nodiscard]] std::uint64_t Dropped() const;

private:
  class state;
  explicit event_log(std::unique_ptr<state> aState);

  std::unique_ptr<state> mState;
};

} // namespace oriolewalk::observe
