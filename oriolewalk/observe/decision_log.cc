#include "oriolewalk/observe/decision_log.h"

#include <cerrno>
#include <functional>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fcntl.h>
#include <unistd.h>

#include "oriolewalk/base/clock.h"

namespace oriolewalk::observe {

decision_log::decision_log(int aDescriptor,
                           std::string aProcess,
                           std::string aNode)
  : mDescriptor(aDescriptor)
  , mProcess(std::move(aProcess))
  , mNode(std::move(aNode))
{
  const int flags = fcntl(mDescriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(mDescriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void
decision_log::Write(std::string_view aEvent, const decision_fields& aFields)
{
  if (const auto found = mCounts.find(aEvent); found != mCounts.end()) {
    ++found->second;
  } else {
    mCounts.emplace(aEvent, 1);
  }
  if (mBuffer.size() >= kMostBuffered) {
    ++mDropped;
    ++mLost[std::string(aEvent)];
    return;
  }
  Append(aEvent, aFields);
}

void
decision_log::Append(std::string_view aEvent, const decision_fields& aFields)
{
  boost::json::object line;
  line.emplace("t", WallMilliseconds());
  line.emplace("p", mProcess);
  line.emplace("n", mNode);
  line.emplace("e", aEvent);
  for (const auto& [name, value] : aFields) {
    line.emplace(name, value);
  }
  mBuffer += boost::json::serialize(line);
  mBuffer += '\n';
  ++mWritten;
}

void
decision_log::TellDropped()
{
  for (const auto& [event, count] : std::exchange(mLost, {})) {
    Append("log.dropped",
           { { "event", event }, { "lines", std::to_string(count) } });
  }
}

void
decision_log::Flush()
{
  if (!mLost.empty() && mBuffer.size() < kMostBuffered) {
    TellDropped();
  }
  std::size_t gone = 0;
  while (gone < mBuffer.size()) {
    const ssize_t wrote =
      ::write(mDescriptor, mBuffer.data() + gone, mBuffer.size() - gone);
    if (wrote <= 0) {
      break; // full, or closed: the buffer's bound sees to the rest
    }
    gone += static_cast<std::size_t>(wrote);
  }
  mBuffer.erase(0, gone);
}

} // namespace oriolewalk::observe
