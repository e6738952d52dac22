#include "marjoramrail/work.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant Start(seconds(100));

admission_settings warm(std::uint32_t Slots) {
  admission_settings Settings;
  Settings.Slots = Slots;
  Settings.ColdStart = duration::zero();
  Settings.WaitBound = milliseconds(250);
  return Settings;
}

work_request requestOf(std::uint64_t Id, std::uint64_t Caller = 0) {
  work_request Request;
  Request.Id = request_id{Id};
  Request.Caller = Caller;
  return Request;
}

/// Fills all slots and returns the next free request number.
std::uint64_t fill(admission &Work, std::uint32_t Slots) {
  for (std::uint64_t Id = 1; Id <= Slots; ++Id)
    CHECK(Work.offer(requestOf(Id), Start).Verdict == verdict::Run);
  return Slots + 1;
}

} // namespace

TEST_CASE(
    "admission refuses a request at once if it cannot meet its deadline") {
  // The caller would have given up before the answer, so running the request
  // would only take the slot from others.
  admission Work(warm(1), nullptr, 1);
  work_request Request = requestOf(1);
  Request.Estimate = milliseconds(50);
  Request.Deadline = Start + milliseconds(40);

  const decision Got = Work.offer(Request, Start);

  CHECK(Got.Verdict == verdict::Refuse);
  CHECK(Got.Reason == refusal::DeadlineTooClose);
  CHECK(Got.RetryAfter > duration::zero());
}

TEST_CASE("admission bounds its queue in time") {
  admission Work(warm(1), nullptr, 1);
  std::uint64_t Id = fill(Work, 1);
  int Waiting = 0;

  while (Work.offer(requestOf(Id, Id), Start).Verdict == verdict::Wait) {
    ++Id;
    ++Waiting;
  }

  // 250 ms at 20 ms each.
  CHECK(Waiting >= 10);
  CHECK(Waiting <= 13);
}

TEST_CASE("admission gives a freed slot to the next in the queue") {
  admission Work(warm(1), nullptr, 1);
  fill(Work, 1);
  CHECK(Work.offer(requestOf(2), Start).Verdict == verdict::Wait);

  Work.finished(request_id{1}, {.Elapsed = milliseconds(20)}, Start);
  const auto Decisions = Work.tick(Start);

  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Id == request_id{2});
  CHECK(Decisions[0].Verdict == verdict::Run);
}

TEST_CASE("admission frees the slot of a cancelled request at once") {
  admission Work(warm(1), nullptr, 1);
  fill(Work, 1);

  Work.cancelled(request_id{1}, Start);

  CHECK(Work.offer(requestOf(2), Start).Verdict == verdict::Run);
}

TEST_CASE("admission removes a cancelled request from the queue") {
  admission Work(warm(1), nullptr, 1);
  fill(Work, 1);
  Work.offer(requestOf(2), Start);

  Work.cancelled(request_id{2}, Start);
  Work.finished(request_id{1}, {.Elapsed = milliseconds(20)}, Start);

  CHECK(Work.tick(Start).empty());
  CHECK(Work.waiting() == 0);
}

TEST_CASE("admission lets a light caller pass a heavy one") {
  admission Work(warm(1), nullptr, 1);
  fill(Work, 1);
  for (std::uint64_t Id = 2; Id <= 6; ++Id)
    Work.offer(requestOf(Id, /*Caller=*/7), Start);
  Work.offer(requestOf(7, /*Caller=*/8), Start);

  Work.finished(request_id{1}, {.Elapsed = milliseconds(20)}, Start);
  Work.tick(Start);
  Work.finished(request_id{2}, {.Elapsed = milliseconds(20)}, Start);
  const auto Decisions = Work.tick(Start);

  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Id == request_id{7});
}

TEST_CASE("admission reserves a slot for short work") {
  admission Work(warm(2), nullptr, 1);
  work_request First = requestOf(1);
  work_request Second = requestOf(2);
  First.Kind = Second.Kind = work_kind::Long;

  CHECK(Work.offer(First, Start).Verdict == verdict::Run);
  CHECK(Work.offer(Second, Start).Verdict != verdict::Run);
  CHECK(Work.offer(requestOf(3), Start).Verdict == verdict::Run);
}

