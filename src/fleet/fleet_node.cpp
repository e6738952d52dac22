#include "fleet/node_impl.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

// By value, as all cores take their dependencies.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
fleet_node::fleet_node(timer_service &Timers, platform_api Platform,
                       fleet_settings Settings, fleet_hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, Platform, std::move(Settings),
                                  std::move(Hooks))) {}

fleet_node::~fleet_node() = default;

void fleet_node::input(const endpoint &From, fleet_bytes Bytes) {
  Impl->input(From, Bytes);
}

void fleet_node::stop() {
  if (Impl->Stopped)
    return;
  Impl->Stopped = true;
  for (const auto &Lease : Impl->Leases)
    Lease->release();
  Impl->Feed.stop();
  Impl->Gossip.leave();
}

const membership *fleet_node::find(const std::string &Service) const {
  return Impl->Views.find(Service);
}

std::vector<std::string> fleet_node::services() const {
  return Impl->Views.names();
}

std::vector<balancer_info> fleet_node::balancers() const {
  return Impl->Peers.living();
}

std::vector<std::uint32_t> fleet_node::heldShards() const {
  std::vector<std::uint32_t> Held;
  for (std::uint32_t I = 0; I < Impl->Leases.size(); ++I)
    if (Impl->Leases[I]->holds())
      Held.push_back(I);
  return Held;
}

bool fleet_node::ready() const { return Impl->Views.size() > 0; }

std::optional<instant> fleet_node::lastReceived() const {
  return Impl->LastReceived;
}

const fleet_counters &fleet_node::counters() const { return Impl->Counters; }

std::string fleet_node::statusJson() const {
  using json = nlohmann::json;
  json Balancers = json::array();
  for (const balancer_info &Peer : Impl->Peers.living())
    Balancers.push_back(
        {{"name", Peer.Name}, {"control", toText(Peer.Control)}});
  json Views = json::object();
  for (const auto &[Name, Members] : Impl->Views.all())
    Views[Name] = {{"version", Members.View.Version}, {"term", Members.Term}};
  return json{{"name", Impl->Settings.Name},
              {"duties", heldShards()},
              {"balancers", Balancers},
              {"views", Views}}
      .dump(2);
}

} // namespace marjoramrail
