#pragma once

// What the stand-ins share. Each plays one outside party by docs/PROTOCOLS.md,
// for tests and local runs; none is part of the product.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>

#include "oriolewalk/base/error.h"
#include "oriolewalk/http/client.h"
#include "oriolewalk/http/message.h"

namespace oriolewalk::standin {

constexpr int kExitWrong = 1;

// Each role parses its own settings; aArguments begins with the role's name.
int
RunTarget(int aCount, char** aArguments);
int
RunWorker(int aCount, char** aArguments);
int
RunCallers(int aCount, char** aArguments);

// A file with one line for each thing that was run, written at once, so that a
// test can count the runs of a key also after a kill. An empty path writes
// nothing. One thread.
class run_log
{
public:
  static result<run_log> Open(const std::string& aPath);
  // "WORD WHAT ATTEMPT WALL-MS".
  void Write(std::string_view aWord,
             std::string_view aWhat,
             std::string_view aAttempt);

  run_log(const run_log&) = delete;
  run_log& operator=(const run_log&) = delete;
  run_log(run_log&& aOther) noexcept;
  run_log& operator=(run_log&& aOther) = delete;
  ~run_log();

private:
  explicit run_log(int aFile)
    : mFile(aFile)
  {
  }

  int mFile;
};

// The answer's JSON object if it came with status 200; else why not.
result<boost::json::object>
ReadAnswer(const http::send_outcome& aOutcome);

// A JSON request.
http::request
MakeRequest(std::string aMethod,
            std::string aTarget,
            const boost::json::object& aBody);

// The number of that name, or what is given.
std::int64_t
NumberIn(const boost::json::object& aObject,
         std::string_view aName,
         std::int64_t aElse);
std::string
TextIn(const boost::json::object& aObject, std::string_view aName);

} // namespace oriolewalk::standin
