//===- main.cpp - marjoramrail-agent ----------------------------*- C++ -*-===//
///
/// \file
/// The agent beside one target. It owns the callers' flows that balancers route
/// to it and forwards their bytes or requests to the target.
///
//===----------------------------------------------------------------------===//

#include "agent_process.h"
#include "marjoramrail/logging.h"

#include <glog/logging.h>
#include <iostream>

using namespace marjoramrail;

static result<void> serve(const std::string &Path) {
  BOOST_LEAF_AUTO(Settings, readAgentSettings(Path));
  if (onlyCheckSettings())
    return {};
  event_loop Loop;
  agent_process Agent(Loop, Settings);
  if (auto Done = Agent.open(); !Done)
    return Done.error();
  Loop.onTerminate([&] { Agent.terminate(); });
  LOG(INFO) << "agent: " << Settings.Name << " of " << Settings.Service
            << " listening on " << toText(Settings.RoutedListen);
  Loop.run();
  return {};
}

int main(int Argc, char **Argv) {
  const std::string Path =
      startProgram(Argc, Argv, "Owns the callers' flows of one target host.");
  startLogging(Argv[0]);
  const auto Failure = failureOf([&] { return serve(Path); });
  if (!Failure)
    return 0;
  std::cerr << toText(*Failure) << "\n";
  return 1;
}
