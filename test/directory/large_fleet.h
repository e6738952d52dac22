//===- large_fleet.h - A site of zones that are just large ------*- C++ -*-===//

#ifndef MARJORAMRAIL_TEST_DIRECTORY_LARGE_FLEET_H
#define MARJORAMRAIL_TEST_DIRECTORY_LARGE_FLEET_H

#include "directory/directory_cluster.h"

#include <random>

namespace marjoramrail::testing {

using namespace std::chrono_literals;

/// Balancers in five zones, just large ones, with some three targets each, as
/// many as make a snapshot worth while. Addresses of a zone are
/// consecutive, and one balancer of each of the first three zones is a seed.
struct large_fleet : directory_cluster {
  static constexpr unsigned Zones = 5;
  static constexpr unsigned Count = 125;
  static constexpr unsigned Targets = 3 * Count + 25;
  static constexpr unsigned PerZone = Count / Zones;

  std::mt19937 Random{7};

  static std::string zoneOf(unsigned Number) {
    return "zone-" + std::to_string((Number - 1) / PerZone);
  }

  static std::vector<endpoint> seeds() {
    return {addressOf(1 + PerZone / 2), addressOf(1 + PerZone * 3 / 2),
            addressOf(1 + PerZone * 5 / 2)};
  }

  void startAllWithin(duration Time) {
    std::uniform_int_distribution<duration::rep> Delay(0, Time.count());
    for (unsigned Number = 1; Number <= Count; ++Number)
      Timers.after(duration(Delay(Random)),
                   [this, Number] { start(Number, seeds(), zoneOf(Number)); });
    pass(Time);
  }

  /// The first start of the site: targets register while balancers start.
  void startSite() {
    configure(1, {"ledger"});
    for (unsigned Target = 0; Target < Targets; ++Target)
      Timers.after(300ms + Target * 2ms, [this, Target] {
        addTarget("number-" + std::to_string(Target));
      });
    startAllWithin(200ms);
    pass(7s);
  }

  void stopAll() {
    for (unsigned Number = 1; Number <= Count; ++Number)
      stop(Number);
    resetCounts();
  }

  void resetCounts() {
    CallsByPurpose.clear();
    Sync = {};
    Copied = {};
    Copies = 0;
  }

  int callsOf(const std::string &Verb) const {
    int Sum = 0;
    for (const auto &[Purpose, Calls] : CallsByPurpose)
      if (Purpose.starts_with(Verb))
        Sum += Calls;
    return Sum;
  }

  std::size_t knowingAllTargets() const {
    return static_cast<std::size_t>(std::count_if(
        Balancers.begin(), Balancers.end(), [](const auto &Balancer) {
          return Balancer.second.Directory->targets().size() == Targets;
        }));
  }

  std::size_t inForce(std::uint64_t Version) const {
    return static_cast<std::size_t>(std::count_if(
        Balancers.begin(), Balancers.end(), [Version](const auto &Balancer) {
          return Balancer.second.Directory->routesVersion() == Version;
        }));
  }

  double currentShareFor(duration Time) {
    std::size_t Current = 0;
    std::size_t Checks = 0;
    const instant End = Timers.now() + Time;
    while (Timers.now() < End) {
      pass(100ms);
      for (auto &[Number, Balancer] : Balancers) {
        const auto AsOf = Balancer.Directory->knownAsOf();
        Current += AsOf && Timers.now() - *AsOf < SettleTime - 100ms;
        ++Checks;
      }
    }
    return static_cast<double>(Current) / static_cast<double>(Checks);
  }
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_DIRECTORY_LARGE_FLEET_H
