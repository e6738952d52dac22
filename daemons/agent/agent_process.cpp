#include "agent_process.h"
#include "h2_flow_handler.h"
#include "tcp_splice.h"

#include <chrono>
#include <glog/logging.h>
#include <random>

namespace marjoramrail {

using std::chrono::duration_cast;
using std::chrono::system_clock;

/// Unanswered keepalive probes after which a flow is considered unresponsive.
static constexpr unsigned MaxUnansweredProbes = 3;

static std::int64_t wallClockMs() {
  return duration_cast<std::chrono::milliseconds>(
             system_clock::now().time_since_epoch())
      .count();
}

static std::uint32_t seedOf(const agent_settings &Settings) {
  if (Settings.Seed != 0)
    return Settings.Seed;
  return std::random_device()();
}

static constexpr std::int64_t MsPerSecond = 1000;

agent_process::agent_process(event_loop &Loop, const agent_settings &Settings)
    : Loop(Loop), Settings(Settings), Seed(seedOf(Settings)),
      Incarnation(static_cast<std::uint32_t>(wallClockMs() / MsPerSecond)),
      Line(Settings.Name, wallClockMs, [](const std::string &) {}),
      Page(Loop, Metrics, pages()),
      Socket(Loop, [this](auto Batch) { takeBatch(Batch); }),
      Stack(Loop.timers(), {.Seed = Seed},
            [this](auto Packet) { sendAnswer(Packet); }),
      HeartbeatSender(Loop.timers(), heartbeatSettings(), heartbeatHooks()),
      RelayListener(Loop, [this](std::unique_ptr<tcp_stream> Stream) {
        acceptPeer(std::move(Stream));
      }) {
  if (Settings.Platform == endpoint())
    return;
  Platform.emplace(
      Loop, platform_client_settings{{Settings.Platform}, Settings.Name});
  DrainReporter.emplace(Loop.timers(), Platform->api(), Settings.Name,
                        [this] { return describeDrain(); });
}

agent_process::~agent_process() {
  PeerConnections.clear();
  Flows.clear();
}

result<void> agent_process::open() {
  if (auto Done = Socket.open(Settings.RoutedListen); !Done)
    return Done.error();
  if (auto Done = Page.open(Settings.StatusListen); !Done)
    return Done.error();
  if (auto Done = RelayListener.open(Settings.RelayListen); !Done)
    return Done.error();
  registerMetrics();
  Loop.timers().every(flow_owner::TickPeriod, [this] { tick(); });
  record(event_kind::ProcessStarted, "", "agent");
  return {};
}

void agent_process::accept(std::unique_ptr<stack_flow> Flow) {
  const flow_key Key = Flow->key();
  Flow->keepAlive(Settings.SilentFlow / 2,
                  Settings.SilentFlow / 2 / MaxUnansweredProbes,
                  MaxUnansweredProbes);
  record(event_kind::FlowAccepted, toText(Key), "");
  auto OnFlowEnd = [this, Key](handler_end End) { onFlowEnded(Key, End); };
  if (Settings.Protocol == service_protocol::Tcp)
    Flows[Key] = std::make_unique<tcp_splice>(
        Loop, std::move(Flow), Settings.Target, std::move(OnFlowEnd));
  else
    Flows[Key] = std::make_unique<h2_flow_handler>(std::move(Flow), *Proxy,
                                                   std::move(OnFlowEnd));
}

void agent_process::onFlowEnded(const flow_key &Flow, handler_end End) {
  record(event_kind::FlowClosed, toText(Flow), "");
  if (End == handler_end::Closed)
    Owner->flowClosing(Flow, Loop.timers().now());
  else
    Owner->flowRemoved(Flow);
  flow_handler *Side = Flows.at(Flow).get();
  Loop.defer([this, Flow, Side] {
    // The caller may have reused its port for a new flow meanwhile.
    const auto Found = Flows.find(Flow);
    if (Found != Flows.end() && Found->second.get() == Side)
      Flows.erase(Found);
    if (Stopping)
      finishIfIdle();
  });
}

/// New flows are routed to other hosts, callers are sent GOAWAY, and requests
/// in progress are finished.
void agent_process::drain(const std::string &Why) {
  if (std::exchange(Draining, true))
    return;
  LOG(INFO) << "agent: draining " << Flows.size() << " flows, requested by "
            << Why;
  record(event_kind::TargetDraining, "", Why);
  DrainingSinceMs = wallClockMs();
  if (Owner) {
    Owner->drain();
    Proxy->drain();
  }
  HeartbeatSender.sendNow();
  for (auto &[Flow, Side] : Flows)
    Side->drain();
}

/// The operators undid their drain.
void agent_process::resume() {
  if (Stopping || !std::exchange(Draining, false))
    return;
  LOG(INFO) << "agent: drain undone, accepting new flows again";
  record(event_kind::DrainUndone, "", "the fleet's view");
  Owner->resume();
  Proxy->resume();
}

std::optional<drain_status> agent_process::describeDrain() const {
  if (!Draining)
    return std::nullopt;
  drain_status Status;
  Status.Host = Settings.Name;
  Status.Flows = static_cast<std::uint32_t>(Flows.size());
  Status.Requests = static_cast<std::uint32_t>(Proxy ? Proxy->inProgress() : 0);
  Status.SafeToStop = Status.Flows == 0 && Status.Requests == 0;
  Status.SinceMs = DrainingSinceMs;
  return Status;
}

void agent_process::terminate() {
  record(event_kind::ProcessStopping, "", "SIGTERM");
  Stopping = true;
  drain("SIGTERM");
  Loop.timers().after(Settings.DrainBound, [this] {
    LOG(WARNING) << "agent: stopping with " << Flows.size()
                 << " flows still open";
    Loop.stop();
  });
  finishIfIdle();
}

void agent_process::finishIfIdle() {
  if (!Flows.empty() || (Proxy && Proxy->inProgress() > 0))
    return;
  if (std::exchange(Finished, true))
    return;
  record(event_kind::DrainDone, "", "no flows left");
  LOG(INFO) << "agent: drain finished, no flows left";
  // Let the last packets to callers and the last heartbeat be sent first.
  Loop.timers().after(flow_owner::TickPeriod, [this] { Loop.stop(); });
}

} // namespace marjoramrail
