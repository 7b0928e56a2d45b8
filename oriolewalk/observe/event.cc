#include "oriolewalk/observe/event.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

#include <boost/json.hpp> // IWYU pragma: keep

#include "oriolewalk/base/error.h"
#include "oriolewalk/observe/hybrid_clock.h"

namespace oriolewalk::observe {

namespace {

namespace json = boost::json;

constexpr std::string_view kProcess = "process";
constexpr std::string_view kInstance = "instance";
constexpr std::string_view kSequence = "sequence";
constexpr std::string_view kWallMs = "wall_ms";
constexpr std::string_view kLogical = "logical";

struct text_field
{
  std::string_view mName;
  std::string event::*mMember;
};

constexpr std::array kTextFields{
  text_field{ "kind", &event::mKind },
  text_field{ "request", &event::mRequest },
  text_field{ "job", &event::mJob },
  text_field{ "worker", &event::mWorker },
  text_field{ "target", &event::mTarget },
  text_field{ "organisation", &event::mOrganisation },
  text_field{ "detail", &event::mDetail },
};

event_record
FromJson(const json::object& aObject)
{
  event_record record;
  record.mProcess = aObject.at(kProcess).as_string();
  record.mInstance = aObject.at(kInstance).as_string();
  record.mSequence = aObject.at(kSequence).to_number<std::uint64_t>();
  record.mStamp = { aObject.at(kWallMs).to_number<std::int64_t>(),
                    aObject.at(kLogical).to_number<std::uint32_t>() };
  for (const text_field& field : kTextFields) {
    if (const json::value* value = aObject.if_contains(field.mName)) {
      record.mEvent.*field.mMember = value->as_string();
    }
  }
  return record;
}

} // namespace

std::string
ToJsonLine(const event_record& aRecord)
{
  // On the stack: a line's dozen small allocations were half of its cost.
  constexpr std::size_t kRoom = 2048;
  std::array<unsigned char, kRoom> room{};
  json::monotonic_resource memory(room.data(), room.size());
  json::object object(&memory);
  object.reserve(5 + kTextFields.size());
  object[kWallMs] = aRecord.mStamp.mWallMs;
  object[kLogical] = aRecord.mStamp.mLogical;
  object[kProcess] = aRecord.mProcess;
  object[kInstance] = aRecord.mInstance;
  object[kSequence] = aRecord.mSequence;
  for (const text_field& field : kTextFields) {
    const std::string& value = aRecord.mEvent.*field.mMember;
    if (!value.empty()) {
      object[field.mName] = value;
    }
  }
  return json::serialize(object);
}

result<event_record>
ParseJsonLine(std::string_view aLine)
{
  try {
    return FromJson(json::parse(aLine).as_object());
  } catch (const std::exception& problem) {
    return Fail(error_code::Corrupt, "reading an event", problem.what());
  }
}

} // namespace oriolewalk::observe
