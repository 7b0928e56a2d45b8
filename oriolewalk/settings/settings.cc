#include "oriolewalk/settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "oriolewalk/base/clock.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/settings/address.h"

// The table: one reader for each kind of value.

namespace oriolewalk::settings {

namespace {

// Reads a number within the range, or says what is allowed.
problem
ReadNumber(std::string_view aText, number_range aRange, std::uint64_t& aField)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, failure] = std::from_chars(aText.data(), end, number);
  if (failure != std::errc() || stop != end || number < aRange.mLeast ||
      number > aRange.mMost) {
    return "allowed are whole numbers from " + std::to_string(aRange.mLeast) +
           " to " + std::to_string(aRange.mMost);
  }
  aField = number;
  return std::nullopt;
}

// Takes a parsed value, or hands on what its parser found wrong.
template<class Value>
problem
Take(result<Value> aParsed, Value& aField)
{
  if (!aParsed) {
    return std::move(aParsed.error().mMessage);
  }
  aField = *std::move(aParsed);
  return std::nullopt;
}

std::string
Join(const std::vector<std::string>& aWords, std::string_view aBetween)
{
  std::string text;
  for (const std::string& word : aWords) {
    text += text.empty() ? word : std::string(aBetween) + word;
  }
  return text;
}

template<class Items>
std::string
Render(const Items& aItems)
{
  std::vector<std::string> words;
  std::ranges::transform(aItems,
                         std::back_inserter(words),
                         [](const auto& aItem) { return aItem.ToString(); });
  return Join(words, ",");
}

} // namespace

std::string
setting::Variable() const
{
  std::string variable = "ORIOLE_";
  std::ranges::transform(mName, std::back_inserter(variable), [](char aLetter) {
    const bool small = aLetter >= 'a' && aLetter <= 'z';
    constexpr int kToCapital = 'A' - 'a';
    return aLetter == '-' ? '_'
           : small        ? static_cast<char>(aLetter + kToCapital)
                          : aLetter;
  });
  return variable;
}

settings_parser::settings_parser(std::string aProgram, std::string aAbout)
  : mProgram(std::move(aProgram))
  , mAbout(std::move(aAbout))
{
}

void
settings_parser::Add(setting aSetting)
{
  mTable.push_back(std::move(aSetting));
}

void
settings_parser::Text(std::string aName,
                      std::string& aField,
                      std::string aUnit,
                      std::string aHelp)
{
  Add({ std::move(aName),
        std::move(aUnit),
        aField,
        std::move(aHelp),
        [&aField](std::string_view aText) -> problem {
          aField = aText;
          return std::nullopt;
        } });
}

void
settings_parser::Choice(std::string aName,
                        std::string& aField,
                        std::vector<std::string> aAllowed,
                        std::string aHelp)
{
  const std::string unit = Join(aAllowed, "|");
  Add({ std::move(aName),
        unit,
        aField,
        std::move(aHelp),
        [&aField, allowed = std::move(aAllowed), unit](
          std::string_view aText) -> problem {
          if (std::ranges::find(allowed, aText) == allowed.end()) {
            return "allowed are " + unit;
          }
          aField = aText;
          return std::nullopt;
        } });
}

void
settings_parser::Number(std::string aName,
                        std::uint64_t& aField,
                        number_range aRange,
                        std::string aUnit,
                        std::string aHelp)
{
  Add({ std::move(aName),
        std::move(aUnit),
        std::to_string(aField),
        std::move(aHelp),
        [&aField, aRange](std::string_view aText) {
          return ReadNumber(aText, aRange, aField);
        } });
}

void
settings_parser::Duration(std::string aName,
                          milliseconds& aField,
                          duration_range aRange,
                          std::string aHelp)
{
  const number_range range{ static_cast<std::uint64_t>(aRange.mLeast.count()),
                            static_cast<std::uint64_t>(aRange.mMost.count()) };
  Add({ std::move(aName),
        "ms",
        std::to_string(aField.count()),
        std::move(aHelp),
        [&aField, range](std::string_view aText) {
          auto count = static_cast<std::uint64_t>(aField.count());
          problem found = ReadNumber(aText, range, count);
          aField = milliseconds(count);
          return found;
        } });
}

void
settings_parser::Switch(std::string aName, bool& aField, std::string aHelp)
{
  Add({ std::move(aName),
        "",
        aField ? "yes" : "no",
        std::move(aHelp),
        [&aField](std::string_view aText) -> problem {
          if (aText != "yes" && aText != "no") {
            return "allowed are yes|no";
          }
          aField = aText == "yes";
          return std::nullopt;
        } });
}

void
settings_parser::Address(std::string aName, address& aField, std::string aHelp)
{
  Add({ std::move(aName),
        "IP:PORT",
        aField.ToString(),
        std::move(aHelp),
        [&aField](std::string_view aText) {
          return Take(ParseAddress(aText), aField);
        } });
}

void
settings_parser::AddressList(std::string aName,
                             std::vector<address>& aField,
                             std::string aHelp)
{
  Add({ std::move(aName),
        "IP:PORT,…",
        Render(aField),
        std::move(aHelp),
        [&aField](std::string_view aText) {
          return Take(ParseAddresses(aText), aField);
        } });
}

void
settings_parser::PeerList(std::string aName,
                          std::vector<peer>& aField,
                          std::string aHelp)
{
  Add({ std::move(aName),
        "ID=IP:PORT@DATA-CENTRE,…",
        Render(aField),
        std::move(aHelp),
        [&aField](std::string_view aText) {
          return Take(ParsePeers(aText), aField);
        } });
}

void
settings_parser::TextList(std::string aName,
                          std::vector<std::string>& aField,
                          std::string aUnit,
                          std::string aHelp)
{
  Add({ std::move(aName),
        std::move(aUnit),
        Join(aField, ","),
        std::move(aHelp),
        [&aField](std::string_view aText) -> problem {
          aField = SplitList(aText);
          return std::nullopt;
        } });
}

void
settings_parser::Operands(std::vector<std::string>& aField,
                          std::size_t aLeast,
                          std::size_t aMost,
                          std::string aForm)
{
  mOperands = &aField;
  mLeastOperands = aLeast;
  mMostOperands = aMost;
  mOperandForm = std::move(aForm);
}

void
settings_parser::Require(std::string_view aName)
{
  const auto found = std::ranges::find(mTable, aName, &setting::mName);
  if (found != mTable.end()) {
    found->mRequired = true;
  }
}

void
settings_parser::Check(settings_check aCheck)
{
  mChecks.push_back(std::move(aCheck));
}

} // namespace oriolewalk::settings
