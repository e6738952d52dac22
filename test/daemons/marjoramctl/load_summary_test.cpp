#include "load_summary.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::ctl;
using std::chrono::milliseconds;

/// An agent of the service "ledger" with 4 slots, half of them busy.
static agent_load agentOf(std::uint32_t Address,
                          std::optional<milliseconds> Age = milliseconds(100),
                          const std::string &Zone = "brugge") {
  agent_load Load;
  Load.Agent = {Address, 1};
  Load.Service = "ledger";
  Load.Zone = Zone;
  Load.Admitting = true;
  Load.Busy = 500;
  Load.Slots = 4;
  Load.Flows = 10;
  Load.ReportAge = Age;
  return Load;
}

static capacity_report capacityOf(std::uint16_t FreeSlots,
                                  std::uint16_t Waiting = 0,
                                  milliseconds Wait = milliseconds(0)) {
  capacity_report Capacity;
  Capacity.FreeSlots = FreeSlots;
  Capacity.Waiting[2] = Waiting;
  Capacity.Wait[2] = Wait;
  return Capacity;
}

static load_page pageOf(std::vector<agent_load> Agents) {
  load_page Page;
  Page.Agents = std::move(Agents);
  return Page;
}

static load_page refusingPage(const std::string &Balancer,
                              std::optional<std::uint8_t> From,
                              milliseconds Since) {
  load_page Page;
  Page.Balancer = Balancer;
  Page.Admission = {{"ledger", From, Since, 10}};
  return Page;
}

TEST_CASE("the entry with the youngest report counts") {
  // A balancer of another zone hears from an agent seldom; its old entry must
  // not replace a current one, whatever the order of the pages.
  agent_load Old = agentOf(1, milliseconds(900));
  Old.Flows = 99;
  const agent_load Unreported = agentOf(1, std::nullopt);
  const agent_load Young = agentOf(1, milliseconds(100));
  const load_page Pages[] = {pageOf({Old}), pageOf({Unreported}),
                             pageOf({Young})};

  for (const auto &Order :
       {std::vector{0, 1, 2}, std::vector{2, 1, 0}, std::vector{1, 2, 0}}) {
    std::vector<load_page> Ordered;
    for (const int I : Order)
      Ordered.push_back(Pages[I]);
    const load_summary Summary = summarizeLoad(Ordered);
    REQUIRE(Summary.Targets.size() == 1);
    CHECK(Summary.Targets[0].ReportAge == milliseconds(100));
    CHECK(Summary.Services.at("ledger").Total.Flows == 10);
  }
}

TEST_CASE("figures are summed by service and zone") {
  agent_load Full = agentOf(1);
  Full.Busy = 1000;
  Full.Slots = 12;
  Full.Capacity = capacityOf(0, 7, milliseconds(160));
  agent_load Free = agentOf(2);
  Free.Capacity = capacityOf(3, 1, milliseconds(20));
  agent_load Other = agentOf(3, milliseconds(100), "oostende");
  Other.Capacity = capacityOf(2);

  const load_summary Summary = summarizeLoad({pageOf({Full, Free, Other})});

  const service_load &Service = Summary.Services.at("ledger");
  const load_figures &Zone = Service.Zones.at("brugge");
  CHECK(Zone.Targets == 2);
  CHECK(Zone.Slots == 16);
  CHECK(Zone.busyShare() == doctest::Approx(0.875));
  CHECK(Zone.FreeSlots == 3);
  CHECK(Zone.Waiting[2] == 8);
  CHECK(Zone.waiting() == 8);
  CHECK(Zone.longestWait() == milliseconds(160));
  CHECK(Zone.Flows == 20);
  CHECK(Service.Total.Targets == 3);
  CHECK(Service.Total.FreeSlots == 5);
}

TEST_CASE("free slots of a stale report do not count") {
  // Operators would otherwise wait for capacity that is no longer there.
  agent_load AtBound = agentOf(1, MaxReportAge);
  AtBound.Capacity = capacityOf(3);
  agent_load Stale = agentOf(2, MaxReportAge + milliseconds(1));
  Stale.Capacity = capacityOf(4, 5, milliseconds(70));

  const load_figures Total =
      summarizeLoad({pageOf({AtBound, Stale})}).Services.at("ledger").Total;

  CHECK_FALSE(isStale(AtBound));
  CHECK(isStale(Stale));
  CHECK(Total.Stale == 1);
  CHECK(Total.Known == 1);
  CHECK(Total.FreeSlots == 3);
  CHECK(Total.waiting() == 5);
  CHECK(Total.Slots == 8);
}

