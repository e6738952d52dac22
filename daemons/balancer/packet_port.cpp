#include "packet_port.h"

namespace marjoramrail::daemons {

packet_port::packet_port(event_loop &Loop, const balancer_settings &Settings)
    : Loop(Loop), Socket(Loop, [this](auto Batch) { receive(Batch); }),
      Core(Settings, {.Send = [this](const endpoint &Agent, bytes_view Bytes) {
             Socket.send(Agent, Bytes);
           }}) {}

void packet_port::receive(std::span<const datagram> Batch) {
  const instant Now = Loop.timers().now();
  for (const datagram &Datagram : Batch)
    Core.onDatagram(Datagram.From, Datagram.Bytes, Now);
}

void packet_port::show(metrics &Metrics) const {
  const balancer_counters &Counters = Core.counters();
  const auto Show = [&Metrics](const std::string &Name,
                               const std::uint64_t &Value) {
    Metrics.gauge(Name, [&Value] { return static_cast<double>(Value); });
  };
  Show("balancer_packets_new", Counters.New);
  Show("balancer_packets_established", Counters.Established);
  Show("balancer_packets_from_cache", Counters.FromCache);
  Show("balancer_notices_taken", Counters.NoticesAccepted);
  for (const auto &[Fault, Name] : PacketFaultNames)
    if (Fault != packet_fault::None)
      Show("balancer_dropped_" + std::string(Name),
           Counters.Dropped[static_cast<std::size_t>(Fault)]);
  Metrics.gauge("balancer_send_dropped",
                [this] { return static_cast<double>(Socket.dropped()); });
  Metrics.gauge("balancer_view_bytes",
                [this] { return static_cast<double>(Core.bytes()); });
}

} // namespace marjoramrail::daemons
