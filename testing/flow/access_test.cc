#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "testing/flow/fake_group.h"
#include "testing/flow/fixtures.h"

// Tests of callers' keys at the leader.

namespace oriolewalk::flow {

namespace {

using testing::Organisation;
using testing::Queue;
using testing::Step;

constexpr const char* kJob = "00000000000000aa";

struct access_fixture
{
  fake_group mGroup{ 3, 3, 1 };
  std::int64_t mVersion = 1;

  access_fixture()
  {
    mGroup.AddWorker("w");
    mGroup.Run(seconds(2));
  }

  void Put(std::vector<organisations::organisation_row> aRows)
  {
    queue_table table;
    table.mVersion = ++mVersion;
    table.mQueues = { Queue("fees", 0), Queue("open", 1) };
    table.mServices = { { service_id("pay"), false, false } };
    const table_change_with_access change{ { table, "source" },
                                           { std::move(aRows), { "open" } } };
    REQUIRE(mGroup.SendRequest(change));
  }

  std::optional<job_reply> Reply(const flow_request& aRequest)
  {
    const auto answer = mGroup.SendRequest(aRequest);
    const auto* job = answer ? std::get_if<job_answer>(&*answer) : nullptr;
    return job == nullptr ? std::nullopt : std::optional(job->mReply);
  }

  static caller_path Path(const std::string& aQueue, const std::string& aId)
  {
    return { "jobs.example", "/" + aQueue + "/" + aId };
  }

  std::optional<job_reply> Submit(const std::string& aKey,
                                  const std::string& aId = kJob,
                                  const std::string& aQueue = "fees")
  {
    return Reply(keyed_request{
      aKey,
      job_submission{ Path(aQueue, aId), { "", { Step(1, 1'000) }, {} } } });
  }
  std::optional<job_reply> Read(const std::string& aKey,
                                const std::string& aId = kJob,
                                const std::string& aQueue = "fees")
  {
    return Reply(keyed_request{ aKey, job_query{ Path(aQueue, aId) } });
  }
  std::optional<job_reply> Cancel(const std::string& aKey,
                                  const std::string& aQueue = "fees")
  {
    return Reply(keyed_request{ aKey, job_cancellation{ Path(aQueue, kJob) } });
  }
};

} // namespace

TEST_CASE("a call needs a key of an organisation unless its queue is public")
{
  access_fixture fixture;
  fixture.Put({ Organisation("a", 0), Organisation("b", 0) });
  CHECK(fixture.Submit("unknown") == job_reply::Unauthorized);
  CHECK(fixture.Submit("") == job_reply::Unauthorized);
  CHECK(fixture.Reply(job_submission{ access_fixture::Path("fees", kJob),
                                      { "", { Step(1, 1'000) }, {} } }) ==
        job_reply::Unauthorized);
  CHECK(fixture.Read("unknown") == job_reply::Unauthorized);
  CHECK(fixture.Cancel("unknown") == job_reply::Unauthorized);
  CHECK(fixture.Submit("a-key") == job_reply::Accepted);
  CHECK(fixture.Read("a-key") == job_reply::State);
  CHECK(fixture.Read("a-key", "") == job_reply::Pending);
  // A public queue needs none, and ignores one that is wrong.
  constexpr const char* kOther = "00000000000000bb";
  CHECK(fixture.Reply(job_submission{ access_fixture::Path("open", kOther),
                                      { "", { Step(1, 1'000) }, {} } }) ==
        job_reply::Accepted);
  CHECK(fixture.Read("unknown", kOther, "open") == job_reply::State);
}

TEST_CASE("another organisation learns no more than of an unknown job")
{
  access_fixture fixture;
  fixture.Put({ Organisation("a", 0), Organisation("b", 0) });
  REQUIRE(fixture.Submit("a-key") == job_reply::Accepted);
  CHECK(fixture.Read("b-key") == job_reply::NotFound);
  CHECK(fixture.Cancel("b-key") == job_reply::NotFound);
  CHECK(fixture.Read("b-key", kJob, "open") == job_reply::NotFound);
  CHECK(fixture.Cancel("", "open") == job_reply::NotFound);
  CHECK(fixture.Read("b-key", kJob, "gone") == job_reply::NoQueue);
  // Its answer to a submission isn't that of the first organisation's job.
  CHECK(fixture.Submit("b-key") == job_reply::Conflict);
  CHECK(fixture.Submit("", kJob, "open") == job_reply::Conflict);
  CHECK(fixture.Submit("a-key") == job_reply::Accepted);
}

TEST_CASE("a key works from its table to the one that takes it away")
{
  access_fixture fixture;
  fixture.Put({ Organisation("a", 0) });
  REQUIRE(fixture.Submit("a-key") == job_reply::Accepted);
  organisations::organisation_row renewed = Organisation("a", 0);
  renewed.mKeys = { "second" };
  organisations::organisation_row taker = Organisation("b", 0);
  taker.mKeys = { "a-key" };
  fixture.Put({ renewed, taker });
  // The key is another organisation's now.
  CHECK(fixture.Read("a-key") == job_reply::NotFound);
  CHECK(fixture.Read("second") == job_reply::State);
  fixture.Put({ renewed });
  CHECK(fixture.Read("a-key") == job_reply::Unauthorized);
}

TEST_CASE("no key stands in the log or in an error")
{
  access_fixture fixture;
  fixture.Put({ Organisation("a", 1'000) });
  REQUIRE(fixture.Submit("a-key") == job_reply::Accepted);
  fixture.Submit("a-key", "00000000000000bb");
  fixture.Submit("wrong-key");
  fixture.Read("wrong-key");
  fixture.Cancel("a-key");
  fixture.mGroup.Run(seconds(3));
  fixture.mGroup.Kill(*fixture.mGroup.Leader());
  fixture.mGroup.Run(seconds(5));
  fixture.Read("a-key");
  const std::string& log = fixture.mGroup.Log();
  CHECK(log.find("organisation=a") != std::string::npos);
  CHECK(log.find("-key") == std::string::npos);
}

TEST_CASE("a leader that was replaced accepts no key by an old table")
{
  // Guards against a leader that is cut off and doesn't know that another one
  // has taken the key away.
  access_fixture fixture;
  fixture.Put({ Organisation("a", 0) });
  const std::size_t old = *fixture.mGroup.Leader();
  fixture.mGroup.Cut(old, true);
  REQUIRE(fixture.mGroup.RunUntil(
    [&]() { return fixture.mGroup.Leader().has_value(); }, seconds(10)));
  REQUIRE(*fixture.mGroup.Leader() != old);
  fixture.Put({ Organisation("b", 0) });
  fixture.mGroup.Cut(old, false);
  flow_core& core = fixture.mGroup.Core(old);
  const instant now{ fixture.mGroup.Now(), 0 };
  constexpr call_number kCall = 1'000'000;
  core.HandleRequest(
    kCall,
    keyed_request{ "a-key", job_query{ access_fixture::Path("fees", kJob) } },
    now);
  const flow_effects out = core.TakeEffects(now);
  const auto reply = std::ranges::find(out.mReplies, kCall, &flow_reply::mCall);
  REQUIRE(reply != out.mReplies.end());
  REQUIRE(!reply->mAnswer);
  CHECK(reply->mAnswer.error().mCode == error_code::NotLeader);
}

} // namespace oriolewalk::flow
