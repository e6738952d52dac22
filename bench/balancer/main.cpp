// Measures the packets per second that the daemon's socket and core handle on
// one thread over loopback, and the memory that flows need.

#include "bench/balancer/packet_source.h"
#include "packet_port.h"

#include <chrono>
#include <cstdio>
#include <ctime>

using namespace marjoramrail;
using namespace marjoramrail::bench;
using namespace marjoramrail::daemons;

static constexpr std::uint32_t Hosts = 7;
static const endpoint Ledger{0x0a640001, 443};

static service_view viewTo(const endpoint &Agents) {
  service_view View;
  View.Id = service_id(1);
  View.Address = Ledger;
  View.Version = 1;
  // More generations than usual, as after several days of changes.
  constexpr std::uint64_t Generations = 4;
  for (std::uint32_t I = 0; I < Hosts; ++I)
    View.Targets.push_back({host_id(I), Agents, zone_id(0), {}, 1});
  for (std::uint64_t G = Generations; G > 0; --G) {
    generation Generation{G, {}};
    for (std::uint32_t I = 0; I < Hosts; ++I)
      Generation.Members.push_back({host_id(I), MaxWeight});
    View.Generations.push_back(Generation);
  }
  return View;
}

static double threadSeconds() {
  timespec Spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Spent);
  return static_cast<double>(Spent.tv_sec) +
         static_cast<double>(Spent.tv_nsec) * 1e-9;
}

static std::uint64_t routed(const balancer_counters &Counters) {
  return Counters.New + Counters.Established;
}

static void measurePackets(const char *Name, bool Syn, std::size_t Payload) {
  using clock = std::chrono::steady_clock;
  constexpr std::uint32_t Flows = 20000;
  constexpr auto WarmUp = std::chrono::milliseconds(500);
  constexpr auto Length = std::chrono::seconds(2);
  event_loop Loop;
  const discard_socket Agents;
  packet_port Port(Loop, {});
  if (!Port.open({0x7f000001, 0}))
    return;
  Port.core().setView(viewTo(Agents.local()));
  Port.core().noteFleetContact(Loop.timers().now());
  std::vector<std::vector<std::uint8_t>> Packets;
  for (std::uint32_t I = 0; I < Flows; ++I)
    Packets.push_back(callerPacket(Ledger, I, Syn, Payload));
  const packet_source Source(Port.local(), std::move(Packets));
  std::uint64_t First = 0;
  double FirstCpu = 0;
  clock::time_point Start;
  Loop.timers().after(WarmUp, [&] {
    First = routed(Port.core().counters());
    FirstCpu = threadSeconds();
    Start = clock::now();
  });
  Loop.timers().after(WarmUp + Length, [&] { Loop.stop(); });
  Loop.run();
  const auto Count =
      static_cast<double>(routed(Port.core().counters()) - First);
  const std::chrono::duration<double> Wall = clock::now() - Start;
  std::printf("bench: %s %.0f packets/s\n", Name, Count / Wall.count());
  std::printf("bench: %s_per_cpu_second %.0f packets/s\n", Name,
              Count / (threadSeconds() - FirstCpu));
}

/// Measures the memory before and after half a million flows whose owners were
/// all reported. They exceed the cache capacity many times over.
static void measureMemory() {
  constexpr std::uint32_t Flows = 500000;
  const endpoint Agent{0x0a010001, 7000};
  balancer_core Core({}, {.Send = [](const endpoint &, bytes_view) {}});
  Core.setView(viewTo(Agent));
  const std::size_t Before = Core.bytes();
  std::array<std::uint8_t, OwnerNoticeBytes> Notice{};
  for (std::uint32_t I = 0; I < Flows; ++I) {
    const auto Packet = callerPacket(Ledger, I, false, 0);
    Core.onDatagram({}, Packet, instant());
    tcp_packet Parsed;
    parseTcpPacket(Packet, Parsed);
    encodeOwnerNotice({service_id(1), 1, Parsed.Flow, Agent}, Notice);
    Core.onDatagram(Agent, Notice, instant());
  }
  std::printf("bench: balancer_bytes %.0f bytes\n",
              static_cast<double>(Core.bytes()));
  std::printf("bench: balancer_bytes_grown_by_flows %.0f bytes\n",
              static_cast<double>(Core.bytes() - Before));
}

int main() {
  measurePackets("daemon_pps", /*Syn=*/false, /*Payload=*/100);
  measurePackets("daemon_pps_1000_bytes", /*Syn=*/false, /*Payload=*/1000);
  measurePackets("daemon_new_flows_per_second", /*Syn=*/true, /*Payload=*/0);
  measureMemory();
}
