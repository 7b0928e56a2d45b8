// Operators race each other, lose answers and send again, over restarts from a
// snapshot; the register is held against a plain record of first answers. Any
// text at all goes through the parser.

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <variant>

#include <fuzzer/FuzzedDataProvider.h>

#include "oriolewalk/weights/weights_register.h"

namespace oriolewalk::weights {
namespace {

void
Require(bool aHolds, const char* aWhat)
{
  if (!aHolds) {
    std::fprintf(stderr, "does not hold: %s\n", aWhat);
    std::abort();
  }
}

const std::string kHeader =
  "organisation,class,weight,max_slots,max_waiting,requests_per_s,burst,"
  "milli_processors,memory_mb,accelerators,max_running_tasks\n";

struct first_answer
{
  edit mEdit;
  edit_outcome mOutcome;
};

class weights_run
{
public:
  weights_run(const std::uint8_t* aData, std::size_t aSize)
    : mInput(aData, aSize)
  {
  }

  void Run()
  {
    constexpr int kSteps = 100;
    for (int i = 0; i < kSteps && mInput.remaining_bytes() > 0; ++i) {
      switch (mInput.ConsumeIntegralInRange(0, 3)) {
        case 0:
          Send(NewEdit());
          break;
        case 1:
          Resend();
          break;
        case 2:
          Restart();
          break;
        default:
          ParseAnything();
          break;
      }
      Require(mRegister.Version() == mVersion, "the version is as counted");
      Require(mRegister.Current().ToCsv() == mCsv, "the table is as accepted");
    }
  }

private:
  edit NewEdit()
  {
    edit change;
    // Few ids, so that operators also reuse one by mistake.
    change.mChangeId = "c" + std::to_string(mInput.ConsumeIntegral<uint8_t>());
    change.mBaseVersion =
      mVersion - mInput.ConsumeIntegralInRange<std::uint64_t>(0, 1);
    change.mCsv = kHeader + "*,*," +
                  std::to_string(mInput.ConsumeIntegralInRange(0, 20)) +
                  ",,,,,,,,\n";
    if (mInput.ConsumeBool()) {
      change.mCsv += mInput.ConsumeRandomLengthString(60);
    }
    return change;
  }

  void Send(const edit& aEdit)
  {
    const auto known = mFirst.find(aEdit.mChangeId);
    const auto outcome = mRegister.Apply(aEdit);
    if (known != mFirst.end()) {
      const auto& first = known->second;
      const bool same = first.mEdit.mCsv == aEdit.mCsv &&
                        first.mEdit.mBaseVersion == aEdit.mBaseVersion;
      Require(outcome ==
                (same ? first.mOutcome : edit_outcome(edit_id_reused{})),
              "a known change id gets its first answer, or a refusal");
      return;
    }
    Judge(aEdit, outcome);
    mFirst[aEdit.mChangeId] = { aEdit, outcome };
  }

  void Judge(const edit& aEdit, const edit_outcome& aOutcome)
  {
    if (aEdit.mBaseVersion != mVersion) {
      Require(aOutcome == edit_outcome(edit_conflict{ mVersion }),
              "an edit of an older version is a conflict");
      return;
    }
    const auto table = weights_table::Parse(aEdit.mCsv);
    if (!table) {
      Require(aOutcome == edit_outcome(edit_rejected{ table.error() }),
              "a table with errors is rejected with them");
      return;
    }
    ++mVersion;
    mCsv = table->ToCsv();
    Require(aOutcome == edit_outcome(edit_accepted{ mVersion }),
            "a sound edit of the current version is accepted");
  }

  void Resend()
  {
    if (mFirst.empty()) {
      return;
    }
    auto place = mFirst.begin();
    std::advance(
      place, mInput.ConsumeIntegralInRange<std::size_t>(0, mFirst.size() - 1));
    auto again = place->second.mEdit;
    again.mWallMs = mInput.ConsumeIntegral<std::int16_t>();
    Send(again);
  }

  void Restart()
  {
    weights_register restored;
    Require(restored.Restore(mRegister.Save()).has_value(), "a save restores");
    mRegister = std::move(restored);
  }

  void ParseAnything()
  {
    auto text = mInput.ConsumeRandomLengthString(200);
    if (mInput.ConsumeBool()) {
      text = kHeader + "*,*,1,,,,,,,,\n" + text;
    }
    const auto table = weights_table::Parse(text);
    if (!table) {
      Require(!table.error().empty(), "a refused table has an error");
      return;
    }
    const auto again = weights_table::Parse(table->ToCsv());
    Require(again && *again == *table, "a written table reads the same");
    Require(again->Find(organisation_id("x"), work_class::Heavy).mWeight > 0,
            "everybody has a row");
  }

  FuzzedDataProvider mInput;
  weights_register mRegister;
  std::uint64_t mVersion = 1;
  std::string mCsv = weights_table::BuiltIn().ToCsv();
  std::map<std::string, first_answer> mFirst;
};

} // namespace
} // namespace oriolewalk::weights

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  oriolewalk::weights::weights_run(aData, aSize).Run();
  return 0;
}
