#include <cstdint>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "oriolewalk/flow/availability_budget.h"

namespace oriolewalk::flow {

namespace {

constexpr milliseconds kNotice{ 800 };

step_spec
Lasting(std::uint32_t aCount, std::uint32_t aMaxMisses)
{
  step_spec spec;
  spec.mCount = aCount;
  spec.mLongRunning = true;
  spec.mHasMaxMisses = true;
  spec.mMaxMisses = aMaxMisses;
  return spec;
}

// A step whose tasks are at work in their first attempts, two to a rack.
struct budget_scene
{
  explicit budget_scene(std::uint32_t aCount, std::uint32_t aMaxMisses)
    : mSpec(Lasting(aCount, aMaxMisses))
  {
    for (std::uint32_t index = 0; index < aCount; ++index) {
      mTasks.push_back(
        { index, 1, rack_id("r" + std::to_string(index / 2)), true });
    }
    Observe();
  }

  void Observe() { mBudget.Observe(mStep, mTasks, mNow); }
  // Observes the tasks at work after a while in which nothing changed.
  void Pass(milliseconds aTime)
  {
    mNow += aTime;
    Observe();
  }
  std::vector<std::uint32_t> Grant(std::vector<std::uint32_t> aCandidates)
  {
    return mBudget.Grant(mStep, mSpec, aCandidates, mNow);
  }

  step_spec mSpec;
  std::vector<observed_task> mTasks;
  step_ref mStep{ job_id("01"), 0, 0 };
  time_point mNow{ seconds(100) };
  availability_budget mBudget{ kNotice };
};

using tasks = std::vector<std::uint32_t>;

} // namespace

TEST_CASE("the next task is ended only when the last one's successor works")
{
  // Guards against one action after another, each within the limit by itself,
  // that together make a service unavailable.
  budget_scene scene(6, 3);
  CHECK(scene.Grant({ 0, 1, 2 }) == tasks{ 0 });
  // The worker still shows the run until the stop takes effect.
  scene.Pass(milliseconds(100));
  CHECK(scene.Grant({ 0, 1, 2 }).empty());
  scene.mTasks[0] = { 0, 0, {}, false };
  scene.Pass(milliseconds(100));
  CHECK(scene.Grant({ 1, 2 }).empty());
  // Its successor is placed, then at work.
  scene.mTasks[0] = { 0, 2, rack_id("r2"), false };
  scene.Pass(milliseconds(100));
  CHECK(scene.Grant({ 1, 2 }).empty());
  scene.mTasks[0].mIsAtWork = true;
  scene.Pass(milliseconds(100));
  CHECK(scene.Grant({ 1, 2 }) == tasks{ 1 });
}

TEST_CASE("a task away from work for the notice time uses up the budget")
{
  // Guards against ending a task while another one is down for a fault that the
  // scheduler didn't cause.
  budget_scene scene(4, 1);
  scene.mTasks[3].mIsAtWork = false;
  scene.Pass(kNotice - milliseconds(1));
  CHECK(scene.mBudget.Unavailable(scene.mStep, scene.mNow) == 0);
  scene.Pass(milliseconds(1));
  CHECK(scene.mBudget.Unavailable(scene.mStep, scene.mNow) == 1);
  CHECK(scene.Grant({ 0, 1, 2 }).empty());
  // That task itself may be ended: no other one is unavailable.
  CHECK(scene.Grant({ 3 }) == tasks{ 3 });
}

TEST_CASE("a task whose run is gone uses up the budget at once")
{
  // Guards against a second task that ends in the moment after a lease lapsed.
  budget_scene scene(4, 1);
  scene.mTasks[2] = { 2, 0, {}, false };
  scene.Pass(milliseconds(10));
  CHECK(scene.Grant({ 0, 1, 3 }).empty());
}

TEST_CASE("a step that may miss none keeps all its tasks")
{
  budget_scene scene(4, 0);
  CHECK(scene.Grant({ 0, 1, 2, 3 }).empty());
}

TEST_CASE("a step without a limit lets all candidates end")
{
  budget_scene scene(4, 0);
  scene.mSpec.mHasMaxMisses = false;
  CHECK(scene.Grant({ 0, 2 }) == tasks{ 0, 2 });
}

TEST_CASE("tasks are ended on racks with the fewest unavailable ones first")
{
  // Guards against taking away a service's tasks of one rack while another rack
  // fails by itself.
  budget_scene scene(6, 4);
  scene.mTasks[0].mIsAtWork = false;
  scene.Pass(kNotice);
  CHECK(scene.Grant({ 1, 2 }) == tasks{ 2 });
}

TEST_CASE("a new leader ends nothing before it has seen the tasks at work")
{
  // Guards against a leader that takes over in the middle of an upkeep and
  // counts a task as available that its predecessor has just ended.
  availability_budget budget(kNotice);
  const step_ref step{ job_id("01"), 0, 0 };
  const step_spec spec = Lasting(3, 1);
  const time_point now{ seconds(100) };
  const tasks candidates{ 0 };
  CHECK(budget.Grant(step, spec, candidates, now).empty());
  std::vector<observed_task> seen{ { 0, 1, rack_id("a"), true },
                                   { 1, 1, rack_id("b"), true } };
  budget.Observe(step, seen, now);
  CHECK(budget.Grant(step, spec, candidates, now).empty());
  seen.push_back({ 2, 4, rack_id("c"), true });
  budget.Observe(step, seen, now);
  CHECK(budget.Grant(step, spec, candidates, now) == candidates);
}

TEST_CASE("the budget forgets steps that have ended")
{
  budget_scene scene(2, 1);
  scene.mBudget.Retain({});
  CHECK(scene.Grant({ 0 }).empty());
}

} // namespace oriolewalk::flow
