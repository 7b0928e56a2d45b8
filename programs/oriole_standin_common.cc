#include "programs/oriole_standin.h"

#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

#include <fcntl.h>
#include <unistd.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/base/overloaded.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"

namespace oriolewalk::standin {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;

result<boost::json::object>
ReadObject(const http::response& aResponse)
{
  if (aResponse.mStatus != kStatusOk) {
    return Fail(aResponse.mStatus == kStatusNotFound ? error_code::NotFound
                                                     : error_code::Unavailable,
                "reading the entry's answer",
                std::to_string(aResponse.mStatus) + " " + aResponse.mBody);
  }
  try {
    return boost::json::parse(aResponse.mBody).as_object();
  } catch (const std::exception& problem) {
    return Fail(
      error_code::Corrupt, "reading the entry's answer", problem.what());
  }
}

} // namespace

result<run_log>
run_log::Open(const std::string& aPath)
{
  constexpr int kMode = 0644;
  if (aPath.empty()) {
    return run_log(-1);
  }
  const int file =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  if (file < 0) {
    return Fail(error_code::Io,
                "opening the run log",
                aPath + ": " + std::generic_category().message(errno));
  }
  return run_log(file);
}

run_log::run_log(run_log&& aOther) noexcept
  : mFile(std::exchange(aOther.mFile, -1))
{
}

run_log::~run_log()
{
  if (mFile >= 0) {
    ::close(mFile);
  }
}

void
run_log::Write(std::string_view aWord,
               std::string_view aWhat,
               std::string_view aAttempt)
{
  if (mFile < 0) {
    return;
  }
  std::string line(aWord);
  line.append(" ").append(aWhat).append(" ").append(aAttempt).append(" ");
  line.append(std::to_string(WallMilliseconds())).append("\n");
  // One write of an appending file is one whole line.
  if (::write(mFile, line.data(), line.size()) < 0) {
    std::perror("oriole-standin: writing the run log");
  }
}

result<boost::json::object>
ReadAnswer(const http::send_outcome& aOutcome)
{
  return std::visit(overloaded{
                      [](const http::answered& aAnswer) {
                        return ReadObject(aAnswer.mResponse);
                      },
                      [](const auto& aLost) -> result<boost::json::object> {
                        return Fail(aLost.mError);
                      },
                    },
                    aOutcome);
}

http::request
MakeRequest(std::string aMethod,
            std::string aTarget,
            const boost::json::object& aBody)
{
  return { .mMethod = std::move(aMethod),
           .mTarget = std::move(aTarget),
           .mHeaders = { { "Content-Type", "application/json" } },
           .mBody =
             aBody.empty() ? std::string() : boost::json::serialize(aBody) };
}

std::int64_t
NumberIn(const boost::json::object& aObject,
         std::string_view aName,
         std::int64_t aElse)
{
  const boost::json::value* found = aObject.if_contains(aName);
  if (found == nullptr || !found->is_number()) {
    return aElse;
  }
  boost::json::error_code wrong;
  const auto number = found->to_number<std::int64_t>(wrong);
  return wrong ? aElse : number;
}

std::string
TextIn(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_string()
           ? std::string(found->get_string())
           : std::string();
}

} // namespace oriolewalk::standin
