#include "oriolewalk/protocol/json_fields.h"

#include <algorithm>

#include <boost/json/parse.hpp>

namespace oriolewalk::protocol {

namespace json = boost::json;

result<json::value>
ParseJson(std::string_view aText, std::string_view aStep)
{
  json::error_code problem;
  json::value value = json::parse(aText, problem);
  if (problem) {
    return Fail(error_code::InvalidArgument, aStep, problem.message());
  }
  return value;
}

json_fields::json_fields(const json::value& aValue, std::string_view aStep)
  : mObject(aValue.if_object())
  , mStep(aStep)
{
  if (mObject == nullptr) {
    AddProblem("the value", "must be a JSON object");
  }
}

const json::value*
json_fields::Find(std::string_view aName)
{
  mFieldsRead.emplace_back(aName);
  return mObject == nullptr ? nullptr : mObject->if_contains(aName);
}

std::string
json_fields::Text(std::string_view aName,
                  std::optional<std::string_view> aDefault)
{
  const json::value* value = Find(aName);
  if (value == nullptr && aDefault) {
    return std::string(*aDefault);
  }
  if (value == nullptr || !value->is_string() ||
      (value->as_string().empty() && !aDefault)) {
    AddProblem(aName, "must be a string that is not empty");
    return {};
  }
  return std::string(value->as_string());
}

std::int64_t
json_fields::Number(std::string_view aName,
                    std::int64_t aMin,
                    std::int64_t aMax,
                    std::optional<std::int64_t> aDefault)
{
  const json::value* value = Find(aName);
  if (value == nullptr && aDefault) {
    return *aDefault;
  }
  if (value == nullptr || !value->is_int64() || value->as_int64() < aMin ||
      value->as_int64() > aMax) {
    AddProblem(aName,
               "must be a whole number from " + std::to_string(aMin) + " to " +
                 std::to_string(aMax));
    return aMin;
  }
  return value->as_int64();
}

bool
json_fields::Flag(std::string_view aName)
{
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_bool()) {
    AddProblem(aName, "must be true or false");
    return false;
  }
  return value->as_bool();
}

const json::array&
json_fields::List(std::string_view aName)
{
  static const json::array sEmpty;
  const json::value* value = Find(aName);
  if (value == nullptr) {
    return sEmpty;
  }
  if (!value->is_array()) {
    AddProblem(aName, "must be a list");
    return sEmpty;
  }
  return value->get_array();
}

void
json_fields::AddProblem(std::string_view aName, std::string_view aWhat)
{
  if (!mProblem) {
    mProblem = error{ error_code::InvalidArgument,
                      mStep,
                      {},
                      std::string(aName) + " " + std::string(aWhat) };
  }
}

void
json_fields::AddProblemOf(const json_fields& aInner)
{
  if (!mProblem) {
    mProblem = aInner.mProblem;
  }
}

void
json_fields::RejectUnknownFields()
{
  if (mObject == nullptr) {
    return;
  }
  std::ranges::for_each(*mObject, [this](const auto& aField) {
    if (std::ranges::find(mFieldsRead, aField.key()) == mFieldsRead.end()) {
      AddProblem(std::string(aField.key()), "is not a known field");
    }
  });
}

} // namespace oriolewalk::protocol
