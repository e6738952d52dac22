#include "balancer_process.h"
#include "wall_clock.h"

#include <glog/logging.h>

namespace marjoramrail::daemons {

/// How often the core is given the time of the last contact with the fleet; a
/// small fraction of the smallest stale_seconds that the settings allow.
static constexpr duration ContactReportPeriod = std::chrono::milliseconds(200);

balancer_process::balancer_process(event_loop &Loop,
                                   const program_settings &Settings)
    : Loop(Loop), Settings(Settings),
      Events(Settings.Name, wallClockMs, [](const std::string &) {}),
      Port(Loop, Settings.Core),
      Fleet(Loop, Settings,
            [this](const membership &Members) { applyView(Members); }),
      Status(Loop, Metrics, pages()) {
  Port.show(Metrics);
  Fleet.show(Metrics);
}

status_page::hooks balancer_process::pages() {
  status_page::hooks Hooks;
  Hooks.Ready = [this] { return !Stopping && Fleet.node().ready(); };
  Hooks.Pages["/status"] = [this] {
    return Port.core().statusJson(Loop.timers().now());
  };
  Hooks.Pages["/fleet"] = [this] { return Fleet.node().statusJson(); };
  Hooks.Pages["/timeline"] = [this] { return Events.recent(); };
  return Hooks;
}

result<void> balancer_process::open() {
  if (auto Opened = Port.open(Settings.FabricListen); !Opened)
    return Opened.error();
  if (auto Opened = Fleet.open(); !Opened)
    return Opened.error();
  if (auto Opened = Status.open(Settings.StatusListen); !Opened)
    return Opened.error();
  Loop.timers().every(ContactReportPeriod, [this] { reportFleetContact(); });
  record(event_kind::ProcessStarted, "", "settings are in force");
  LOG(INFO) << "balancer: " << Settings.Name << " receiving packets on "
            << toText(Settings.FabricListen);
  return {};
}

void balancer_process::shutDown() {
  Stopping = true;
  Fleet.node().stop();
  record(event_kind::ProcessStopping, "", "asked to stop");
  LOG(INFO) << "balancer: stopping after the grace period";
  Loop.timers().after(Settings.Grace, [this] { Loop.stop(); });
}

void balancer_process::applyView(const membership &Members) {
  const service_view &View = Members.View;
  if (Port.core().setView(View) != view_outcome::Applied)
    return;
  const std::string Version = std::to_string(View.Version);
  LOG(INFO) << "balancer: applied view " << Version << " of " << View.Name;
  record(event_kind::ViewTaken, View.Name, "view " + Version);
}

void balancer_process::reportFleetContact() {
  if (const std::optional<instant> LastReceived = Fleet.node().lastReceived())
    Port.core().noteFleetContact(*LastReceived);
}

void balancer_process::record(event_kind What, const std::string &Service,
                              std::string Why) {
  timeline_event Event;
  Event.What = What;
  Event.Service = Service;
  Event.Why = std::move(Why);
  Events.record(std::move(Event));
}

} // namespace marjoramrail::daemons
