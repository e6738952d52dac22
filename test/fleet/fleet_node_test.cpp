#include "fleet/small_fleet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using marjoramrail::testing::small_fleet;
using marjoramrail::testing::test_agent;
using marjoramrail::testing::test_balancer;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> Zones = {"oostende", "brugge", "zeebrugge"};

/// Three balancers before ledger with seven hosts and archive with three.
struct site : small_fleet {
  explicit site(std::uint64_t Seed = 1) : small_fleet(Seed) {
    for (int I = 0; I < 3; ++I)
      addBalancer("balancer-" + std::to_string(I + 1), Zones[I]);
    addService("ledger", 1, 7, Zones);
    addService("archive", 2, 3, Zones);
  }

  bool settle() {
    return runUntil([&] { return agreed("ledger", 7) && agreed("archive", 3); },
                    30s)
        .has_value();
  }
};

} // namespace

TEST_CASE("hosts that announce themselves are in every balancer's view") {
  site Site;

  CHECK(Site.settle());
  CHECK(Site.runUntil(
      [&] {
        return std::all_of(
            Site.Agents.begin(), Site.Agents.end(), [](const auto &Agent) {
              return Agent->View && small_fleet::ready(*Agent->View) >= 3;
            });
      },
      5s));
}
