#include "programs/oriolectl.h"

#include <array>
#include <span>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "oriolewalk/http/message.h"
#include "oriolewalk/settings/settings.h"

namespace oriolewalk::ctl {

namespace {

void
DescribeSubmit(settings::settings_parser& aParser, options& aOptions)
{
  aParser.Text("change-id",
               aOptions.mChangeId,
               "TEXT",
               "names the job for good: the same again is the same job; none: "
               "a fresh one, which is printed");
  aParser.Text("organisation", aOptions.mOrganisation, "ID", "who pays");
  aParser.Choice("class",
                 aOptions.mClass,
                 { "urgent", "normal", "heavy" },
                 "its place in the order");
  aParser.Choice("kind",
                 aOptions.mKind,
                 { "batch", "service", "gang" },
                 "tasks that end, tasks that stay up, or tasks that must all "
                 "start together");
  aParser.Number("tasks", aOptions.mTasks, { 1, 100'000 }, "tasks", "in all");
  aParser.Number("milli-processors",
                 aOptions.mMilliProcessors,
                 { 1, 1'000'000 },
                 "1/1000 processor",
                 "for each task");
  aParser.Number(
    "memory-mb", aOptions.mMemoryMb, { 1, 100'000'000 }, "MB", "for each task");
  aParser.Number("accelerators",
                 aOptions.mAccelerators,
                 { 0, 1000 },
                 "accelerators",
                 "for each task");
  aParser.Duration(
    "expected-ms", aOptions.mExpected, {}, "how long a task runs");
  aParser.Switch("repeatable",
                 aOptions.mRepeatable,
                 "a task may run again after a run that surely ended");
  aParser.Switch("checkpointable",
                 aOptions.mCheckpointable,
                 "a task can be checkpointed and go on elsewhere");
  aParser.Text("family",
               aOptions.mFamily,
               "NAME",
               "jobs of one family share what is learnt of their sizes");
}

int
Submit(options& aOptions)
{
  boost::json::object job{
    { "organisation", aOptions.mOrganisation },
    { "class", aOptions.mClass },
    { "kind", aOptions.mKind },
    { "tasks", aOptions.mTasks },
    { "milli_processors", aOptions.mMilliProcessors },
    { "memory_mb", aOptions.mMemoryMb },
    { "accelerators", aOptions.mAccelerators },
    { "expected_ms", aOptions.mExpected.count() },
    { "repeatable", aOptions.mRepeatable },
    { "checkpointable", aOptions.mCheckpointable },
    { "family", aOptions.mFamily },
  };
  const std::string id = ChangeId(aOptions);
  return Show(aOptions,
              { .mMethod = "POST",
                .mTarget = "/v1/jobs",
                .mHeaders = { { "Content-Type", "application/json" },
                              { "Idempotency-Key", id } },
                .mBody = boost::json::serialize(job) },
              resend::Safe,
              "repeat the command with this --change-id: it is one job");
}

int
List(options& aOptions)
{
  return Show(aOptions, { .mTarget = "/v1/jobs" }, resend::Reads, "");
}

int
Status(options& aOptions)
{
  return Show(aOptions,
              { .mTarget = "/v1/jobs/" + aOptions.mOperands.front() },
              resend::Reads,
              "");
}

int
Explain(options& aOptions)
{
  return Show(
    aOptions,
    { .mTarget = "/v1/jobs/" + aOptions.mOperands.front() + "/explain" },
    resend::Reads,
    "");
}

int
Cancel(options& aOptions)
{
  return Show(aOptions,
              { .mMethod = "DELETE",
                .mTarget = "/v1/jobs/" + aOptions.mOperands.front() },
              resend::Safe,
              "repeat the command, or ask with: oriolectl job status");
}

} // namespace

std::span<const command>
JobCommands()
{
  static const std::array sCommands{
    command{ "job submit", "", 0, 0, "submits a job", DescribeSubmit, Submit },
    command{ "job list", "", 0, 0, "all jobs", nullptr, List },
    command{ "job status",
             "ID",
             1,
             1,
             "a job's state, and where its tasks run",
             nullptr,
             Status },
    command{ "job cancel", "ID", 1, 1, "cancels a job", nullptr, Cancel },
    command{ "job explain",
             "ID",
             1,
             1,
             "why a job waits, was refused or was moved",
             nullptr,
             Explain },
  };
  return sCommands;
}

} // namespace oriolewalk::ctl
