// Fuzzes what comes from callers and operators about organisations: any header
// and any body are read without an exception, no key but a known one is
// accepted, and a table is either refused or sound.

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <variant>

#include <fuzzer/FuzzedDataProvider.h>

#include "oriolewalk/flow/messages.h"
#include "oriolewalk/http/message.h"
#include "oriolewalk/organisations/key_index.h"
#include "platform/client_calls.h"
#include "platform/operator_calls.h"

namespace {

namespace flow = oriolewalk::flow;
namespace http = oriolewalk::http;
namespace organisations = oriolewalk::organisations;

void
Require(bool aHolds, const char* aWhat)
{
  if (!aHolds) {
    std::fprintf(stderr, "%s\n", aWhat);
    std::abort();
  }
}

// Known keys have a common beginning with what the fuzzer is likely to find.
const std::string kKnownKey = "Token Token abc";

void
CheckHeader(const std::string& aHeader, std::uint64_t aSeed)
{
  organisations::key_index index(aSeed);
  const organisations::organisation_row row{
    oriolewalk::organisation_id("a"), { kKnownKey }, 1, {}
  };
  index.Update({ &row, 1 });
  http::request call{ .mMethod = "GET",
                      .mTarget = "/q/",
                      .mHeaders = { { "Authorization", aHeader } },
                      .mBody = {} };
  const auto read = platform::ReadClientCall(call);
  Require(read.has_value(), "a header kept a call from being read");
  const auto* keyed = std::get_if<flow::keyed_request>(&*read);
  Require(keyed != nullptr, "a header without a key became no key");
  Require((index.OwnerOf(keyed->mKey) != nullptr) == (keyed->mKey == kKnownKey),
          "a wrong key was accepted, or the right one refused");
}

void
CheckTableBody(const std::string& aBody)
{
  const auto read = platform::ReadOperatorCall({ .mMethod = "POST",
                                                 .mTarget = "/v1/config/put",
                                                 .mHeaders = {},
                                                 .mBody = aBody });
  if (!read) {
    Require(read.error().mCode == oriolewalk::error_code::InvalidArgument,
            "an unreadable table isn't called invalid");
    return;
  }
  if (const auto* put = std::get_if<flow::table_change_with_access>(&*read)) {
    Require(organisations::CheckRows(put->mAccess.mOrganisations).has_value(),
            "an unsound row was accepted");
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  constexpr std::size_t kMaxHeaderBytes = 200;
  FuzzedDataProvider input(aData, aSize);
  const auto seed = input.ConsumeIntegral<std::uint64_t>();
  CheckHeader(input.ConsumeRandomLengthString(kMaxHeaderBytes), seed);
  CheckTableBody(input.ConsumeRemainingBytesAsString());
  return 0;
}
