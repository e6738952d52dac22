//===- fault_driver.h - Executes the fault plan -----------------*- C++ -*-===//
///
/// \file
/// Sends signals to processes, found by the pid files that scripts/site wrote,
/// and control messages to the fabric and platform stand-ins. Faults that need
/// a new process are requested from scripts/site, because this process starts
/// none.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_FAULT_DRIVER_H
#define MARJORAMRAIL_STANDINS_FAULT_DRIVER_H

#include "load_settings.h"

#include <list>

namespace marjoramrail::standins {

/// Executes each planned fault at its time.
class fault_driver {
public:
  using done_hook = std::function<void(const planned_fault &)>;

  fault_driver(event_loop &Loop, const load_settings &Settings,
               done_hook OnDone);

  /// Opens the socket for control messages to the fabric.
  result<void> open();
  /// Starts a timer per fault; the times of the plan count from now.
  void start();

private:
  void execute(const planned_fault &Fault);
  void signalProcess(const std::string &Name, int Signal);
  void requestFromScript(const std::string &Command);
  void putPlatformFaults(const std::string &Json);

  event_loop &Loop;
  const load_settings &Settings;
  done_hook OnDone;
  udp_socket ToFabric;
  std::list<std::unique_ptr<tcp_stream>> ToPlatform;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_FAULT_DRIVER_H