TEST_CASE("free slots at targets that take no new flows do not count") {
  for (const int Case : {0, 1, 2}) {
    agent_load Load = agentOf(1);
    Load.Capacity = capacityOf(4);
    Load.Admitting = Case != 0;
    Load.Suspect = Case == 1;
    Load.Evacuated = Case == 2;

    const load_figures Total =
        summarizeLoad({pageOf({Load})}).Services.at("ledger").Total;

    CHECK(Total.TakingFlows == 0);
    CHECK(Total.Known == 1);
    CHECK(Total.FreeSlots == 0);
  }
}

TEST_CASE("a missing capacity is unknown, not zero free slots") {
  const load_figures Total =
      summarizeLoad({pageOf({agentOf(1)})}).Services.at("ledger").Total;

  CHECK(Total.Known == 0);
  CHECK(Total.Stale == 0);
  CHECK(Total.Slots == 4);
}

TEST_CASE("before the first report only the target is counted") {
  // The balancer's entry then holds defaults, which nobody has reported.
  agent_load Load = agentOf(1, std::nullopt);
  Load.Capacity = capacityOf(4);

  const load_figures Total =
      summarizeLoad({pageOf({Load})}).Services.at("ledger").Total;

  CHECK(Total.Targets == 1);
  CHECK(Total.Stale == 1);
  CHECK(Total.Slots == 0);
  CHECK(Total.Known == 0);
  CHECK(Total.busyShare() == 0);
}

TEST_CASE("the fullest targets come first") {
  agent_load Idle = agentOf(1);
  Idle.Busy = 0;
  agent_load Busy = agentOf(2);
  Busy.Busy = 1000;
  agent_load Waiting = agentOf(3);
  Waiting.Busy = 900;
  Waiting.Capacity = capacityOf(0, 4);
  agent_load Unreported = agentOf(4, std::nullopt);
  Unreported.Busy = 1000;
  Unreported.Flows = 0;

  const load_summary Summary =
      summarizeLoad({pageOf({Idle, Unreported, Busy, Waiting})});

  std::vector<std::uint32_t> Order;
  for (const agent_load &Load : Summary.Targets)
    Order.push_back(Load.Agent.Address);
  CHECK(Order == std::vector<std::uint32_t>{3, 2, 1, 4});
}

TEST_CASE("a busy share above the whole is limited") {
  // The field of a report can hold up to 65,535 thousandths.
  agent_load Load = agentOf(1);
  Load.Busy = 65535;

  CHECK(fullness(Load) == 1);
  CHECK(
      summarizeLoad({pageOf({Load})}).Services.at("ledger").Total.busyShare() ==
      1);
}

TEST_CASE("the admission of a service is that of all balancers") {
  const load_summary Summary =
      summarizeLoad({refusingPage("a", 3, milliseconds(400)),
                     refusingPage("b", 2, milliseconds(200)),
                     refusingPage("c", std::nullopt, milliseconds(9000))});

  const service_load &Service = Summary.Services.at("ledger");
  CHECK(Summary.Balancers == 3);
  CHECK(Service.rejecting() == 2);
  CHECK(Service.rejectedFrom() == 2);
  CHECK(Service.rejectingSince() == milliseconds(400));
  CHECK(Service.refused() == 30);
}

TEST_CASE("nothing is rejected while no balancer states a priority") {
  const load_summary Summary =
      summarizeLoad({refusingPage("a", std::nullopt, milliseconds(400))});

  const service_load &Service = Summary.Services.at("ledger");
  CHECK(Service.rejecting() == 0);
  CHECK_FALSE(Service.rejectedFrom());
  CHECK(Service.rejectingSince() == milliseconds(0));
}

TEST_CASE("only the requested service is included") {
  agent_load Other = agentOf(2);
  Other.Service = "mail";
  load_page Page = pageOf({agentOf(1), Other});
  Page.Admission = {{"mail", 1, milliseconds(1), 1}};

  const load_summary Summary = summarizeLoad({Page}, "ledger");

  CHECK(Summary.Services.size() == 1);
  CHECK(Summary.Services.count("ledger") == 1);
  CHECK(Summary.Targets.size() == 1);
  CHECK(summarizeLoad({Page}, "other").Services.empty());
}

TEST_CASE("an empty set of pages gives an empty summary") {
  const load_summary Summary = summarizeLoad({});

  CHECK(Summary.Balancers == 0);
  CHECK(Summary.Services.empty());
  CHECK(Summary.Targets.empty());
}
