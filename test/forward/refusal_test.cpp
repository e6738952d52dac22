#include "forward/level_site.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// A balancer and three agents in two zones whose reports the test writes. The
/// time limit of all four priorities is one second.
struct refusal_site : level_site {
  static constexpr unsigned Agents = 3;
  std::uint16_t NextPort = 1;

  refusal_site() {
    TimeLimit = 1s;
    for (unsigned Number = 1; Number <= Agents; ++Number) {
      Hosts[Number].Service = "ledger";
      Hosts[Number].Zone = Number < Agents ? "brugge" : "oostende";
    }
    addLevelBalancer(1);
  }

  /// \p Wait is the one of the most urgent priority; each other one waits half
  /// a second longer.
  void report(unsigned Number, duration Wait, std::uint16_t FreeSlots = 0) {
    load_report Report;
    Report.Service = serviceNumber("ledger");
    Report.Agent = agentAt(Number);
    Report.Admitting = true;
    Report.Slots = 4;
    Report.Active = FreeSlots > 0 ? 0 : 100;
    Report.Capacity = capacity_report();
    Report.Capacity->FreeSlots = FreeSlots;
    Report.Capacity->ServiceTime = 50ms;
    for (std::size_t I = 0; I < ReportedPriorities && FreeSlots == 0; ++I)
      Report.Capacity->Wait[I] = Wait + 500ms * I;
    std::array<std::uint8_t, LongLoadReportBytes> Buffer;
    const std::size_t Size = encodeLoadReport(Report, Buffer);
    Balancers[1]->onAgentMessage(agentAt(Number), {Buffer.data(), Size}, Now);
  }

  /// All agents report the same wait for \p Time.
  void reportAll(duration Wait, duration Time) {
    for (duration Passed = 0ms; Passed < Time; Passed += 200ms) {
      for (unsigned Number = 1; Number <= Agents; ++Number)
        report(Number, Wait);
      pass(200ms);
    }
  }

  bool isRefused(std::uint16_t Priority) {
    const std::uint16_t Port = NextPort++;
    const auto Before = Balancers[1]->counters().RefusedByThreshold;
    const std::size_t Resets = resets();
    packet(1, syn({{0x64400000U + Port, Port}, routeOf(Priority)}));
    const bool Refused = Balancers[1]->counters().RefusedByThreshold > Before;
    CHECK(resets() == Resets + Refused);
    return Refused;
  }
};

} // namespace

TEST_CASE_FIXTURE(refusal_site, "a flow is refused if no target can serve it") {
  // Its caller would otherwise learn this only by its own time limit.
  reportAll(600ms, 2s);
  CHECK(isRefused(3));
  CHECK(isRefused(2));
  CHECK(isRefused(1));
}

TEST_CASE_FIXTURE(refusal_site, "urgent flows are taken in an overload") {
  reportAll(600ms, 2s);
  CHECK_FALSE(isRefused(0));
}

TEST_CASE_FIXTURE(refusal_site, "a wait below the limit refuses nobody") {
  reportAll(0ms, 2s);
  CHECK_FALSE(isRefused(2));
}

TEST_CASE_FIXTURE(refusal_site, "a target that never reported may be idle") {
  for (int I = 0; I < 10; ++I) {
    report(1, 5s);
    report(2, 5s);
    pass(200ms);
  }
  for (std::uint16_t Priority = 0; Priority < Priorities; ++Priority)
    CHECK_FALSE(isRefused(Priority));
}

TEST_CASE_FIXTURE(refusal_site, "a target whose report is old may be idle") {
  reportAll(5s, 2s);
  REQUIRE(isRefused(3));
  // The last report is 200 ms old, counts for 500 ms, and the balancer decides
  // every 200 ms.
  for (int I = 0; I < 3; ++I) {
    report(1, 5s);
    report(2, 5s);
    pass(200ms);
  }
  for (std::uint16_t Priority = 0; Priority < Priorities; ++Priority)
    CHECK_FALSE(isRefused(Priority));
}

TEST_CASE_FIXTURE(refusal_site, "one target with a short wait refuses nobody") {
  for (int I = 0; I < 10; ++I) {
    report(1, 5s);
    report(2, 5s);
    report(3, 100ms, /*FreeSlots=*/2);
    pass(200ms);
  }
  for (std::uint16_t Priority = 0; Priority < Priorities; ++Priority)
    CHECK_FALSE(isRefused(Priority));
}

TEST_CASE_FIXTURE(refusal_site, "flows are taken again within a second") {
  reportAll(5s, 3s);
  REQUIRE(isRefused(0));
  for (int I = 0; I < 5; ++I) {
    for (unsigned Number = 1; Number <= Agents; ++Number)
      report(Number, 0ms, /*FreeSlots=*/4);
    pass(200ms);
  }
  for (std::uint16_t Priority = 0; Priority < Priorities; ++Priority)
    CHECK_FALSE(isRefused(Priority));
}

TEST_CASE_FIXTURE(refusal_site, "no flow is refused beside a free slot") {
  // The threshold moves back one priority at a time; the slot would be idle
  // meanwhile.
  reportAll(5s, 3s);
  REQUIRE(isRefused(0));
  for (unsigned Number = 1; Number <= Agents; ++Number)
    report(Number, 0ms, /*FreeSlots=*/4);
  for (std::uint16_t Priority = 0; Priority < Priorities; ++Priority)
    CHECK_FALSE(isRefused(Priority));
}

TEST_CASE_FIXTURE(refusal_site, "no more flows are taken than slots are free") {
  // Every balancer would otherwise take a flood for one slot.
  reportAll(5s, 3s);
  report(1, 0ms, /*FreeSlots=*/2);
  int Taken = 0;
  for (int I = 0; I < 50; ++I)
    Taken += !isRefused(3);
  CHECK(Taken == 2);
}
