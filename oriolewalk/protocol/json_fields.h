#pragma once

// Reads and checks the fields of a JSON object. Only the first problem is
// recorded.
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

// Errors: InvalidArgument if the text is not valid JSON.
result<boost::json::value>
ParseJson(std::string_view aText, std::string_view aStep);

// A view: the value must outlive it. A field without a default is required; a
// required field that is missing is a problem.
class json_fields
{
public:
  json_fields(const boost::json::value& aValue, std::string_view aStep);

  std::string Text(std::string_view aName,
                   std::optional<std::string_view> aDefault = std::nullopt);
  std::int64_t Number(std::string_view aName,
                      std::int64_t aMin,
                      std::int64_t aMax,
                      std::optional<std::int64_t> aDefault = std::nullopt);
  // Returns false if the field is missing.
  bool Flag(std::string_view aName);
  // Returns an empty list if the field is missing.
  const boost::json::array& List(std::string_view aName);

  // Records a problem unless there is one already. aWhat completes a sentence
  // that starts with the name, such as "must be positive".
  void AddProblem(std::string_view aName, std::string_view aWhat);
  // Records the problem of an inner object, if it has one and this object has
  // none.
  void AddProblemOf(const json_fields& aInner);
  // Records a problem if the object has a field that was not read: it is
  // probably a misspelt name.
  void RejectUnknownFields();

  [[nodiscard]] const std::optional<error>& Problem() const { return mProblem; }

private:
  const boost::json::value* Find(std::string_view aName);

  const boost::json::object* mObject;
  std::string mStep;
  std::vector<std::string> mFieldsRead;
  std::optional<error> mProblem;
};

} // namespace oriolewalk::protocol
