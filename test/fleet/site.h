//===- site.h - A site with two services ------------------------*- C++ -*-===//
///
/// \file
/// A site with three balancers in three zones and two services.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_SITE_H
#define MARJORAMRAIL_FLEET_SITE_H

#include "fleet/small_fleet.h"

#include <algorithm>

namespace marjoramrail::testing {

inline const std::vector<std::string> SiteZones = {"oostende", "brugge",
                                                   "zeebrugge"};

struct site : small_fleet {
  explicit site(std::uint64_t Seed = 1, int Nodes = 3) : small_fleet(Seed) {
    for (int I = 0; I < Nodes; ++I)
      addBalancer("balancer-" + std::to_string(I + 1),
                  SiteZones[I % SiteZones.size()]);
    addService("ledger", 1, 7, SiteZones);
    addService("archive", 2, 3, SiteZones);
  }

  /// Runs until all hosts are in every view and every agent has its view.
  bool settle() {
    return runUntil(
               [&] {
                 return agreed("ledger", 7) && agreed("archive", 3) &&
                        std::all_of(Agents.begin(), Agents.end(),
                                    [](const auto &Agent) {
                                      return Agent->View.has_value();
                                    });
               },
               std::chrono::seconds(30))
        .has_value();
  }

  test_agent &agent(const std::string &Host) {
    return **std::find_if(Agents.begin(), Agents.end(), [&](const auto &Agent) {
      return Agent->Host == Host;
    });
  }

  /// Returns the state of a host in a balancer's view.
  std::optional<target_state> seen(test_balancer &Balancer,
                                   const std::string &Host) {
    const std::string Service = Host.substr(0, Host.find('-'));
    return stateOf(Balancer.Node->find(Service), Host);
  }

  bool seenByAll(const std::string &Host, target_state State) {
    return std::all_of(
        Balancers.begin(), Balancers.end(), [&](const auto &Balancer) {
          return !Balancer->isRunning() || seen(*Balancer, Host) == State;
        });
  }

  std::uint64_t declaredDead() const {
    std::uint64_t Count = 0;
    for (const auto &Balancer : Balancers)
      Count += Balancer->Node->counters().HostsDeclaredDead;
    return Count;
  }

  /// True if no balancer ever applied an older view after a newer one.
  bool versionsOnlyGrew() const {
    for (const auto &Balancer : Balancers)
      for (const auto &[Service, Versions] : Balancer->AppliedVersions)
        if (!std::is_sorted(Versions.begin(), Versions.end()))
          return false;
    return true;
  }
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_FLEET_SITE_H
