#include "programs/oriolectl.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/address.h"
#include "oriolewalk/settings/settings.h"

namespace oriolewalk::ctl {

namespace {

int
Read(const options& aOptions, const char* aTarget)
{
  return Show(aOptions, { .mTarget = aTarget }, resend::Reads, "");
}

int
Workers(options& aOptions)
{
  return Read(aOptions, "/v1/workers");
}

int
Targets(options& aOptions)
{
  return Read(aOptions, "/v1/targets");
}

int
Status(options& aOptions)
{
  return Read(aOptions, "/v1/status");
}

int
Members(options& aOptions)
{
  return Read(aOptions, "/v1/members");
}

int
Drain(options& aOptions)
{
  const std::string& kind = aOptions.mOperands[0];
  if (kind != "worker" && kind != "target") {
    std::fprintf(stderr,
                 "oriolectl drain: '%s': allowed are worker and target\n",
                 kind.c_str());
    return settings::kExitUsage;
  }
  return Show(
    aOptions,
    { .mMethod = "POST",
      .mTarget = "/v1/" + kind + "s/" + aOptions.mOperands[1] + "/drain" },
    resend::Safe,
    "repeat the command: to drain twice does no harm");
}

std::optional<std::uint64_t>
ReadId(const std::string& aText)
{
  std::uint64_t id = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, problem] = std::from_chars(aText.data(), end, id);
  if (problem != std::errc() || stop != end || id == 0) {
    std::fprintf(stderr,
                 "oriolectl: '%s' is no member id: a number from 1\n",
                 aText.c_str());
    return std::nullopt;
  }
  return id;
}

// A second copy of a change of members would be judged against the members
// that the first one made, so it is sent only where the first wasn't taken.
int
ChangeMembers(const options& aOptions, const boost::json::object& aChange)
{
  return Show(aOptions,
              { .mMethod = "POST",
                .mTarget = "/v1/members",
                .mHeaders = { { "Content-Type", "application/json" } },
                .mBody = boost::json::serialize(aChange) },
              resend::Never,
              "look with: oriolectl members");
}

int
Change(const options& aOptions,
       std::string_view aOperation,
       const std::string& aId,
       const std::string* aAddress,
       const std::string* aOld)
{
  const auto id = ReadId(aId);
  const auto old =
    aOld == nullptr ? std::optional<std::uint64_t>(0) : ReadId(*aOld);
  if (!id || !old) {
    return settings::kExitUsage;
  }
  boost::json::object change{ { "op", aOperation }, { "id", *id } };
  if (aAddress != nullptr) {
    const auto where = settings::ParseAddress(*aAddress);
    if (!where) {
      std::fprintf(stderr, "oriolectl: %s\n", where.error().mMessage.c_str());
      return settings::kExitUsage;
    }
    change["address"] = where->ToString();
  }
  if (aOld != nullptr) {
    change["old"] = *old;
  }
  return ChangeMembers(aOptions, change);
}

int
Add(options& aOptions)
{
  const auto& words = aOptions.mOperands;
  return Change(aOptions, "add", words[0], &words[1], nullptr);
}

int
Remove(options& aOptions)
{
  return Change(aOptions, "remove", aOptions.mOperands[0], nullptr, nullptr);
}

int
Promote(options& aOptions)
{
  return Change(aOptions, "promote", aOptions.mOperands[0], nullptr, nullptr);
}

int
Replace(options& aOptions)
{
  const auto& words = aOptions.mOperands;
  return Change(aOptions, "replace", words[1], &words[2], &words[0]);
}

int
Transfer(options& aOptions)
{
  if (aOptions.mOperands.empty()) {
    return ChangeMembers(aOptions, { { "op", "transfer" } });
  }
  return Change(aOptions, "transfer", aOptions.mOperands[0], nullptr, nullptr);
}

} // namespace

std::span<const command>
CellCommands()
{
  static const std::array sCommands{
    command{ "status",
             "",
             0,
             0,
             "who leads, versions in force, lag, and what is red",
             nullptr,
             Status },
    command{ "workers", "", 0, 0, "all workers", nullptr, Workers },
    command{ "targets", "", 0, 0, "all targets", nullptr, Targets },
    command{
      "drain", "worker|target ID", 2, 2, "no new work there", nullptr, Drain },
    command{ "members add",
             "ID IP:PORT",
             2,
             2,
             "adds a control process as a learner",
             nullptr,
             Add },
    command{ "members promote",
             "ID",
             1,
             1,
             "gives a learner that has caught up its vote",
             nullptr,
             Promote },
    command{ "members remove", "ID", 1, 1, "removes one", nullptr, Remove },
    command{ "members replace",
             "OLD-ID ID IP:PORT",
             3,
             3,
             "puts a new one in an old one's place",
             nullptr,
             Replace },
    command{ "members", "", 0, 0, "all control processes", nullptr, Members },
    command{ "transfer",
             "[ID]",
             0,
             1,
             "hands the leadership to it, or to who is furthest along",
             nullptr,
             Transfer },
  };
  return sCommands;
}

} // namespace oriolewalk::ctl
