#include "forward/request_scheduler.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace std::chrono_literals;

namespace {

/// A target of two slots; flows are told apart by the caller's port.
struct scheduler_fixture {
  using verdict = request_scheduler::verdict;

  request_scheduler Scheduler{1};
  instant Now{10s};

  scheduler_fixture() { Scheduler.setSlots(2); }

  static flow_key flow(std::uint16_t Port) {
    return {{0x64400000U + Port, Port}, {0x0a00ff01, 443}};
  }

  static service_level level(std::uint8_t Priority) {
    return {.Priority = Priority, .TimeLimit = 100s};
  }

  verdict request(std::uint16_t Port, std::uint8_t Priority = 1) {
    return Scheduler.onRequest(flow(Port), level(Priority), Now);
  }

  /// Ends the request on \p Port and returns the ports that are delivered.
  std::vector<std::uint16_t> answer(std::uint16_t Port, bool Failed = false) {
    Scheduler.onAnswer(flow(Port), Failed, Now);
    return ready();
  }

  std::vector<std::uint16_t> ready() {
    std::vector<std::uint16_t> Ports;
    for (const auto &Request : Scheduler.takeReady(Now))
      Ports.push_back(Request.Flow.Caller.Port);
    return Ports;
  }

  /// Lets the scheduler measure a service time of \p Time.
  void learn(duration Time) {
    request(9);
    Now += Time;
    answer(9);
  }

  void fill() {
    for (const std::uint16_t Port : {1, 2, 3})
      CHECK(request(Port) == verdict::Deliver);
  }
};

using ports = std::vector<std::uint16_t>;

} // namespace

TEST_CASE_FIXTURE(scheduler_fixture,
                  "one request more than slots is delivered") {
  // A freed slot would otherwise be idle until the agent has seen the answer
  // and delivered the next request.
  fill();
  CHECK(request(4) == verdict::Hold);
  CHECK(Scheduler.waiting() == 1);
  CHECK(answer(1) == ports{4});
  CHECK(Scheduler.waiting() == 0);
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "the most urgent request is delivered first") {
  fill();
  request(10, 200);
  request(11, 2);
  request(12, 0);
  request(13, 1);
  CHECK(answer(1) == ports{12});
  CHECK(answer(2) == ports{13});
  CHECK(answer(3) == ports{11});
  CHECK(answer(12) == ports{10});
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "a continuous overload of urgent requests starves nobody") {
  // Every 16th freed slot goes to the oldest request.
  fill();
  request(500, 200);
  ports Running{1, 2, 3};
  std::uint16_t Next = 1000;
  int Freed = 0;
  bool HasRun = false;
  for (; Freed < 16 && !HasRun; ++Freed) {
    request(Next++, 0);
    const std::uint16_t Ended = Running.front();
    Running.erase(Running.begin());
    for (const std::uint16_t Port : answer(Ended)) {
      Running.push_back(Port);
      HasRun |= Port == 500;
    }
  }
  CHECK(HasRun);
}

TEST_CASE_FIXTURE(scheduler_fixture, "a request that ends frees its slot") {
  fill();
  request(4);
  Scheduler.onEnd(flow(2), Now);
  CHECK(ready() == ports{4});
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "a waiting request that ends is not delivered") {
  fill();
  request(4);
  request(5);
  Scheduler.onEnd(flow(4), Now);
  CHECK(answer(1) == ports{5});
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "a slot without an answer is free after 500 ms") {
  fill();
  request(4);
  Now += 499ms;
  CHECK(ready().empty());
  REQUIRE(Scheduler.nextChange());
  CHECK(*Scheduler.nextChange() <= Now + 1ms);
  Now += 1ms;
  CHECK(ready() == ports{4});
}

TEST_CASE_FIXTURE(scheduler_fixture,
                  "nothing is left after the target stopped") {
  fill();
  request(4);
  Scheduler.clear(Now);
  CHECK(Scheduler.waiting() == 0);
  CHECK(ready().empty());
  fill();
}

TEST_CASE_FIXTURE(scheduler_fixture, "failing answers teach no service time") {
  // A target that fails at once would otherwise look fast.
  learn(40ms);
  CHECK(Scheduler.serviceTime() == 40ms);
  for (int I = 0; I < 100; ++I) {
    request(1);
    Now += 1ms;
    answer(1, /*Failed=*/true);
  }
  CHECK(Scheduler.serviceTime() == 40ms);
}

TEST_CASE_FIXTURE(
    scheduler_fixture,
    "a request that queued at the target teaches no service time") {
  // Otherwise a busy target would look slow.
  learn(40ms);
  fill();
  Now += 80ms;
  answer(3);
  CHECK(Scheduler.serviceTime() == 40ms);
}

TEST_CASE_FIXTURE(scheduler_fixture, "time at the agent is no service time") {
  learn(40ms);
  fill();
  request(4);
  Now += 40ms;
  answer(1);
  answer(2);
  answer(3);
  Now += 40ms;
  answer(4);
  CHECK(Scheduler.serviceTime() == 40ms);
}

TEST_CASE_FIXTURE(scheduler_fixture, "a new flow reserves a slot for 50 ms") {
  // Without a reservation, all flows that open within a round trip would find
  // the same slot free.
  for (const std::uint16_t Port : {1, 2})
    Scheduler.reserveSlot(flow(Port), Now);
  CHECK(Scheduler.capacity(Now).FreeSlots == 0);
  Now += 49ms;
  CHECK(Scheduler.capacity(Now).FreeSlots == 0);
  Now += 1ms;
  CHECK(Scheduler.capacity(Now).FreeSlots == 2);
}

TEST_CASE_FIXTURE(scheduler_fixture, "a flow's request uses its reservation") {
  // The slot would otherwise count twice.
  Scheduler.reserveSlot(flow(1), Now);
  Scheduler.reserveSlot(flow(1), Now);
  request(1);
  CHECK(Scheduler.capacity(Now).FreeSlots == 1);
}

TEST_CASE_FIXTURE(scheduler_fixture, "the wait counts what runs first") {
  learn(40ms);
  CHECK(Scheduler.waitOf(level(1), Now) == 0ms);
  fill();
  CHECK(Scheduler.waitOf(level(1), Now) == 40ms);
  request(4, 3);
  CHECK(Scheduler.waitOf(level(1), Now) == 40ms);
  CHECK(Scheduler.waitOf(level(3), Now) == 60ms);
}

TEST_CASE_FIXTURE(scheduler_fixture, "the report has the waits by priority") {
  fill();
  request(4, 0);
  request(5, 2);
  request(6, 3);
  request(7, 255);
  const capacity_report Report = Scheduler.capacity(Now);
  CHECK(Report.FreeSlots == 0);
  CHECK(Report.Waiting ==
        std::array<std::uint16_t, ReportedPriorities>{1, 0, 1, 2});
  CHECK(std::is_sorted(Report.Wait.begin(), Report.Wait.end()));
  CHECK(Report.Wait[0] > 0ms);
}
