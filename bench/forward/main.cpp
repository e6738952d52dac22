// Measures processor time and allocations per packet of the forwarding cores,
// and how placement distributes flows, on simulated targets.

#include "forward/failure_watch.h"
#include "packet_header.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <new>
#include <random>

using namespace marjoramrail;

static std::uint64_t Allocations = 0;

void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

static const endpoint RouteAddress{0xc6120001, 443};
static constexpr std::size_t HeadBytes = 34;
static constexpr unsigned Hosts = 56;
static constexpr unsigned Flows = 2000;

static double threadNs() {
  timespec Spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Spent);
  return static_cast<double>(Spent.tv_sec) * 1e9 +
         static_cast<double>(Spent.tv_nsec);
}

/// Returns a packet of flow \p Number with \p Data bytes of payload and the
/// wire flags \p Flags.
static std::vector<std::uint8_t> packet(unsigned Number, std::uint8_t Flags,
                                        std::uint16_t Data, bool FromCaller) {
  std::vector<std::uint8_t> Bytes(HeadBytes + Data);
  Bytes[0] = Flags;
  const auto Put = [&](std::size_t At, std::uint32_t Value, int Size) {
    for (int I = 0; I < Size; ++I)
      Bytes[At + I] = static_cast<std::uint8_t>(Value >> (8 * I));
  };
  const std::uint32_t Caller = 0x64400000 + Number / 1000;
  const std::uint32_t Port = 1024 + Number % 1000;
  Put(4, FromCaller ? RouteAddress.Address : Caller, 4);
  Put(8, FromCaller ? Caller : RouteAddress.Address, 4);
  Put(12, FromCaller ? Port : RouteAddress.Port, 2);
  Put(14, FromCaller ? RouteAddress.Port : Port, 2);
  Put(24, Data, 2);
  return Bytes;
}

static constexpr std::uint8_t Syn = 1;
static constexpr std::uint8_t Ack = 32;

/// Runs \p Step \p Count times in each of five rounds; prints the time of the
/// fastest round and the allocations of the last.
template <typename Callable>
static void measure(const char *Name, unsigned Count, Callable Step) {
  double BestNs = 1e18;
  std::uint64_t Allocated = 0;
  for (int Round = 0; Round < 5; ++Round) {
    const std::uint64_t Before = Allocations;
    const double Start = threadNs();
    for (unsigned I = 0; I < Count; ++I)
      Step(I);
    BestNs = std::min(BestNs, (threadNs() - Start) / Count);
    Allocated = Allocations - Before;
  }
  std::printf("bench: %s %.0f ns\n", Name, BestNs);
  std::printf("bench: %s_allocations %.3f per_packet\n", Name,
              static_cast<double>(Allocated) / Count);
}

static std::vector<target_entry> targets() {
  std::vector<target_entry> All;
  for (unsigned I = 0; I < Hosts; ++I)
    All.push_back({"target." + std::to_string(I),
                   "ledger",
                   {0x0a000100 + I, 700},
                   "zone-" + std::to_string(I % 3),
                   4,
                   false});
  return All;
}

static void measureBalancer() {
  forward_balancer Balancer(
      {{0x0a000001, 7000}, "zone-0"}, users_platform::packetCodec(),
      {[](const endpoint &, bytes_view) {}, [](const endpoint &, bytes_view) {},
       nullptr, nullptr, nullptr});
  Balancer.setRoutes({{RouteAddress, {{"ledger", 1}}, {"ledger"}, {}}},
                     instant());
  Balancer.setTargets(targets(), instant());
  const instant Now(std::chrono::seconds(1));
  Balancer.setKnownAsOf(Now);
  std::vector<std::vector<std::uint8_t>> Data;
  std::vector<std::vector<std::uint8_t>> Syns;
  for (unsigned I = 0; I < Flows; ++I) {
    Data.push_back(packet(I, Ack, 200, true));
    Syns.push_back(packet(I, Syn, 0, true));
  }
  measure("platform_balancer_unknown", 50000,
          [&](unsigned I) { Balancer.onCallerPacket(Data[I % Flows], Now); });
  measure("platform_balancer_new_flow", 50000,
          [&](unsigned I) { Balancer.onCallerPacket(Syns[I % Flows], Now); });
  measure("platform_balancer", 200000,
          [&](unsigned I) { Balancer.onCallerPacket(Data[I % Flows], Now); });
}

