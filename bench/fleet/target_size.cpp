#include "target_size.h"

#include "fleet/applied_tree.h"
#include "fleet/fake_platform.h"
#include "fleet/membership_codec.h"
#include "fleet/platform_feed.h"
#include "fleet/rendezvous.h"
#include "measure.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace marjoramrail::bench {

using namespace internal;

namespace {

constexpr std::uint32_t Nodes = 12000;
constexpr std::uint32_t Services = 46000;
constexpr std::uint32_t Hosts = 130000;
constexpr std::uint32_t Shards = 64;

std::string serviceName(std::uint32_t Number) {
  return "service" + std::to_string(Number);
}

membership makeMembers(std::uint32_t Number) {
  membership Members;
  Members.View.Id = service_id{Number + 1};
  Members.View.Name = serviceName(Number);
  Members.View.Address = {0x0a000000U + Number, 443};
  Members.View.Version = 3;
  Members.Term = 2;
  generation Generation{2, {}};
  const std::uint32_t First = Number * Hosts / Services;
  const std::uint32_t Last = (Number + 1) * Hosts / Services;
  for (std::uint32_t Host = First; Host < Last; ++Host) {
    target Target;
    Target.Id = host_id{Host * 2654435761U};
    Target.Agent = {0x0b000000U + Host, 4000};
    Target.Incarnation = 1760000000U + Host;
    Members.View.Targets.push_back(Target);
    target_info Info;
    Info.Host = "host-" + std::to_string(Host);
    Info.Relay = Target.Agent;
    Info.Slots = 4;
    Members.Info.push_back(Info);
    Generation.Members.push_back({Target.Id, MaxWeight});
  }
  Members.View.Generations.push_back(Generation);
  return Members;
}

template <typename Callable> double microsPer(int Times, Callable &&Work) {
  const double Start = cpuSeconds();
  for (int I = 0; I < Times; ++I)
    Work();
  return (cpuSeconds() - Start) * 1e6 / Times;
}

void measureViews() {
  const double Before = heapBytes();
  view_store Views;
  for (std::uint32_t I = 0; I < Services; ++I)
    Views.take(makeMembers(I));
  print("target_views_mb", (heapBytes() - Before) / 1e6, "MB");
  print("target_views_digest_us", microsPer(100, [&] { Views.digest(); }),
        "us");
  print("target_views_bucket_us", microsPer(10, [&] { Views.versionsIn(7); }),
        "us");
  const membership One = makeMembers(7);
  membership Next = One;
  ++Next.View.Version;
  Next.View.Targets[0].State = target_state::Draining;
  Next.View.Generations.insert(Next.View.Generations.begin(),
                               One.View.Generations.front());
  Next.View.Generations.front().Number = 3;
  Next.View.Generations.front().Members.pop_back();
  print("view_full_bytes", static_cast<double>(encode(view_full{One}).size()),
        "B");
  print("view_delta_bytes",
        static_cast<double>(encode(makeDelta(One, Next)).size()), "B");
  host_heartbeat Heartbeat;
  Heartbeat.Service = One.View.Name;
  Heartbeat.Host = One.Info[0].Host;
  Heartbeat.Zone = "zone-1";
  Heartbeat.Agent = Heartbeat.Relay = One.View.Targets[0].Agent;
  Heartbeat.Incarnation = 1760000000U;
  Heartbeat.AssignedHash = 3000000000U;
  Heartbeat.Report = {false, 700, 3, 2, 3};
  print("announcement_bytes", static_cast<double>(encode(Heartbeat).size()),
        "B");
  print("membership_object_bytes", static_cast<double>(toBody(One).size()),
        "B");
}

void measurePeers() {
  const double Before = heapBytes();
  timer_service Timers(instant(std::chrono::seconds(1)));
  peer_table Peers({"balancer-0", "zone-0", {1, 4000}, 1}, 1);
  peer_update Update;
  double Start = cpuSeconds();
  constexpr std::uint32_t Sample = 200;
  for (std::uint32_t I = 1; I < Nodes; ++I) {
    if (I == Nodes - Sample)
      Start = cpuSeconds();
    Update.Info = {"balancer-" + std::to_string(I),
                   "zone-" + std::to_string(I % 17),
                   {I + 1, 4000},
                   1760000000U + I};
    Peers.take(Update, Timers.now());
  }
  print("target_peer_join_us", (cpuSeconds() - Start) * 1e6 / Sample, "us");
  print("target_peers_mb", (heapBytes() - Before) / 1e6, "MB");
  print("target_peers_tick_us",
        microsPer(20, [&] { Peers.tick(Timers.now()); }), "us");
  print("target_pick_us",
        microsPer(20, [&] { pick("host-77", Peers.living(), 3); }), "us");
  const view_store Views;
  applied_tree::hooks Hooks;
  Hooks.Send = [](const endpoint &, const message &) {};
  print("target_tree_us",
        microsPer(3,
                  [&] {
                    applied_tree Tree(Timers, Peers, Views, Hooks);
                    Tree.take({}, applied_report());
                  }),
        "us");
}

void measureController() {
  timer_service Timers(instant(std::chrono::seconds(1)));
  testing::fake_platform Platform(Timers);
  for (std::uint32_t I = 0; I < Services; ++I) {
    service_spec Spec;
    Spec.Name = serviceName(I);
    Spec.Number = service_id{I + 1};
    Spec.Address = {0x0a000000U + I, 443};
    Spec.Zones = {"zone-1", "zone-2", "zone-3"};
    Platform.put("service", Spec.Name, toJson(Spec));
    Platform.put("membership", Spec.Name, toBody(makeMembers(I)));
  }
  const double Before = heapBytes();
  const double Start = cpuSeconds();
  fleet_counters Counters;
  platform_writer Writer(Timers, Platform.api(), "bench:1", Counters);
  shard_controller::hooks Hooks;
  Hooks.HoldsShard = [](const std::string &Service) {
    return shardOf(Service, Shards) == 0;
  };
  Hooks.OnWritten = [](const membership &) {};
  shard_controller Controller(Timers, Writer, Counters, Hooks);
  platform_feed Feed(
      Timers, Platform.api(), Counters,
      [&](const platform_object &Object) { Controller.take(Object); });
  Feed.start();
  Timers.advance(Timers.now() + std::chrono::milliseconds(100));
  print("target_holder_list_s", cpuSeconds() - Start, "s");
  print("target_holder_synced", Feed.synced() ? 1 : 0, "bool");
  malloc_trim(0);
  print("target_holder_mb", (heapBytes() - Before) / 1e6, "MB");
}

} // namespace

void measureTargetSize() {
  measureViews();
  measurePeers();
  measureController();
}

} // namespace marjoramrail::bench
