#pragma once

// Reads the fields of a JSON object with checks; the first one that is wrong
// is kept.
//
//   auto body = ParseJson(text, "announcing a target");
//   json_fields fields(*body, "announcing a target");
//   target.mSlots = fields.Number("slots", 1, 100);
//   if (fields.Problem()) { return Fail(*fields.Problem()); }

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "oriolewalk/base/error.h"

namespace oriolewalk::protocol {

// Errors: InvalidArgument, if the text is no JSON.
result<boost::json::value>
ParseJson(std::string_view aText, std::string_view aStep);

// A view: the value must outlive it. Fields without a default must be there.
class json_fields
{
public:
  json_fields(const boost::json::value& aValue, std::string_view aStep);

  std::string Text(std::string_view aName,
                   std::optional<std::string_view> aDefault = std::nullopt);
  std::int64_t Number(std::string_view aName,
                      std::int64_t aLeast,
                      std::int64_t aMost,
                      std::optional<std::int64_t> aDefault = std::nullopt);
  // False if it isn't there.
  bool Flag(std::string_view aName);
  // Empty if it isn't there.
  const boost::json::array& List(std::string_view aName);

  // aWhat continues a sentence that starts with the name: "must be positive".
  void Complain(std::string_view aName, std::string_view aWhat);
  // An inner object's problem becomes this one's.
  void Take(const json_fields& aInner);
  // Fields that nobody has asked for are mistakes of spelling.
  void RefuseOthers();

  [[nodiscard]] const std::optional<error>& Problem() const { return mProblem; }

private:
  const boost::json::value* Find(std::string_view aName);

  const boost::json::object* mObject;
  std::string mStep;
  std::vector<std::string> mSeen;
  std::optional<error> mProblem;
};

} // namespace oriolewalk::protocol
