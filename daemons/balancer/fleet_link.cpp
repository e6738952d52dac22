#include "fleet_link.h"
#include "wall_clock.h"

#include <glog/logging.h>

namespace marjoramrail::daemons {

fleet_link::fleet_link(event_loop &Loop, const program_settings &Settings,
                       view_hook OnView)
    : Settings(Settings), Socket(Loop, [this](auto Batch) { receive(Batch); }),
      Platform(Loop, {.Servers = Settings.Platform, .Writer = Settings.Name}),
      Node(Loop.timers(), Platform.api(), nodeSettings(),
           nodeHooks(std::move(OnView))) {}

fleet_settings fleet_link::nodeSettings() const {
  constexpr std::int64_t MsPerSecond = 1000;
  fleet_settings Node;
  Node.Name = Settings.Name;
  Node.Zone = Settings.Zone;
  Node.Control = Settings.ControlListen;
  Node.Seeds = Settings.Balancers;
  Node.Seed = std::hash<std::string>()(Settings.Name);
  Node.Incarnation = static_cast<std::uint32_t>(wallClockMs() / MsPerSecond);
  return Node;
}

fleet_hooks fleet_link::nodeHooks(view_hook OnView) {
  fleet_hooks Hooks;
  Hooks.Send = [this](const endpoint &To, fleet_bytes Bytes) {
    Socket.send(To, Bytes);
  };
  Hooks.OnView = std::move(OnView);
  Hooks.WallClockMs = wallClockMs;
  Hooks.Note = [](const std::string &Text) { LOG(INFO) << "fleet: " << Text; };
  return Hooks;
}

void fleet_link::receive(std::span<const datagram> Batch) {
  for (const datagram &Datagram : Batch) {
    if (Settings.ControlPeers.allows(Datagram.From))
      Node.input(Datagram.From, Datagram.Bytes);
    else
      ++ForeignDatagrams;
  }
}

void fleet_link::show(metrics &Metrics) const {
  const fleet_counters &Counters = Node.counters();
  const auto Show = [&Metrics](const char *Name, const std::uint64_t &Value) {
    Metrics.gauge(Name, [&Value] { return static_cast<double>(Value); });
  };
  Show("fleet_bytes_sent", Counters.BytesSent);
  Show("fleet_bytes_received", Counters.BytesReceived);
  Show("fleet_faults", Counters.DecodeErrors);
  Show("fleet_put_off", Counters.Deferred);
  Show("fleet_platform_calls", Counters.PlatformCalls);
  Show("fleet_platform_writes", Counters.PlatformWrites);
  Show("fleet_writes_fenced", Counters.WritesFenced);
  Show("fleet_writes_resolved", Counters.WritesResolved);
  Show("fleet_hosts_declared_down", Counters.HostsDeclaredDead);
  Show("fleet_older_ignored", Counters.StaleIgnored);
  Show("fleet_foreign_datagrams", ForeignDatagrams);
}

} // namespace marjoramrail::daemons
