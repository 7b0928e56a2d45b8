#include "programs/oriolectl.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <ctime>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace oriolewalk::ctl {

namespace {

namespace json = boost::json;

std::string
ScalarToCell(const json::value& aValue)
{
  if (aValue.is_string()) {
    return aValue.get_string().empty() ? "-" : std::string(aValue.get_string());
  }
  if (aValue.is_null()) {
    return "-";
  }
  if (aValue.is_bool()) {
    return aValue.get_bool() ? "yes" : "no";
  }
  if (aValue.is_double()) {
    constexpr std::size_t kRoom = 32;
    std::array<char, kRoom> text{};
    std::snprintf(text.data(), text.size(), "%.3g", aValue.get_double());
    return text.data();
  }
  return json::serialize(aValue);
}

// One cell: a list as "a, b", an object as "name=value name=value".
std::string
ToCell(const json::value& aValue)
{
  std::string text;
  if (aValue.is_object()) {
    for (const auto& field : aValue.get_object()) {
      text += text.empty() ? "" : " ";
      text.append(field.key()).append("=").append(ToCell(field.value()));
    }
  } else if (aValue.is_array()) {
    for (const json::value& one : aValue.get_array()) {
      text += text.empty() ? "" : ", ";
      text += ToCell(one);
    }
  } else {
    text = ScalarToCell(aValue);
  }
  return text.empty() ? "-" : text;
}

// A time by the wall clock is told as one; 0 stands for none.
std::string
FieldToCell(std::string_view aName, const json::value& aValue)
{
  if (aName != "wall_ms" || !aValue.is_int64()) {
    return ToCell(aValue);
  }
  const std::time_t whole = aValue.get_int64() / 1000;
  if (whole == 0) {
    return "-";
  }
  std::tm parts{};
  gmtime_r(&whole, &parts);
  constexpr std::size_t kRoom = 32;
  std::array<char, kRoom> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

using text_row = std::vector<std::string>;

// Letters, not bytes: continuation bytes of UTF-8 take no place.
std::size_t
Width(std::string_view aText)
{
  constexpr unsigned kMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  return static_cast<std::size_t>(std::ranges::count_if(aText, [](char aByte) {
    return (static_cast<unsigned char>(aByte) & kMask) != kContinuation;
  }));
}

std::string
Align(const std::vector<text_row>& aRows)
{
  std::vector<std::size_t> widths;
  for (const text_row& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t place = 0; place < row.size(); ++place) {
      widths[place] = std::max(widths[place], Width(row[place]));
    }
  }
  std::string text;
  for (const text_row& row : aRows) {
    std::string line;
    for (std::size_t place = 0; place < row.size(); ++place) {
      line += row[place];
      line.append(widths[place] - Width(row[place]) + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

std::string
ListToTable(const json::array& aList)
{
  text_row header;
  for (const json::value& one : aList) {
    if (!one.is_object()) {
      return ToCell(aList) + '\n';
    }
    for (const auto& field : one.get_object()) {
      const std::string name(field.key());
      if (std::ranges::find(header, name) == header.end()) {
        header.push_back(name);
      }
    }
  }
  if (header.empty()) {
    return "none\n";
  }
  std::vector<text_row> rows{ header };
  for (const json::value& one : aList) {
    text_row row;
    for (const std::string& name : header) {
      const json::value* cell = one.get_object().if_contains(name);
      row.push_back(cell == nullptr ? "-" : FieldToCell(name, *cell));
    }
    rows.push_back(std::move(row));
  }
  return Align(rows);
}

bool
IsTable(const json::value& aValue)
{
  return aValue.is_array() && !aValue.get_array().empty() &&
         aValue.get_array().front().is_object();
}

} // namespace

std::string
ToTables(const json::value& aValue)
{
  if (aValue.is_array()) {
    return ListToTable(aValue.get_array());
  }
  if (!aValue.is_object()) {
    return ToCell(aValue) + '\n';
  }
  std::vector<text_row> plain;
  std::string tables;
  for (const auto& field : aValue.get_object()) {
    const std::string name(field.key());
    if (field.value().is_object() || IsTable(field.value())) {
      tables.append("\n").append(name).append(":\n");
      tables += ToTables(field.value());
    } else {
      plain.push_back({ name, FieldToCell(name, field.value()) });
    }
  }
  return Align(plain) + tables;
}

} // namespace oriolewalk::ctl
