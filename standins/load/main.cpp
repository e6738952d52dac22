// marjoram-load: simulates callers with real TCP and HTTP/2, executes a fault
// plan, and records the outcome of each attempt.

#include "fault_driver.h"
#include "load_run.h"
#include "marjoramrail/logging.h"

#include <glog/logging.h>
#include <iostream>

using namespace marjoramrail;
using namespace marjoramrail::standins;

static result<void> run(const std::string &Path) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromFile(Path));
  BOOST_LEAF_AUTO(Settings, readLoadSettings(Reader));
  if (onlyCheckSettings())
    return {};
  event_loop Loop;
  attempt_log Log(Settings.Folder + "/attempts-" +
                  std::to_string(Settings.Seed) + ".jsonl");
  tcp_stack *Receiver = nullptr;
  udp_socket Socket(Loop, [&](std::span<const datagram> Batch) {
    for (const datagram &Packet : Batch)
      Receiver->input(Packet.Bytes);
  });
  BOOST_LEAF_CHECK(Socket.open(Settings.Local));
  tcp_stack_settings Stacking;
  Stacking.Seed = static_cast<std::uint32_t>(Settings.Seed);
  tcp_stack Stack(Loop.timers(), Stacking,
                  [&](std::span<const std::uint8_t> Packet) {
                    Socket.send(Settings.Fabric, Packet);
                  });
  Receiver = &Stack;
  load_run Run(Loop, Stack, Settings, Log);
  fault_driver Faults(Loop, Settings, [&](const planned_fault &Fault) {
    Log.fault(Fault, Loop.timers().now());
  });
  BOOST_LEAF_CHECK(Faults.open());
  Loop.onTerminate([&] { Loop.stop(); });
  Run.start([&] { Faults.start(); }, [&] { Loop.stop(); });
  Loop.run();
  Log.flush();
  return {};
}

int main(int Argc, char **Argv) {
  const std::string Path = startProgram(
      Argc, Argv, "Opens flows, sends requests and injects faults.");
  startLogging(Argv[0]);
  const auto Failure = failureOf([&] { return run(Path); });
  if (!Failure)
    return 0;
  std::cerr << toText(*Failure) << "\n";
  return 1;
}
