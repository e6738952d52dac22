#include "marjoramrail/work.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant Start(seconds(100));

admission_settings settings(std::uint32_t Slots) {
  admission_settings Settings;
  Settings.Slots = Slots;
  Settings.ColdStart = duration::zero();
  Settings.LowerLimit = false;
  return Settings;
}

work_request committed(std::uint64_t Id, std::uint8_t Priority = 1) {
  work_request Request;
  Request.Id = request_id{Id};
  Request.Caller = Id;
  Request.Priority = Priority;
  Request.Committed = true;
  return Request;
}

/// Ends \p Id and returns the request that gets its slot.
std::uint64_t next(admission &Work, std::uint64_t Id, instant Now) {
  Work.finished(request_id{Id}, {.Elapsed = milliseconds(20)}, Now);
  const auto Decisions = Work.tick(Now);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Verdict == verdict::Run);
  return std::uint64_t(Decisions[0].Id);
}

} // namespace

TEST_CASE("admission runs the more urgent request first") {
  // An urgent request would wait behind all that came before it.
  admission Work(settings(1), nullptr, 1);
  Work.offer(committed(1), Start);
  Work.offer(committed(2, 3), Start);
  Work.offer(committed(3, 0), Start);

  CHECK(next(Work, 1, Start) == 3);
}

TEST_CASE("admission runs late requests last, by deadline") {
  // A slot spent on a late request can make another one late.
  admission Work(settings(1), nullptr, 1);
  Work.offer(committed(1), Start);
  work_request Later = committed(2);
  Later.Aim = Start + milliseconds(100);
  Later.Deadline = Start + seconds(3);
  Work.offer(Later, Start);
  work_request Sooner = committed(3);
  Sooner.Aim = Start + milliseconds(100);
  Sooner.Deadline = Start + seconds(2);
  Work.offer(Sooner, Start);
  const instant Now = Start + milliseconds(200);
  work_request InTime = committed(4);
  InTime.Aim = Now + milliseconds(100);
  Work.offer(InTime, Now);

  CHECK(next(Work, 1, Now) == 4);
  CHECK(next(Work, 4, Now) == 3);
  CHECK(next(Work, 3, Now) == 2);
}

TEST_CASE("admission runs the oldest request at every sixteenth freed slot") {
  // A continuous overload of urgent requests would starve the others.
  constexpr std::uint64_t Older = 3;
  admission_settings Settings = settings(1);
  Settings.OldestFirstInterval = 16;
  admission Work(Settings, nullptr, 1);
  Work.offer(committed(1, 0), Start);
  std::uint64_t Id = 1;
  for (std::uint64_t Each = 0; Each < Older; ++Each)
    Work.offer(committed(++Id, 0), Start);
  const std::uint64_t Lowest = ++Id;
  Work.offer(committed(Lowest, 3), Start);

  std::uint64_t Running = 1;
  std::size_t Freed = 0;
  while (Running != Lowest && Freed < 1000) {
    Work.offer(committed(++Id, 0), Start);
    Running = next(Work, Running, Start);
    ++Freed;
  }

  CHECK(Freed <= 16 * (Older + 1));
}

TEST_CASE("admission never refuses committed requests, not even in a drain") {
  // The flow is open at this target: a refusal would be a reset.
  admission_settings Settings = settings(1);
  Settings.MaxWaiting = 4;
  admission Work(Settings, nullptr, 1);
  Work.drain(Start);

  CHECK(Work.offer(committed(1), Start).Verdict == verdict::Run);
  for (std::uint64_t Id = 2; Id < 100; ++Id)
    CHECK(Work.offer(committed(Id), Start).Verdict == verdict::Wait);
  CHECK(Work.tick(Start + seconds(60)).empty());
}

TEST_CASE("admission runs a committed request when its deadline passes") {
  // Its caller still waits, and the target may answer it yet.
  admission Work(settings(1), nullptr, 1);
  Work.offer(committed(1), Start);
  work_request Request = committed(2);
  Request.Deadline = Start + milliseconds(50);
  Work.offer(Request, Start);

  CHECK(Work.nextTick() == Request.Deadline);
  CHECK(Work.tick(Start + milliseconds(49)).empty());
  const auto Decisions = Work.tick(Start + milliseconds(50));

  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Verdict == verdict::Run);
  CHECK(Work.nextTick() == std::nullopt);
}

TEST_CASE("admission does not wait for a request beyond the stall bound") {
  // A target that never answers one request would block all others.
  admission_settings Settings = settings(1);
  Settings.StallBound = seconds(2);
  admission Work(Settings, nullptr, 1);
  Work.offer(committed(1), Start);
  CHECK(Work.freeSlots(Start + seconds(2)) == 1);
  Work.offer(committed(2), Start);

  REQUIRE(Work.nextTick() == Start + seconds(2));
  const auto Decisions = Work.tick(Start + seconds(2));

  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].Id == request_id{2});
  CHECK(Work.running() == 2);
}

TEST_CASE("admission applies a stated number of slots at once") {
  // A target that restarts with more slots would be idle until trials of the
  // limit have reached them.
  admission Work(settings(1), nullptr, 1);
  Work.setSlots(8);

  CHECK(Work.limit(Start) == 8);
  CHECK(Work.freeSlots(Start) == 8);
}

TEST_CASE("admission keeps the declared slots when the target sheds") {
  // A 503 of one request must not take slots from the others.
  admission Work(settings(2), nullptr, 1);
  Work.offer(committed(1), Start);
  Work.offer(committed(2), Start);
  Work.finished(request_id{1}, {.Outcome = work_outcome::Shed}, Start);
  Work.finished(request_id{2}, {.Outcome = work_outcome::Shed}, Start);

  CHECK(Work.limit(Start) == 2);
}

TEST_CASE("admission sends the pipeline beyond the slots and reports none") {
  // Reported as free, the pipeline would attract flows to a busy target.
  admission_settings Settings = settings(2);
  Settings.Pipeline = 1;
  admission Work(Settings, nullptr, 1);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    CHECK(Work.offer(committed(Id), Start).Verdict == verdict::Run);

  CHECK(Work.freeSlots(Start) == 0);
  CHECK(Work.offer(committed(4), Start).Verdict == verdict::Wait);
}

TEST_CASE("admission expects a wait by priority") {
  // With one figure for all, urgent requests would be rejected because of less
  // urgent ones that run after them.
  admission Work(settings(1), nullptr, 1);
  CHECK(Work.expectedWait(3, Start) == duration::zero());
  Work.offer(committed(1), Start);
  Work.offer(committed(2, 3), Start);

  CHECK(Work.waiting(3) == 1);
  CHECK(Work.waiting(0) == 0);
  CHECK(Work.expectedWait(0, Start) == milliseconds(20));
  CHECK(Work.expectedWait(3, Start) == milliseconds(40));
}