static void measureAgent() {
  forward_agent_hooks Hooks;
  Hooks.SendToTarget = [](bytes_view) {};
  Hooks.SendToPeer = [](const endpoint &, bytes_view) {};
  Hooks.SendToCaller = [](const endpoint &, bytes_view) {};
  Hooks.TargetUnresponsive = [] {};
  forward_agent Agent({serviceNumber("ledger"), {0x0a000100, 700}},
                      users_platform::packetCodec(), Hooks);
  Agent.setAdmitting(true);
  const instant Now(std::chrono::seconds(1));
  std::vector<std::vector<std::uint8_t>> In;
  std::vector<std::vector<std::uint8_t>> Out;
  for (unsigned I = 0; I < Flows; ++I) {
    const auto Packet = packet(I, Ack, 200, true);
    routed_packet Routed;
    Routed.Service = serviceNumber("ledger");
    Routed.Count = Hosts;
    for (unsigned H = 0; H < Hosts; ++H)
      Routed.Owners[H] = {0x0a000100 + H, 700};
    Routed.Packet = Packet;
    std::vector<std::uint8_t> Buffer(MaxRoutedBytes);
    Buffer.resize(encodeRouted(Routed, Buffer));
    In.push_back(Buffer);
    Out.push_back(packet(I, Ack, 1000, false));
    Agent.onTargetPacket(Out.back(), Now);
  }
  measure("platform_agent", 200000, [&](unsigned I) {
    Agent.onRouted({0x0a000001, 7000}, In[I % Flows], Now);
  });
  measure("platform_agent_answer", 200000,
          [&](unsigned I) { Agent.onTargetPacket(Out[I % Flows], Now); });
}

/// Measures how a balancer handles one load report, with \p Agents agents in
/// its zone.
static void measureReports(unsigned Agents) {
  const instant Now(std::chrono::seconds(1));
  forward_balancer_hooks Hooks;
  Hooks.SendToAgent = [](const endpoint &, bytes_view) {};
  Hooks.SendToCaller = [](const endpoint &, bytes_view) {};
  forward_balancer Balancer({.Self = {0x0a000001, 7000}, .Zone = "brugge"},
                            users_platform::packetCodec(), Hooks);
  std::vector<target_entry> Targets;
  std::vector<std::vector<std::uint8_t>> Reports;
  for (unsigned I = 0; I < Agents; ++I) {
    const endpoint Agent{0x0a100000 + I, 700};
    Targets.push_back(
        {"target." + std::to_string(I), "ledger", Agent, "brugge", 4, false});
    load_report Report;
    Report.Service = serviceNumber("ledger");
    Report.Agent = Agent;
    Report.Admitting = true;
    std::vector<std::uint8_t> Buffer(LoadReportBytes);
    encodeLoadReport(Report, Buffer);
    Reports.push_back(std::move(Buffer));
  }
  Balancer.setTargets(Targets, Now);
  measure(("platform_report_of_" + std::to_string(Agents)).c_str(), 20000,
          [&](unsigned I) {
            Balancer.onAgentMessage(Targets[I % Agents].Agent,
                                    Reports[I % Agents], Now);
          });
}

//===----------------------------------------------------------------------===//
// Placement of flows
//===----------------------------------------------------------------------===//

enum class policy { Rendezvous, LeastKnown, Placement };

static constexpr name_table<policy, 3> PolicyNames = {{
    {policy::Rendezvous, "naive"},
    {policy::LeastKnown, "least_known"},
    {policy::Placement, "ours"},
}};

enum class fault_scenario { None, FailingTargets };

/// Simulates the placement of flows on targets that have a queue and two thirds
/// of their slots in use. Each flow sends one request per second. Placement
/// knows only the reports that the targets send five times per second; this is
/// the worst case of many balancers, none of which sees the flows of the
/// others. Half-way, one target is replaced by an empty one. With
/// FailingTargets, two targets answer four in ten requests at once with an
/// error during the middle half of the run.
class placing_model {
public:
  placing_model(policy Policy, fault_scenario Scenario)
      : Policy(Policy), Scenario(Scenario), Actual(Targets) {
    for (placement_candidate &Target : Actual) {
      Target.OwnZone = true;
      Target.Slots = Slots;
    }
    Reported = Actual;
  }

  void run() {
    for (int Step = 0; Step < Steps; ++Step) {
      if (Step % StepsPerReport == 0)
        Reported = Actual;
      if (Step == Steps / 2)
        replaceTarget();
      for (int I = 0; I < NewFlowsPerStep; ++I)
        place();
      serve(Step);
    }
  }

  void printFailed() const {
    const std::string Name(nameOf(PolicyNames, Policy));
    std::printf("bench: placing_failing_%s_failed %.0f requests\n",
                Name.c_str(), static_cast<double>(Failed));
  }

