#include "bench/routing/bench.h"
#include "bench/routing/maglev_table.h"

#include <chrono>
#include <cstdio>

namespace marjoramrail::bench {

static constexpr std::uint32_t Calls = 400000;
static constexpr std::uint32_t UsersHosts = 7;

void print(const std::string &Name, double Value, const std::string &Unit) {
  std::printf("bench: %s %.3f %s\n", Name.c_str(), Value, Unit.c_str());
}

service_view viewOf(std::uint32_t Hosts, std::uint32_t Generations) {
  service_view View;
  View.Id = service_id(1);
  View.Version = Generations;
  for (std::uint32_t I = 0; I < Hosts; ++I)
    View.Targets.push_back(
        {host_id(I), {0x0a010000 + I, 7000}, zone_id(0), {}, 1});
  for (std::uint32_t G = 0; G < Generations; ++G) {
    generation Generation{Generations - G, {}};
    for (std::uint32_t I = 0; I < Hosts; ++I)
      if (G == 0 || I != G - 1)
        Generation.Members.push_back({host_id(I), 100});
    View.Generations.push_back(Generation);
  }
  return View;
}

flow_key flowOf(std::uint32_t Number) {
  constexpr std::uint32_t PortsPerCaller = 50000;
  return {{0x0a000000 + Number / PortsPerCaller,
           static_cast<std::uint16_t>(10000 + Number % PortsPerCaller)},
          {0x0a640001, 443}};
}

/// Nanoseconds per call of \p Body: the lowest of several rounds, because the
/// others were disturbed by other load on the machine.
template <typename Callable>
static double nanosecondsOf(std::uint32_t Count, Callable &&Body) {
  using clock = std::chrono::steady_clock;
  constexpr int Rounds = 5;
  double Least = 1e18;
  for (int Round = 0; Round < Rounds; ++Round) {
    const auto Start = clock::now();
    std::size_t Sum = 0;
    for (std::uint32_t I = 0; I < Count; ++I)
      Sum += Body(I);
    const std::chrono::duration<double, std::nano> Spent = clock::now() - Start;
    volatile std::size_t Sink = Sum;
    static_cast<void>(Sink);
    Least = std::min(Least, Spent.count() / Count);
  }
  return Least;
}

static double establishedCost(std::uint32_t Hosts, std::uint32_t Generations,
                              std::uint32_t Count = Calls) {
  const service_router Router(viewOf(Hosts, Generations));
  return nanosecondsOf(Count, [&](std::uint32_t I) {
    const owner_list Owners = Router.owners(flowOf(I));
    return std::size_t(Owners[0]) + Owners.size();
  });
}

static double newCost(std::uint32_t Hosts, std::uint32_t Generations) {
  const service_router Router(viewOf(Hosts, Generations));
  return nanosecondsOf(Calls, [&](std::uint32_t I) {
    const owner_list Choices = Router.choices(flowOf(I));
    return std::size_t(Choices[0]) + Choices.size();
  });
}

void measureRouteCost() {
  print("route_established_ns", establishedCost(UsersHosts, MaxGenerations),
        "ns");
  print("route_new_ns", newCost(UsersHosts, MaxGenerations), "ns");
  for (const std::uint32_t Hosts : {3U, 7U, 25U, 100U})
    print("route_established_ns_" + std::to_string(Hosts) + "_targets",
          establishedCost(Hosts, 2, Calls / 4), "ns");
  for (const std::uint32_t Generations : {1U, 2U, 4U, 8U})
    print("route_established_ns_" + std::to_string(Generations) +
              "_generations",
          establishedCost(UsersHosts, Generations, Calls / 4), "ns");
  const double TargetSlope = (establishedCost(107, 2, Calls / 8) -
                              establishedCost(UsersHosts, 2, Calls / 8)) /
                             100;
  print("route_slope_per_target_ns", TargetSlope, "ns");
  print("route_slope_per_generation_ns",
        (establishedCost(UsersHosts, 8) - establishedCost(UsersHosts, 1)) / 7,
        "ns");
}

void measureMaglev() {
  // The primes nearest to a hundred slots per host, as the paper recommends.
  constexpr std::uint32_t SmallSize = 701;
  constexpr std::uint32_t LargeSize = 10007;
  const service_view View = viewOf(UsersHosts, MaxGenerations);
  std::vector<maglev_table> Tables;
  for (const generation &Generation : View.Generations)
    Tables.emplace_back(Generation, SmallSize);
  print("maglev_established_ns",
        nanosecondsOf(Calls,
                      [&](std::uint32_t I) {
                        // Four choices per generation need four look-ups each.
                        owner_list Owners;
                        for (std::uint64_t Rank = 0;
                             Rank < ChoicesPerGeneration; ++Rank) {
                          const std::uint64_t Hash = hashOf(flowOf(I), Rank);
                          for (const maglev_table &Table : Tables)
                            Owners.add(Table.ownerOf(Hash));
                        }
                        return Owners.size();
                      }),
        "ns");
  print("maglev_bytes_7_targets_8_generations",
        static_cast<double>(Tables[0].bytes() * Tables.size()), "bytes");
  print("rendezvous_bytes_7_targets_8_generations",
        static_cast<double>(service_router(View).bytes()), "bytes");
  const service_view Large = viewOf(100, 1);
  print("maglev_build_ns_100_targets",
        nanosecondsOf(
            50,
            [&](std::uint32_t) {
              return maglev_table(Large.Generations[0], LargeSize).bytes();
            }),
        "ns");
  print("rendezvous_build_ns_100_targets",
        nanosecondsOf(
            50, [&](std::uint32_t) { return service_router(Large).bytes(); }),
        "ns");
}

} // namespace marjoramrail::bench
