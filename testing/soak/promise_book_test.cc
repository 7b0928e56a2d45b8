#include <catch2/catch.hpp>

#include "testing/soak/promise_book.h"

namespace oriolewalk::soak {

namespace {

const job_id kJob("00000000000000aa");
const time_point kBegin{ seconds(100) };

flow::run_ref
Run(std::uint32_t aStep, std::uint32_t aIndex, flow::attempt_t aAttempt = 1)
{
  return { { kJob, 0, aStep, aIndex }, aAttempt };
}

// A job of two steps of one task each, accepted.
promise_book
Accepted()
{
  promise_book book;
  book.Sent(kJob, { 1, 1 });
  book.Accepted(kJob, kBegin);
  return book;
}

} // namespace

TEST_CASE("a job that is done in order breaks nothing and is owed no more")
{
  promise_book book = Accepted();
  CHECK(book.Owed().size() == 1);
  book.Started(Run(0, 0), kBegin);
  book.Ended(Run(0, 0), flow::run_outcome::Done);
  book.Started(Run(1, 0), kBegin);
  book.Ended(Run(1, 0), flow::run_outcome::Done);
  book.Shown(kJob, "done", kBegin);
  CHECK(book.Owed().empty());
  CHECK(book.DoneCount() == 1);
  CHECK(book.Broken().empty());
}

TEST_CASE("each broken promise of a job is found")
{
  promise_book book = Accepted();
  SECTION("a step before the one it waits for")
  {
    book.Started(Run(1, 0), kBegin);
  }
  SECTION("a task that the job doesn't have")
  {
    book.Started(Run(0, 7), kBegin);
  }
  SECTION("a job that nobody sent")
  {
    book.Started({ { job_id("00000000000000bb"), 0, 0, 0 }, 1 }, kBegin);
  }
  SECTION("a refused job that starts")
  {
    book.Refused(kJob);
    book.Started(Run(0, 0), kBegin);
  }
  SECTION("a start long after the cancelling")
  {
    book.CancelSent(kJob);
    book.CancelAcked(kJob, kBegin);
    book.Started(Run(0, 0), kBegin + seconds(10));
  }
  SECTION("done before it is")
  {
    book.Shown(kJob, "done", kBegin);
  }
  SECTION("gone though it was accepted")
  {
    book.Shown(kJob, "", kBegin + seconds(4));
  }
  SECTION("cancelled though nobody asked")
  {
    book.Shown(kJob, "cancelled", kBegin);
  }
  SECTION("failed without a failure")
  {
    book.Shown(kJob, "failed", kBegin);
  }
  CHECK(book.Broken().size() == 1);
}

TEST_CASE("what may happen is no broken promise")
{
  promise_book book = Accepted();
  // Not visible everywhere yet, and a start that was on its way.
  book.Shown(kJob, "", kBegin + seconds(1));
  book.CancelSent(kJob);
  book.CancelAcked(kJob, kBegin);
  book.Started(Run(0, 0), kBegin + seconds(1));
  book.Shown(kJob, "cancelled", kBegin + seconds(1));
  CHECK(book.Broken().empty());
}

TEST_CASE("a table older than one that was acknowledged long ago is found")
{
  promise_book book;
  book.TableAcked(3, kBegin);
  book.TableAcked(5, kBegin + seconds(10));
  book.TableShown(3, kBegin + seconds(11)); // 5 need not be in force yet
  CHECK(book.Broken().empty());
  book.TableShown(3, kBegin + seconds(13));
  CHECK(book.Broken().size() == 1);
  book.TableShown(2, kBegin + seconds(5));
  CHECK(book.Broken().size() == 2);
  CHECK(book.NewestTable() == 5);
}

} // namespace oriolewalk::soak
