#include "oriolewalk/entry/caller_api.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <xxhash.h>

namespace oriolewalk::entry {

namespace {

constexpr std::string_view kStep = "reading the request";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint32_t kDefaultDeadlineMs = 10'000;

// Headers that the entry sets itself or that apply to one connection only.
constexpr std::array<std::string_view, 9> kNotForwarded = {
  "host",    "connection",         "keep-alive",
  "te",      "transfer-encoding",  "content-length",
  "upgrade", "oriole-deadline-ms", "proxy-connection",
};

tl::unexpected<error>
Invalid(std::string_view aHeader, std::string_view aAllowed)
{
  return Fail(error_code::InvalidArgument,
              kStep,
              std::string(aHeader) + " must be " + std::string(aAllowed));
}

// Names are used in logs and keys, so they must be printable and must not
// contain spaces, slashes or quotes.
bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::ranges::all_of(aText, [](char aByte) {
           return aByte > ' ' && aByte < '\x7f' && aByte != '/' && aByte != '"';
         });
}

std::optional<std::uint32_t>
ParseDeadline(std::string_view aText)
{
  std::uint32_t value = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, problem] = std::from_chars(aText.data(), last, value);
  if (problem != std::errc{} || end != last || value == 0 ||
      value > protocol::kMaxDeadlineMs) {
    return std::nullopt;
  }
  return value;
}

// Detects a key that is used again for a request with other content. The other
// headers, such as the deadline, may differ between deliveries of one request
// and are left out.
std::uint64_t
Fingerprint(const http::request& aRequest,
            const protocol::claim_request& aClaim)
{
  std::string text = aRequest.mMethod + '\n' + aRequest.mTarget + '\n';
  text += ToString(aClaim.mClass);
  text += aClaim.mRepeatable ? "\nyes\n" : "\nno\n";
  text += aRequest.mBody;
  return XXH3_64bits(text.data(), text.size());
}

// Sets the fields of the claim that come from the headers. The entry sets the
// others itself.
result<void>
ReadHeaders(const http::request& aRequest,
            const std::string& aGeneratedKey,
            protocol::claim_request& aClaim)
{
  const std::string key(
    aRequest.Find("Idempotency-Key").value_or(aGeneratedKey));
  const std::string organisation(
    aRequest.Find("Oriole-Organisation").value_or("default"));
  if (!IsName(key)) {
    return Invalid("Idempotency-Key", "1 to 128 printable bytes without /");
  }
  if (!IsName(organisation)) {
    return Invalid("Oriole-Organisation", "1 to 128 printable bytes without /");
  }
  const auto workClass =
    ParseWorkClass(aRequest.Find("Oriole-Class").value_or("normal"));
  if (!workClass) {
    return Invalid("Oriole-Class", "urgent, normal or heavy");
  }
  const std::string_view repeatable =
    aRequest.Find("Oriole-Repeatable").value_or("no");
  if (repeatable != "yes" && repeatable != "no") {
    return Invalid("Oriole-Repeatable", "yes or no");
  }
  aClaim.mRef = { organisation_id(organisation), request_key(key) };
  aClaim.mClass = *workClass;
  aClaim.mRepeatable = repeatable == "yes";
  // Fair sharing within an organisation is per caller: the peer address without
  // its port, or the caller that a proxy of the organisation names.
  const std::string_view peer = aRequest.mPeer;
  aClaim.mCallerKey = std::string(
    aRequest.Find("Oriole-Caller").value_or(peer.substr(0, peer.rfind(':'))));
  return {};
}

} // namespace

bool
IsServicePath(std::string_view aTarget)
{
  return aTarget.starts_with(kServicesPrefix);
}

result<parsed_call>
ParseCall(const http::request& aRequest, const std::string& aGeneratedKey)
{
  std::string_view rest = aRequest.mTarget;
  rest.remove_prefix(std::min(kServicesPrefix.size(), rest.size()));
  const std::size_t end = rest.find_first_of("/?");
  const std::string_view service = rest.substr(0, end);
  if (!IsName(service)) {
    return Invalid("the service's name", "1 to 128 printable bytes");
  }
  parsed_call call;
  call.mTargetPath =
    end == std::string_view::npos ? "/" : std::string(rest.substr(end));
  if (call.mTargetPath.front() == '?') {
    call.mTargetPath.insert(0, 1, '/');
  }
  call.mClaim.mService = service_id(std::string(service));
  if (const auto read = ReadHeaders(aRequest, aGeneratedKey, call.mClaim);
      !read) {
    return Fail(read.error());
  }
  std::uint32_t deadline = kDefaultDeadlineMs;
  if (const auto given = aRequest.Find("Oriole-Deadline-Ms")) {
    const auto parsed = ParseDeadline(*given);
    if (!parsed) {
      return Invalid("Oriole-Deadline-Ms", "a number from 1 to 600000");
    }
    deadline = *parsed;
  }
  call.mDeadline = milliseconds(deadline);
  call.mClaim.mDeadlineMs = deadline;
  call.mClaim.mFingerprint = Fingerprint(aRequest, call.mClaim);
  return call;
}

http::request
MakeTargetRequest(const http::request& aRequest,
                  const parsed_call& aCall,
                  std::uint32_t aAttempt,
                  milliseconds aTimeLeft)
{
  http::request request;
  request.mMethod = aRequest.mMethod;
  request.mTarget = aCall.mTargetPath;
  request.mBody = aRequest.mBody;
  std::ranges::copy_if(aRequest.mHeaders,
                       std::back_inserter(request.mHeaders),
                       [](const http::header& aHeader) {
                         return std::ranges::none_of(
                           kNotForwarded, [&](std::string_view aName) {
                             return boost::iequals(aHeader.mName, aName);
                           });
                       });
  request.mHeaders.push_back(
    { "Oriole-Request", aCall.mClaim.mRef.ToString() });
  request.mHeaders.push_back({ "Oriole-Attempt", std::to_string(aAttempt) });
  request.mHeaders.push_back(
    { "Oriole-Deadline-Ms", std::to_string(aTimeLeft.count()) });
  return request;
}

} // namespace oriolewalk::entry
