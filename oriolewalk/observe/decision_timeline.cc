#include "oriolewalk/observe/decision_timeline.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace oriolewalk::observe {

namespace {

namespace json = boost::json;

std::string
TextOf(const json::value& aValue)
{
  return aValue.is_string() ? std::string(aValue.as_string()) : std::string();
}

std::optional<logged_decision>
ReadLine(std::string_view aLine)
{
  const auto begin = aLine.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code problem;
  const json::value value = json::parse(aLine.substr(begin), problem);
  if (problem || !value.is_object()) {
    return std::nullopt;
  }
  logged_decision read;
  bool timed = false;
  for (const auto& [name, field] : value.as_object()) {
    if (name == "t" && field.is_int64()) {
      read.mMs = field.as_int64();
      timed = true;
    } else if (name == "n") {
      read.mNode = TextOf(field);
    } else if (name == "e") {
      read.mEvent = TextOf(field);
    } else if (name != "p") {
      read.mFields.emplace_back(std::string(name), TextOf(field));
    }
  }
  return timed && !read.mEvent.empty() ? std::optional(std::move(read))
                                       : std::nullopt;
}

// Runs of later attempts that a line tells of: "17@WORKER 18@WORKER".
std::uint64_t
RetriesIn(const logged_decision& aLine)
{
  if (aLine.mEvent != "run.start" || aLine.Field("attempt") == "1") {
    return 0;
  }
  return 1 + static_cast<std::uint64_t>(
               std::ranges::count(aLine.Field("runs"), ' '));
}

// What the time until this line was spent on; empty: nothing to tell.
std::string
WaitBefore(const logged_decision& aLine)
{
  const std::string step = "step " + std::string(aLine.Field("step"));
  if (aLine.mEvent == "advice.answered" || aLine.mEvent == "advice.failed") {
    return step + " waits for the policy service";
  }
  if (aLine.mEvent == "run.start") {
    return aLine.Field("attempt") == "1" ? step + " waits for room or its turn"
                                         : step + " starts again";
  }
  if (aLine.mEvent == "step.done" || aLine.mEvent == "run.ended") {
    return step + " works";
  }
  if (aLine.mEvent == "leading") {
    return "no leader, or one that takes over";
  }
  return aLine.mEvent == "job.ended" ? "its last tasks work" : "";
}

} // namespace

std::string_view
logged_decision::Field(std::string_view aName) const
{
  const auto found = std::ranges::find(mFields, aName, [](const auto& aField) {
    return std::string_view(aField.first);
  });
  return found == mFields.end() ? std::string_view() : found->second;
}

void
decision_timeline::Add(std::string_view aText)
{
  while (!aText.empty()) {
    const auto end = std::min(aText.find('\n'), aText.size());
    auto read = ReadLine(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
    if (!read) {
      ++mBadLines;
      continue;
    }
    // Last time shown, and what is added since the clock went back.
    auto& [last, added] = mClocks[read->mNode];
    read->mMs += added;
    if (read->mMs < last) {
      added += last - read->mMs;
      read->mMs = last;
    }
    last = read->mMs;
    mLines.push_back(std::move(*read));
  }
}

std::vector<logged_decision>
decision_timeline::OfJob(std::string_view aJob) const
{
  const auto names = [&](const logged_decision& aLine) {
    return aLine.Field("job") == aJob || aLine.Field("target").ends_with(aJob);
  };
  std::vector<logged_decision> lines;
  std::ranges::copy_if(mLines, std::back_inserter(lines), names);
  if (lines.empty()) {
    return lines;
  }
  const auto [first, last] =
    std::ranges::minmax(lines, {}, &logged_decision::mMs);
  const std::int64_t from = first.mMs;
  const std::int64_t to = last.mMs;
  std::ranges::copy_if(
    mLines, std::back_inserter(lines), [&](const logged_decision& aLine) {
      return (aLine.mEvent == "leading" || aLine.mEvent == "stepped.down") &&
             aLine.mMs >= from && aLine.mMs <= to;
    });
  std::ranges::stable_sort(lines, {}, &logged_decision::mMs);
  return lines;
}

job_account
decision_timeline::Account(std::string_view aJob) const
{
  job_account account;
  const std::vector<logged_decision> lines = OfJob(aJob);
  std::map<std::string, std::int64_t> spent;
  std::int64_t before = lines.empty() ? 0 : lines.front().mMs;
  for (const logged_decision& line : lines) {
    if (const std::string wait = WaitBefore(line); !wait.empty()) {
      spent[wait] += line.mMs - before;
    }
    before = line.mMs;
    account.mRetries += RetriesIn(line);
    account.mLeaders += line.mEvent == "leading" ? 1 : 0;
    if (line.mEvent == "job.ended") {
      account.mState = line.Field("state");
    }
  }
  account.mWholeMs = before - (lines.empty() ? 0 : lines.front().mMs);
  for (auto& [what, ms] : spent) {
    account.mParts.push_back({ what, ms });
  }
  std::ranges::stable_sort(
    account.mParts, std::ranges::greater(), &job_account::part::mMs);
  return account;
}

} // namespace oriolewalk::observe
