#include "marjoramrail/work.h"

#include <doctest/doctest.h>

#include <vector>

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

TEST_CASE(
    "admission gives a waiting priority its turns among urgent requests") {
  // A continuous overload of urgent requests would starve the others.
  constexpr std::size_t Interval = 16;
  constexpr std::size_t Turns = 10;
  admission_settings Settings = settings(1);
  Settings.PriorityTurnInterval = Interval;
  admission Work(Settings, nullptr, 1);
  Work.offer(committed(1, 0), Start);
  std::uint64_t Id = 1;
  while (Id < 100)
    Work.offer(committed(++Id, 0), Start);
  const std::uint64_t FirstLow = Id + 1;
  const std::uint64_t LastLow = Id + Turns;
  while (Id < LastLow)
    Work.offer(committed(++Id, 3), Start);

  std::uint64_t Running = 1;
  std::uint64_t Low = FirstLow;
  for (std::size_t Freed = 1; Freed <= Interval * Turns; ++Freed) {
    Work.offer(committed(++Id, 0), Start);
    Running = next(Work, Running, Start);
    const bool IsLow = Running >= FirstLow && Running <= LastLow;
    CAPTURE(Freed);
    // No more slots than the turns either: they are taken from urgent requests.
    REQUIRE(IsLow == (Freed % Interval == 0));
    if (IsLow)
      CHECK(Running == Low++);
  }
}

TEST_CASE("admission gives turns to all less urgent priorities that wait") {
  // With turns for one priority only, the others would starve.
  admission_settings Settings = settings(1);
  Settings.PriorityTurnInterval = 4;
  admission Work(Settings, nullptr, 1);
  std::uint64_t Id = 0;
  std::vector<std::uint8_t> Priorities = {0};
  const auto Offer = [&](std::uint8_t Priority) {
    Work.offer(committed(++Id, Priority), Start);
    Priorities.push_back(Priority);
  };
  for (int Each = 0; Each < 100; ++Each)
    for (const std::uint8_t Priority : {0, 1, 3})
      Offer(Priority);

  std::vector<std::uint8_t> Served;
  std::uint64_t Running = 1;
  for (int Freed = 1; Freed <= 24; ++Freed) {
    Running = next(Work, Running, Start);
    if (Freed % 4 == 0)
      Served.push_back(Priorities[Running]);
    else
      CHECK(Priorities[Running] == 0);
  }

  CHECK(Served == std::vector<std::uint8_t>{3, 1, 3, 1, 3, 1});
}

TEST_CASE("admission keeps the order of a single priority at its turns") {
  // If turns chose by age, slots of an overloaded priority would go to late
  // requests while others could still be answered in time.
  const auto OrderWith = [](std::size_t Interval) {
    admission_settings Settings = settings(1);
    Settings.PriorityTurnInterval = Interval;
    admission Work(Settings, nullptr, 1);
    std::vector<std::uint64_t> Order;
    std::uint64_t Id = 0;
    instant Now = Start;
    const auto Offer = [&] {
      work_request Request = committed(++Id, 3);
      Request.Caller = Id % 7;
      Request.Aim = Now + milliseconds(100);
      Request.Deadline = Now + seconds(100);
      Work.offer(Request, Now);
    };
    Offer();
    std::uint64_t Running = 1;
    for (int Freed = 0; Freed < 200; ++Freed) {
      Now += milliseconds(10);
      Offer();
      Offer();
      Running = next(Work, Running, Now);
      Order.push_back(Running);
    }
    return Order;
  };

  CHECK(OrderWith(16) == OrderWith(0));
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
