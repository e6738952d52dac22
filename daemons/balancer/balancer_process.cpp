#include "balancer_process.h"

#include <glog/logging.h>
#include <iostream>

namespace marjoramrail::daemons {

static std::int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

balancer_process::balancer_process(event_loop &Loop, program_settings Settings)
    : Loop(Loop), Settings(std::move(Settings)),
      Events(this->Settings.Name, wallClockMs,
             [](const std::string &Line) { std::cout << Line << std::endl; }),
      Fabric(Loop, [this](auto Batch) { receive(Batch); }),
      Core(this->Settings.Core,
           {.Send = [this](const endpoint &Agent,
                           bytes_view Bytes) { Fabric.send(Agent, Bytes); }}),
      Status(Loop, Metrics,
             {.Ready = [this] { return !Stopping && Core.services() != 0; },
              .Pages = {{"/status",
                         [this] {
                           return Core.statusJson(this->Loop.timers().now());
                         }},
                        {"/timeline", [this] { return Events.recent(); }}}}) {
  countFaults();
}

result<void> balancer_process::open() {
  if (auto Opened = Fabric.open(Settings.FabricListen); !Opened)
    return Opened.error();
  if (auto Opened = Status.open(Settings.StatusListen); !Opened)
    return Opened.error();
  record(event_kind::ProcessStarted, "", "settings are in force");
  for (const service_view &View : Settings.StaticViews)
    takeView(View);
  LOG(INFO) << "balancer: " << Settings.Name << " takes packets on "
            << toText(Settings.FabricListen);
  return {};
}

void balancer_process::shutDown() {
  Stopping = true;
  record(event_kind::ProcessStopping, "", "asked to stop");
  LOG(INFO) << "balancer: stops after the grace period";
  Loop.timers().after(Settings.Grace, [this] { Loop.stop(); });
}

void balancer_process::takeView(const service_view &View) {
  if (Core.setView(View) != view_outcome::Taken)
    return;
  const std::string Version = std::to_string(View.Version);
  LOG(INFO) << "balancer: took view " << Version << " of " << View.Name;
  record(event_kind::ViewTaken, View.Name, "view " + Version);
}

void balancer_process::receive(std::span<const datagram> Batch) {
  const instant Now = Loop.timers().now();
  for (const datagram &Datagram : Batch)
    Core.onDatagram(Datagram.From, Datagram.Bytes, Now);
}

void balancer_process::record(event_kind What, const std::string &Service,
                              std::string Why) {
  timeline_event Event;
  Event.What = What;
  Event.Service = Service;
  Event.Why = std::move(Why);
  Events.record(std::move(Event));
}

void balancer_process::countFaults() {
  const balancer_counters &Counters = Core.counters();
  const auto Show = [this](const std::string &Name,
                           const std::uint64_t &Value) {
    Metrics.gauge(Name, [&Value] { return static_cast<double>(Value); });
  };
  Show("balancer_packets_new", Counters.New);
  Show("balancer_packets_established", Counters.Established);
  Show("balancer_packets_from_cache", Counters.FromCache);
  Show("balancer_notices_taken", Counters.NoticesTaken);
  for (const auto &[Fault, Name] : PacketFaultNames)
    if (Fault != packet_fault::None)
      Show("balancer_dropped_" + std::string(Name),
           Counters.Dropped[static_cast<std::size_t>(Fault)]);
  Metrics.gauge("balancer_send_dropped",
                [this] { return static_cast<double>(Fabric.dropped()); });
  Metrics.gauge("balancer_view_bytes",
                [this] { return static_cast<double>(Core.bytes()); });
}

} // namespace marjoramrail::daemons
