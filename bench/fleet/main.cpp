//===- main.cpp - Cost of the fleet's control traffic -----------*- C++ -*-===//
///
/// \file
/// Runs the cores of N balancers and their agents in one process on a simulated
/// clock, for several N, and prints what one node spends, how long a change and
/// a host's death take to be known everywhere, and the slopes. The latency of a
/// link is 5 ms, that of a platform call 4 ms.
///
/// Usage: fleet_bench [NODES...]; 8 and 32 by default, since 128 takes more
/// than a minute. Also measures the state of one node at the target size.
///
//===----------------------------------------------------------------------===//

#include "fleet/small_fleet.h"
#include "measure.h"
#include "target_size.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

using namespace marjoramrail;
using bench::cpuSeconds;
using bench::heapBytes;
using marjoramrail::testing::small_fleet;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> Zones = {"zone-a", "zone-b", "zone-c"};

/// Hosts per balancer and hosts per service at the target size: 130,000 hosts
/// behind 12,000 balancers and 46,000 addresses.
constexpr int HostsPerNode = 11;
constexpr int HostsPerService = 3;

double millis(duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

void print(const std::string &Name, std::size_t Nodes, double Value,
           const char *Unit) {
  bench::print(Name + "_" + std::to_string(Nodes), Value, Unit);
}

struct usage {
  std::array<double, FleetMessageNames.size()> ByKind{};
  double Bytes = 0;
  double Received = 0;
  double Calls = 0;
  double Writes = 0;
  double Deferred = 0;
};

struct run_results {
  std::size_t Nodes = 0;
  double InForceMs = 0;
  double RestBytes = 0;
  double ChangeBytes = 0;
  double RestCpu = 0;
  double Resident = 0;
  double RestCalls = 0;
  double DetectMs = 0;
};

class fleet_run {
public:
  explicit fleet_run(std::size_t Count) : Nodes(Count) {
    Before = heapBytes();
    Fleet.Latency = 5ms;
    Fleet.Platform.Delay = 4ms;
    Fleet.Shards = 8;
    for (std::size_t I = 0; I < Nodes; ++I)
      Fleet.addBalancer("balancer-" + std::to_string(I), Zones[I % 3]);
    Services = static_cast<int>(Nodes) * HostsPerNode / HostsPerService;
    for (int I = 0; I < Services; ++I)
      Fleet.addService("service" + std::to_string(I),
                       static_cast<std::uint32_t>(I + 1), HostsPerService,
                       Zones);
  }

  run_results run() {
    run_results Results;
    Results.Nodes = Nodes;
    settle();
    measureRest(Results);
    Results.InForceMs = measureChanges(40, 500ms, Results, true);
    // Long enough that the burst of four seconds' budget is spent.
    measureChanges(400, 100ms, Results, false);
    Results.DetectMs = measureDeaths();
    return Results;
  }

private:
  usage total() const {
    usage Sum;
    for (const auto &Balancer : Fleet.Balancers) {
      const fleet_counters &Counters = Balancer->Node->counters();
      for (std::size_t I = 0; I < Sum.ByKind.size(); ++I)
        Sum.ByKind[I] += static_cast<double>(Counters.BytesByKind[I]);
      Sum.Bytes += static_cast<double>(Counters.BytesSent);
      Sum.Received += static_cast<double>(Counters.BytesReceived);
      Sum.Deferred += static_cast<double>(Counters.Deferred);
    }
    Sum.Calls = static_cast<double>(Fleet.Platform.Calls);
    Sum.Writes = static_cast<double>(Fleet.Platform.Writes);
    return Sum;
  }

  void printKinds(const std::string &When, const usage &Start, const usage &End,
                  double Per) const {
    for (std::size_t I = 0; I < Start.ByKind.size(); ++I)
      if (End.ByKind[I] > Start.ByKind[I])
        print("bytes_" + When + "_" + std::string(FleetMessageNames[I].second),
              Nodes, (End.ByKind[I] - Start.ByKind[I]) / Per, "B/s");
  }

  bool isKnownEverywhere(const std::string &Service, std::uint64_t Version,
                         const char *Host = nullptr) const {
    return std::all_of(
        Fleet.Balancers.begin(), Fleet.Balancers.end(),
        [&](const auto &Balancer) {
          const membership *Members = Balancer->Node->find(Service);
          return Members != nullptr && Members->SpecVersion >= Version &&
                 (Host == nullptr ||
                  small_fleet::stateOf(Members, Host) == target_state::Down);
        });
  }

  void settle() {
    instant LastCheck;
    const auto Took = Fleet.runUntil(
        [&] {
          // A check costs as much as running the fleet, so it runs only every
          // 500 ms.
          if (Fleet.Net.now() - LastCheck < 500ms)
            return false;
          LastCheck = Fleet.Net.now();
          for (int I = 0; I < Services; ++I)
            if (!Fleet.agreed("service" + std::to_string(I), HostsPerService))
              return false;
          return true;
        },
        600s);
    print("fleet_settle_s", Nodes, Took ? millis(*Took) / 1000 : -1, "s");
    Fleet.run(40s);
    const double PerNode = (heapBytes() - Before) / static_cast<double>(Nodes);
    print("control_rss_mb", Nodes, PerNode / 1e6, "MB");
  }

  void measureRest(run_results &Results) {
    constexpr double Seconds = 30;
    const usage Start = total();
    const double Cpu = cpuSeconds();
    Fleet.run(30s);
    const double Spent = cpuSeconds() - Cpu;
    const usage End = total();
    const auto Per = static_cast<double>(Nodes) * Seconds;
    Results.RestBytes = (End.Bytes - Start.Bytes) / Per;
    Results.RestCpu = Spent * 1e6 / Per;
    Results.RestCalls = (End.Calls - Start.Calls) / Seconds;
    print("control_bytes_per_s_rest", Nodes, Results.RestBytes, "B/s");
    print("control_bytes_received_per_s_rest", Nodes,
          (End.Received - Start.Received) / Per, "B/s");
    printKinds("rest", Start, End, Per);
    print("control_cpu_us_per_s", Nodes, Results.RestCpu, "us/s");
    print("platform_calls_per_s", Nodes, Results.RestCalls, "1/s");
    print("platform_writes_per_s", Nodes, (End.Writes - Start.Writes) / Seconds,
          "1/s");
  }

  /// Makes operators' changes of random services; returns the time until the
  /// last balancer has applied them.
  double measureChanges(int Count, duration Interval, run_results &Results,
                        bool LowRate) {
    const usage Start = total();
    const instant StartedAt = Fleet.Net.now();
    const double Cpu = cpuSeconds();
    std::map<std::string, std::pair<std::uint64_t, instant>> Waiting;
    std::vector<double> Took;
    const auto CheckPending = [&] {
      std::erase_if(Waiting, [&](const auto &Change) {
        if (!isKnownEverywhere(Change.first, Change.second.first))
          return false;
        Took.push_back(millis(Fleet.Net.now() - Change.second.second));
        return true;
      });
    };
    for (int I = 0; I < Count; ++I) {
      const std::string Service =
          "service" +
          std::to_string((I * 7919 + (LowRate ? 0 : 13)) % Services);
      auto Spec =
          parseService(Fleet.Platform.get("service", Service).Body, Service);
      ++Spec->Address.Port;
      Fleet.Platform.put("service", Service, toJson(*Spec));
      Waiting[Service] = {Fleet.Platform.get("service", Service).Version,
                          Fleet.Net.now()};
      const instant Next = Fleet.Net.now() + Interval;
      while (Fleet.Net.now() < Next) {
        Fleet.run(10ms);
        CheckPending();
      }
    }
    const double Seconds = millis(Fleet.Net.now() - StartedAt) / 1000;
    const usage End = total();
    const double Spent = cpuSeconds() - Cpu;
    for (int I = 0; I < 6000 && !Waiting.empty(); ++I) {
      Fleet.run(10ms);
      CheckPending();
    }
    std::sort(Took.begin(), Took.end());
    const auto Per = static_cast<double>(Nodes) * Seconds;
    const std::string Rate = LowRate ? "2" : "10";
    const double Bytes = (End.Bytes - Start.Bytes) / Per;
    print("control_bytes_per_s_" + Rate + "_changes", Nodes, Bytes, "B/s");
    print("control_bytes_received_per_s_" + Rate + "_changes", Nodes,
          (End.Received - Start.Received) / Per, "B/s");
    printKinds(Rate + "_changes", Start, End, Per);
    print("control_cpu_us_per_s_" + Rate + "_changes", Nodes, Spent * 1e6 / Per,
          "us/s");
    print("platform_calls_per_s_" + Rate + "_changes", Nodes,
          (End.Calls - Start.Calls) / Seconds, "1/s");
    print("put_off_per_s_" + Rate + "_changes", Nodes,
          (End.Deferred - Start.Deferred) / Per, "1/s");
    if (!LowRate)
      Results.ChangeBytes = Bytes;
    print("changes_not_in_force_" + Rate, Nodes,
          static_cast<double>(Waiting.size()), "changes");
    if (Took.empty())
      return -1;
    const std::string Name =
        LowRate ? "config_in_force_ms" : "config_in_force_ms_10_changes";
    print(Name + "_p50", Nodes, Took[Took.size() / 2], "ms");
    print(Name + "_max", Nodes, Took.back(), "ms");
    return Took[Took.size() / 2];
  }

  /// Kills ten hosts one after the other; returns the time until all balancers
  /// know.
  double measureDeaths() {
    constexpr int Count = 10;
    double Sum = 0;
    double Worst = 0;
    int Found = 0;
    for (int I = 0; I < Count; ++I) {
      auto &Agent = *Fleet.Agents[(I * 37 + 5) % Fleet.Agents.size()];
      if (Agent.Dead)
        continue;
      Agent.Dead = true;
      const std::string Service = Agent.Host.substr(0, Agent.Host.find('-'));
      const auto Took = Fleet.runUntil(
          [&] { return isKnownEverywhere(Service, 0, Agent.Host.c_str()); },
          60s);
      if (!Took)
        continue;
      ++Found;
      Sum += millis(*Took);
      Worst = std::max(Worst, millis(*Took));
    }
    print("dead_hosts_found_of_10", Nodes, Found, "hosts");
    print("dead_host_known_everywhere_ms_mean", Nodes, Sum / std::max(1, Found),
          "ms");
    print("dead_host_known_everywhere_ms_max", Nodes, Worst, "ms");
    return Sum / std::max(1, Found);
  }

  std::size_t Nodes;
  int Services = 0;
  double Before = 0;
  small_fleet Fleet;
};

void printSlopes(const std::vector<run_results> &Runs) {
  if (Runs.size() < 2)
    return;
  const run_results &First = Runs.front();
  const run_results &Last = Runs.back();
  const double Doublings = std::log2(static_cast<double>(Last.Nodes) /
                                     static_cast<double>(First.Nodes));
  const auto Slope = [&](const char *Name, double run_results::*Field,
                         const char *Unit) {
    std::printf("bench: slope_%s %.6g %s/doubling\n", Name,
                (Last.*Field - First.*Field) / Doublings, Unit);
  };
  Slope("config_in_force_ms", &run_results::InForceMs, "ms");
  Slope("control_bytes_per_s_rest", &run_results::RestBytes, "B/s");
  Slope("control_bytes_per_s_10_changes", &run_results::ChangeBytes, "B/s");
  Slope("control_cpu_us_per_s", &run_results::RestCpu, "us/s");
  Slope("platform_calls_per_s", &run_results::RestCalls, "1/s");
  Slope("dead_host_known_everywhere_ms", &run_results::DetectMs, "ms");
}

} // namespace

int main(int Argc, char **Argv) {
  bench::measureTargetSize();
  std::vector<std::size_t> Sizes;
  for (int I = 1; I < Argc; ++I)
    Sizes.push_back(std::strtoul(Argv[I], nullptr, 10));
  if (Sizes.empty())
    Sizes = {8, 32};
  std::vector<run_results> Runs;
  Runs.reserve(Sizes.size());
  for (const std::size_t Nodes : Sizes)
    Runs.push_back(fleet_run(Nodes).run());
  printSlopes(Runs);
  return 0;
}