TEST_CASE("admission counts streams and gives them no slot") {
  admission_settings Settings = warm(1);
  Settings.MaxStreams = 2;
  admission Work(Settings, nullptr, 1);
  work_request Stream = requestOf(1);
  Stream.Kind = work_kind::Stream;
  Work.offer(Stream, Start);
  Stream.Id = request_id{2};
  Work.offer(Stream, Start);
  Stream.Id = request_id{3};

  const decision Third = Work.offer(Stream, Start);

  CHECK(Work.streams() == 2);
  CHECK(Third.Reason == refusal::TooManyStreams);
  CHECK(Work.offer(requestOf(4), Start).Verdict == verdict::Run);
}

TEST_CASE("admission runs nothing new once it drains") {
  // The target's VM is about to stop; a request started now would be cut off.
  admission Work(warm(1), nullptr, 1);
  fill(Work, 1);
  Work.offer(requestOf(2), Start);

  Work.drain(Start);
  const decision Got = Work.offer(requestOf(3), Start);
  Work.finished(request_id{1}, {.Elapsed = milliseconds(20)}, Start);
  const auto Accepted = Work.tick(Start);

  CHECK(Got.Reason == refusal::Draining);
  REQUIRE(Accepted.size() == 1);
  CHECK(Accepted[0].Verdict == verdict::Run);
}

TEST_CASE("admission runs new work after a drain was undone") {
  // An operator drains the wrong host and undoes it. If the host went on
  // refusing, it would be out of service until its agent was restarted.
  admission Work(warm(1), nullptr, 1);
  Work.drain(Start);

  Work.resume();
  const decision Got = Work.offer(requestOf(1), Start);

  CHECK(Got.Verdict != verdict::Refuse);
}

TEST_CASE("admission refuses a relayed request instead of queueing it") {
  admission Work(
      warm(1),
      [](const work_request &, relay_reason, const agent_load &, instant) {
        return std::optional<host_id>();
      },
      1);
  fill(Work, 1);
  work_request Relayed = requestOf(2);
  Relayed.Hops = 1;
  Relayed.RelayedBy = host_id{5};

  CHECK(Work.offer(Relayed, Start).Verdict == verdict::Refuse);
}

TEST_CASE("admission runs fewer at a time after the target has shed") {
  // The target answered 503 because it has less capacity than declared. Sending
  // more requests would cost callers a round trip for each refusal.
  admission Work(warm(4), nullptr, 1);
  fill(Work, 4);

  Work.finished(request_id{1}, {.Outcome = work_outcome::Shed}, Start);

  CHECK(Work.limit(Start) == 3);
}

TEST_CASE("admission pauses when the target sheds its only request") {
  admission Work(warm(1), nullptr, 1);
  fill(Work, 1);

  Work.finished(
      request_id{1},
      {.Outcome = work_outcome::Shed, .RetryAfter = milliseconds(800)}, Start);
  const decision Got = Work.offer(requestOf(2), Start);

  CHECK(Got.Reason == refusal::TargetShed);
  CHECK(Got.RetryAfter >= milliseconds(800));
  CHECK(Work.limit(Start + milliseconds(801)) == 1);
}

TEST_CASE("admission starts a cold target with one slot") {
  admission Work(admission_settings(), nullptr, 1);

  CHECK(Work.limit(Start) == 1);
  CHECK(Work.limit(Start + seconds(5)) == 2);
  CHECK(Work.limit(Start + seconds(10)) == 4);
}

TEST_CASE("admission stops queueing for a target that hangs") {
  // By its history the target is fast, so the queue seems short, but all
  // waiting requests would be refused late.
  admission Work(warm(1), nullptr, 1);
  fill(Work, 1);

  const instant Later = Start + milliseconds(400);

  CHECK(Work.offer(requestOf(2), Later).Verdict == verdict::Refuse);
}