  void print() {
    std::sort(WaitTimesMs.begin(), WaitTimesMs.end());
    double Most = 0;
    double Sum = 0;
    for (const placement_candidate &Target : Actual) {
      Most = std::max<double>(Most, Target.Flows);
      Sum += Target.Flows;
    }
    const std::string Name(nameOf(PolicyNames, Policy));
    std::printf("bench: placing_%s_p50 %.0f ms\n", Name.c_str(),
                waitPercentile(0.5));
    std::printf("bench: placing_%s_p99 %.0f ms\n", Name.c_str(),
                waitPercentile(0.99));
    std::printf("bench: placing_%s_refused %.0f requests\n", Name.c_str(),
                static_cast<double>(Refused));
    std::printf("bench: placing_%s_imbalance %.3f ratio\n", Name.c_str(),
                Most / (Sum / static_cast<double>(Actual.size())));
  }

private:
  static constexpr std::size_t Targets = 15;
  static constexpr int Steps = 4000;
  static constexpr int StepMs = 10;
  static constexpr int StepsPerReport = 20;
  static constexpr int NewFlowsPerStep = 1;
  static constexpr int FlowLifeSteps = 1000;
  static constexpr int StepsPerRequest = 100;
  static constexpr unsigned Slots = 4;
  static constexpr int ServiceSteps = 4;
  static constexpr int QueueLimit = 16;
  static constexpr std::size_t FailingTargets = 2;
  static constexpr double FailingShare = 0.4;

  struct flow {
    std::size_t Target;
    int StartStep;
    int Phase;
  };

  void replaceTarget() {
    for (flow &Flow : Open)
      if (Flow.Target == 0)
        Flow.StartStep = -FlowLifeSteps;
    Actual[0].Flows = 0;
    Reported = Actual;
  }

  void place() {
    std::vector<std::size_t> Order(Targets);
    for (std::size_t I = 0; I < Targets; ++I)
      Order[I] = I;
    std::shuffle(Order.begin(), Order.end(), Random);
    std::size_t Chosen = Order[0];
    if (Policy == policy::Placement)
      Chosen = placement().choose(Reported, Order).value_or(Chosen);
    if (Policy == policy::LeastKnown)
      for (const std::size_t I : Order)
        if (Reported[I].Flows < Reported[Chosen].Flows)
          Chosen = I;
    Open.push_back({Chosen, Now, static_cast<int>(Random() % StepsPerRequest)});
    ++Actual[Chosen].Flows;
  }

  void serve(int Step) {
    Now = Step;
    std::erase_if(Open, [&](const flow &Flow) {
      if (Step - Flow.StartStep < FlowLifeSteps)
        return false;
      if (Actual[Flow.Target].Flows > 0)
        --Actual[Flow.Target].Flows;
      return true;
    });
    for (const flow &Flow : Open)
      if ((Step - Flow.StartStep) % StepsPerRequest == 0)
        request(Flow.Target);
    for (std::size_t I = 0; I < Targets; ++I) {
      Work[I] = std::max(Work[I] - static_cast<int>(Slots), 0);
      Actual[I].Active = static_cast<std::uint16_t>(
          (Work[I] + ServiceSteps - 1) / ServiceSteps);
    }
  }

  bool fails(std::size_t Target) {
    const bool InFaultWindow = Now >= Steps / 4 && Now < Steps * 3 / 4;
    return Scenario == fault_scenario::FailingTargets &&
           Target < FailingTargets && InFaultWindow &&
           std::bernoulli_distribution(FailingShare)(Random);
  }

  void request(std::size_t Target) {
    const bool IsFailure = fails(Target);
    const instant At{std::chrono::milliseconds(Now * StepMs)};
    Failures[Target].onAnswer(IsFailure, At);
    Actual[Target].Failing = Failures[Target].thousandths();
    if (IsFailure) {
      ++Failed;
      return;
    }
    const int Queued = Work[Target] / ServiceSteps;
    if (Queued >= static_cast<int>(Slots) + QueueLimit) {
      ++Refused;
      return;
    }
    Work[Target] += ServiceSteps;
    const double QueuedSteps = static_cast<double>(Work[Target]) / Slots;
    WaitTimesMs.push_back(StepMs * (ServiceSteps + QueuedSteps));
  }

  double waitPercentile(double Share) const {
    if (WaitTimesMs.empty())
      return 0;
    return WaitTimesMs[static_cast<std::size_t>(
        Share * static_cast<double>(WaitTimesMs.size() - 1))];
  }

  policy Policy;
  fault_scenario Scenario;
  std::vector<placement_candidate> Actual;
  std::vector<placement_candidate> Reported;
  std::vector<flow> Open;
  std::array<int, Targets> Work{};
  std::vector<double> WaitTimesMs;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  std::array<internal::failure_watch, Targets> Failures{};
  int Now = 0;
  std::minstd_rand Random{17};
};

int main() {
  measureBalancer();
  measureAgent();
  // A zone of the users' largest site, and a zone of the intended maximum size.
  measureReports(41);
  measureReports(7650);
  for (const auto &[Policy, Name] : PolicyNames) {
    placing_model Model(Policy, fault_scenario::None);
    Model.run();
    Model.print();
  }
  for (const auto &[Policy, Name] : PolicyNames) {
    placing_model Model(Policy, fault_scenario::FailingTargets);
    Model.run();
    Model.printFailed();
  }
}
