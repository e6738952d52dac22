// The fabric stand-in: distributes callers' packets over the balancers at
// random and returns the agents' answers, with simulated faults that can be
// changed while it runs (see control_message.h).
//
// Settings: callers_listen, agents_listen, control_listen, status_listen,
// balancers, seed, drop_percent, delay_ms, jitter_ms.

#include "control_message.h"
#include "marjoramrail/logging.h"
#include "marjoramrail/runtime.h"

#include <glog/logging.h>
#include <iostream>

using namespace marjoramrail;
using namespace marjoramrail::standins;

namespace {

struct program_settings {
  endpoint CallersListen;
  endpoint AgentsListen;
  endpoint ControlListen;
  endpoint StatusListen;
  std::vector<endpoint> Balancers;
  std::uint64_t Seed = 1;
  fabric_faults Faults;
};

result<program_settings> readSettings(const std::string &Path) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  program_settings Settings;
  Settings.CallersListen = Reader.address("callers_listen");
  Settings.AgentsListen = Reader.address("agents_listen");
  Settings.ControlListen = Reader.address("control_listen");
  Settings.StatusListen = Reader.address("status_listen");
  Settings.Balancers = Reader.addresses("balancers", /*Required=*/true);
  Settings.Seed =
      static_cast<std::uint64_t>(Reader.number("seed", 1, 0, 1LL << 62));
  Settings.Faults.DropPercent =
      static_cast<double>(Reader.number("drop_percent", 0, 0, 100));
  Settings.Faults.Delay =
      std::chrono::milliseconds(Reader.number("delay_ms", 0, 0, 60000));
  Settings.Faults.Jitter =
      std::chrono::milliseconds(Reader.number("jitter_ms", 0, 0, 60000));
  if (auto Finished = Reader.finish(); !Finished)
    return Finished.error();
  return Settings;
}

/// Connects the model to its three sockets, the timer and the status page.
class fabric_process {
public:
  fabric_process(event_loop &Loop, const program_settings &Settings)
      : Loop(Loop), Settings(Settings),
        Model(
            Settings.Seed,
            [this](fabric_side Side, const endpoint &To, bytes_view Bytes) {
              (Side == fabric_side::Callers ? Callers : Agents).send(To, Bytes);
            }),
        Callers(
            Loop,
            [this](auto Batch) { receive(Batch, &fabric_model::fromCaller); }),
        Agents(
            Loop,
            [this](auto Batch) { receive(Batch, &fabric_model::fromAgent); }),
        Control(Loop, [this](auto Batch) { control(Batch); }),
        Status(Loop, Metrics, {}) {
    Model.setBalancers(Settings.Balancers);
    Model.faults() = Settings.Faults;
    exportCounters();
  }

  result<void> open() {
    if (auto Opened = Callers.open(Settings.CallersListen); !Opened)
      return Opened.error();
    if (auto Opened = Agents.open(Settings.AgentsListen); !Opened)
      return Opened.error();
    if (auto Opened = Control.open(Settings.ControlListen); !Opened)
      return Opened.error();
    return Status.open(Settings.StatusListen);
  }

private:
  using packet_handler = void (fabric_model::*)(const endpoint &, bytes_view,
                                                instant);

  void receive(std::span<const datagram> Batch, packet_handler Handler) {
    const instant Now = Loop.timers().now();
    for (const datagram &Datagram : Batch)
      (Model.*Handler)(Datagram.From, Datagram.Bytes, Now);
    arm();
  }

  /// Starts one timer for all delayed packets. Packets due within its minimum
  /// period are sent together, so that the process does not wake up once per
  /// packet under load.
  void arm() {
    const auto Due = Model.nextDue();
    if (Armed || !Due)
      return;
    constexpr duration MinPeriod = std::chrono::microseconds(200);
    const duration Delay = std::max(MinPeriod, *Due - Loop.timers().now());
    Armed = true;
    Loop.timers().after(Delay, [this] {
      Armed = false;
      Model.deliverDue(Loop.timers().now());
      arm();
    });
  }

  void control(std::span<const datagram> Batch) {
    for (const datagram &Datagram : Batch) {
      const std::string Text(Datagram.Bytes.begin(), Datagram.Bytes.end());
      const std::string Answer = applyControl(Model, Text);
      LOG(INFO) << "fabric: " << Text << " -> " << Answer;
      Control.send(Datagram.From,
                   {reinterpret_cast<const std::uint8_t *>(Answer.data()),
                    Answer.size()});
    }
  }

  void exportCounters() {
    const fabric_counters &Counters = Model.counters();
    const auto Export = [this](const char *Name, const std::uint64_t &Value) {
      Metrics.gauge(Name, [&Value] { return static_cast<double>(Value); });
    };
    Export("fabric_from_callers", Counters.FromCallers);
    Export("fabric_from_agents", Counters.FromAgents);
    Export("fabric_delivered", Counters.Delivered);
    Export("fabric_dropped", Counters.Dropped);
    Export("fabric_cut", Counters.Cut);
    Export("fabric_duplicated", Counters.Duplicated);
    Export("fabric_unreadable", Counters.Malformed);
    Export("fabric_unknown_caller", Counters.UnknownCaller);
    Export("fabric_no_balancer", Counters.NoBalancer);
  }

  event_loop &Loop;
  program_settings Settings;
  metrics Metrics;
  fabric_model Model;
  udp_socket Callers;
  udp_socket Agents;
  udp_socket Control;
  status_page Status;
  bool Armed = false;
};

result<void> serve(const std::string &Path) {
  BOOST_LEAF_AUTO(Settings, readSettings(Path));
  if (onlyCheckSettings())
    return {};
  event_loop Loop;
  fabric_process Process(Loop, Settings);
  if (auto Opened = Process.open(); !Opened)
    return Opened.error();
  Loop.onTerminate([&] { Loop.stop(); });
  LOG(INFO) << "fabric: listening for callers' packets on "
            << toText(Settings.CallersListen);
  Loop.run();
  return {};
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string Path = startProgram(
      Argc, Argv, "Simulates the network between callers and balancers.");
  startLogging(Argv[0]);
  const auto Failure = failureOf([&] { return serve(Path); });
  if (!Failure)
    return 0;
  std::cerr << toText(*Failure) << "\n";
  return 1;
}
