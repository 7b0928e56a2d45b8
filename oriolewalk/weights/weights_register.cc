#include "oriolewalk/weights/weights_register.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>

#include <cereal/types/tuple.hpp>
#include <xxhash.h>

#include "oriolewalk/base/codec.h"
#include "oriolewalk/base/error.h"
#include "oriolewalk/weights/weights_table.h"

namespace oriolewalk::weights {
namespace {

// What makes two edits with one change id the same. The wall time is left out:
// a resend has another.
std::uint64_t
DigestOf(const edit& aEdit)
{
  return XXH64(aEdit.mCsv.data(), aEdit.mCsv.size(), aEdit.mBaseVersion);
}

} // namespace

weights_register::weights_register()
  : mCurrent(std::make_shared<const weights_table>(weights_table::BuiltIn()))
{
  mHistory.push_back({ mVersion, "", 0 });
  KeepTable();
}

edit_outcome
weights_register::Apply(const edit& aEdit)
{
  if (auto known = Answer(aEdit)) {
    return *known;
  }
  if (aEdit.mChangeId.empty() || aEdit.mChangeId.size() > kMaxChangeIdBytes) {
    return edit_rejected{ { { 0,
                              "",
                              "the change id must have 1 to " +
                                std::to_string(kMaxChangeIdBytes) +
                                " bytes" } } };
  }
  auto outcome = Decide(aEdit);
  Remember(aEdit, outcome);
  return outcome;
}

std::optional<edit_outcome>
weights_register::Answer(const edit& aEdit) const
{
  const auto known = mAnswers.find(aEdit.mChangeId);
  if (known == mAnswers.end()) {
    return std::nullopt;
  }
  if (known->second.mDigest != DigestOf(aEdit)) {
    return edit_id_reused{};
  }
  return known->second.mOutcome;
}

edit_outcome
weights_register::Decide(const edit& aEdit)
{
  if (aEdit.mBaseVersion != mVersion) {
    return edit_conflict{ mVersion };
  }
  auto table = weights_table::Parse(aEdit.mCsv);
  if (!table) {
    return edit_rejected{ std::move(table.error()) };
  }
  Accept(aEdit, std::move(*table));
  return edit_accepted{ mVersion };
}

void
weights_register::Accept(const edit& aEdit, weights_table aTable)
{
  ++mVersion;
  mCurrent = std::make_shared<const weights_table>(std::move(aTable));
  mHistory.push_back({ mVersion, aEdit.mChangeId, aEdit.mWallMs });
  if (mHistory.size() > kKeptVersions) {
    mHistory.pop_front();
  }
  KeepTable();
}

void
weights_register::KeepTable()
{
  mTables.push_back({ mVersion, mCurrent->ToCsv() });
  mTableBytes += mTables.back().mCsv.size();
  while (mTables.size() > 1 &&
         (mTables.size() > kKeptTables || mTableBytes > kKeptTableBytes)) {
    mTableBytes -= mTables.front().mCsv.size();
    mTables.pop_front();
  }
}

// Bounded by count, which is the same on every voter; by time it could differ.
void
weights_register::Remember(const edit& aEdit, const edit_outcome& aOutcome)
{
  mAnswers.emplace(aEdit.mChangeId, kept_answer{ DigestOf(aEdit), aOutcome });
  mAnswerOrder.push_back(aEdit.mChangeId);
  if (std::holds_alternative<edit_rejected>(aOutcome)) {
    mRejections.push_back(aEdit.mChangeId);
  }
  if (mRejections.size() > kKeptRejections) {
    const auto old = mAnswers.find(mRejections.front());
    if (old != mAnswers.end()) {
      auto& errors = std::get<edit_rejected>(old->second.mOutcome).mErrors;
      errors.resize(std::min<std::size_t>(errors.size(), 1));
      errors.shrink_to_fit();
    }
    mRejections.pop_front();
  }
  if (mAnswerOrder.size() > kKeptAnswers) {
    mAnswers.erase(mAnswerOrder.front());
    mAnswerOrder.pop_front();
  }
}

result<weights_table>
weights_register::At(std::uint64_t aVersion) const
{
  if (aVersion == mVersion) {
    return *mCurrent;
  }
  const auto place =
    std::ranges::lower_bound(mTables, aVersion, {}, &kept_table::mVersion);
  if (place == mTables.end() || place->mVersion != aVersion) {
    return Fail(error_code::NotFound,
                "read weights",
                "version " + std::to_string(aVersion) +
                  " is not kept; the kept ones are " +
                  std::to_string(mTables.front().mVersion) + " to " +
                  std::to_string(mVersion));
  }
  auto table = weights_table::Parse(place->mCsv);
  if (!table) {
    return Fail(error_code::Internal, "read weights", "kept table is invalid");
  }
  return std::move(*table);
}

result<table_diff>
weights_register::Diff(std::uint64_t aFrom, std::uint64_t aTo) const
{
  const auto from = At(aFrom);
  if (!from) {
    return Fail(from.error());
  }
  return At(aTo).map(
    [&](const weights_table& aTable) { return DiffTables(*from, aTable); });
}

bytes
weights_register::Save() const
{
  return Encode(
    std::tie(mVersion, mHistory, mTables, mAnswers, mAnswerOrder, mRejections));
}

result<void>
weights_register::Restore(std::string_view aBytes)
{
  constexpr std::string_view kStep = "restore weights";
  using saved = std::tuple<std::uint64_t,
                           std::deque<version_record>,
                           std::deque<kept_table>,
                           std::map<std::string, kept_answer>,
                           std::deque<std::string>,
                           std::deque<std::string>>;
  auto fields = Decode<saved>(aBytes, kStep);
  if (!fields) {
    return Fail(fields.error());
  }
  weights_register restored;
  std::tie(restored.mVersion,
           restored.mHistory,
           restored.mTables,
           restored.mAnswers,
           restored.mAnswerOrder,
           restored.mRejections) = std::move(*fields);
  if (restored.mTables.empty() ||
      restored.mTables.back().mVersion != restored.mVersion) {
    return Fail(error_code::Corrupt, kStep, "the current table is missing");
  }
  auto table = weights_table::Parse(restored.mTables.back().mCsv);
  if (!table) {
    return Fail(error_code::Corrupt, kStep, "the current table is invalid");
  }
  restored.mCurrent = std::make_shared<const weights_table>(std::move(*table));
  restored.mTableBytes = 0;
  for (const auto& kept : restored.mTables) {
    restored.mTableBytes += kept.mCsv.size();
  }
  *this = std::move(restored);
  return {};
}

} // namespace oriolewalk::weights
