// The balancer of an entry VM. It receives callers' packets from the fabric and
// sends each to the agents that may own its flow.

#include "balancer_process.h"
#include "marjoramrail/logging.h"

#include <iostream>

using namespace marjoramrail;
using namespace marjoramrail::daemons;

static result<void> serve(const std::string &Path) {
  BOOST_LEAF_AUTO(Settings, readSettings(Path));
  if (onlyCheckSettings())
    return {};
  event_loop Loop;
  balancer_process Process(Loop, Settings);
  if (auto Opened = Process.open(); !Opened)
    return Opened.error();
  Loop.onTerminate([&] { Process.shutDown(); });
  Loop.run();
  return {};
}

int main(int Argc, char **Argv) {
  const std::string Path = startProgram(
      Argc, Argv, "Routes callers' packets to the agents beside the targets.");
  startLogging(Argv[0]);
  const auto Failure = failureOf([&] { return serve(Path); });
  if (!Failure)
    return 0;
  std::cerr << toText(*Failure) << "\n";
  return 1;
}
