#include "bench/routing/bench.h"

#include "path/path_world.h"

#include <algorithm>
#include <cstdio>
#include <functional>

namespace marjoramrail::bench {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::path_world;
using test::world_settings;

static constexpr std::uint32_t Hosts = 7;
static constexpr std::uint32_t Flows = Hosts * 2000;
/// Mean lifetime of a flow at the target size: 88 million open flows, 520,000
/// new ones per second.
static constexpr duration FlowLifetime = seconds(169);
/// The imbalance is measured this long after a change. Until then a new host
/// still has few flows, and only the peak is measured.
static constexpr duration SettlePeriod = seconds(20);
/// The reported imbalance is the highest within this time.
static constexpr duration Window = seconds(5);

namespace {

/// Simulates flows that end and begin while hosts change.
class churn_simulation {
public:
  explicit churn_simulation(std::uint64_t Seed) : World(settings(Seed)) {
    World.setReconnecting(true);
    constexpr std::uint32_t FlowsPerStep = 10; // 1,000 per second
    for (std::uint32_t I = 0; I < Flows; ++I) {
      World.openFlow(I);
      if (I % FlowsPerStep == FlowsPerStep - 1)
        World.advanceTime(path_world::Step);
    }
    World.advanceTime(seconds(5));
  }

  path_world &world() { return World; }

  /// Returns the seconds until the imbalance has fallen to \p Bound.
  double secondsToSettle(double Bound) {
    double Elapsed = 0;
    while (World.imbalance() > Bound && Elapsed < 300) {
      advance(seconds(1));
      ++Elapsed;
    }
    return Elapsed;
  }

  /// Advances the time and returns the highest imbalance in it.
  double advance(duration Time) {
    double Peak = 0;
    const double FlowsPerStep = double(Flows) *
                                double(path_world::Step.count()) /
                                double(FlowLifetime.count());
    for (duration Elapsed{}; Elapsed < Time; Elapsed += path_world::Step) {
      for (Due += FlowsPerStep; Due >= 1; --Due)
        replaceOneCaller();
      World.advanceTime(path_world::Step);
      if (Elapsed % seconds(1) == duration(0))
        Peak = std::max(Peak, World.imbalance());
    }
    return Peak;
  }

private:
  static world_settings settings(std::uint64_t Seed) {
    world_settings Settings;
    Settings.Seed = Seed;
    Settings.Hosts = Hosts;
    Settings.SendPeriod = seconds(10);
    Settings.MaxViewLag = seconds(2);
    return Settings;
  }

  /// Replaces one caller that leaves by a new one.
  void replaceOneCaller() {
    World.closeFlow(Oldest++);
    World.openFlow(Next++);
  }

  path_world World;
  std::uint32_t Oldest = 0;
  std::uint32_t Next = Flows;
  double Due = 0;
};

/// max/mean of a plain hash modulo the number of hosts, and the flows that a
/// change of that number would break.
struct naive_figures {
  double Imbalance;
  std::uint32_t Broken;
};

} // namespace

static naive_figures naive(std::uint32_t Before, std::uint32_t After) {
  std::vector<std::uint32_t> Count(After);
  std::uint32_t Broken = 0;
  for (std::uint32_t I = 0; I < Flows; ++I) {
    const std::uint64_t Hash = hashOf(flowOf(I), 0);
    ++Count[Hash % After];
    Broken += Hash % Before != Hash % After;
  }
  const double Highest = *std::max_element(Count.begin(), Count.end());
  return {Highest * After / Flows, Broken};
}

static double measureService(const std::string &Service, std::uint64_t Seed) {
  churn_simulation Churning(Seed);
  path_world &World = Churning.world();
  double Worst = 0;
  const auto Phase = [&](const std::string &Name, std::uint32_t Before,
                         std::uint32_t After,
                         const std::function<void()> &Change) {
    const std::uint64_t BrokenBefore = World.outcome().BrokenPlanned;
    Change();
    const double Peak = Churning.advance(SettlePeriod);
    const double Settled = Churning.advance(Window);
    Worst = std::max(Worst, Settled);
    const naive_figures Naive = naive(Before, After);
    const std::string Key = "_" + Service + "_" + Name;
    print("flow_imbalance" + Key, Settled, "ratio");
    print("flow_imbalance_peak" + Key, Peak, "ratio");
    print("flow_imbalance_naive" + Key, Naive.Imbalance, "ratio");
    print("broken_flows_planned" + Key,
          double(World.outcome().BrokenPlanned - BrokenBefore), "flows");
    print("broken_flows_naive" + Key, Naive.Broken, "flows");
  };
  Phase("open", Hosts, Hosts, [] {});
  Phase("add", Hosts, Hosts + 1, [&] { World.addHost(); });
  constexpr double Bound = 1.10;
  print("flow_imbalance_add_settled_after_" + Service,
        double((SettlePeriod + Window) / seconds(1)) +
            Churning.secondsToSettle(Bound),
        "s");
  Phase("drain", Hosts + 1, Hosts, [&] { World.drainHost(0); });
  Phase("restart", Hosts, Hosts, [&] { World.restartHost(1); });
  print("misrouted_" + Service, double(World.outcome().Misrouted), "packets");
  print("visits_per_packet_" + Service,
        double(World.outcome().Visits) / double(World.outcome().Deliveries),
        "agents");
  return Worst;
}

void measureImbalance() {
  const double Ledger = measureService("ledger", 1);
  const double Dispatch = measureService("dispatch", 2);
  print("flow_imbalance", std::max(Ledger, Dispatch), "ratio");
}

} // namespace marjoramrail::bench
