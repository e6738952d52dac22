//===- fault_driver.h - Carries out the fault plan --------------*- C++ -*-===//
///
/// \file
/// Signals processes by the pid files that the starting script wrote, talks to
/// the fabric and the platform stand-in, and asks the script for what needs a
/// new process, since this one starts none.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_FAULT_DRIVER_H
#define MARJORAMRAIL_STANDINS_FAULT_DRIVER_H

#include "load_settings.h"

#include <list>

namespace marjoramrail::standins {

class fault_driver {
public:
  using done_hook = std::function<void(const planned_fault &)>;

  fault_driver(event_loop &Loop, const load_settings &Settings,
               done_hook OnDone);

  /// Opens the socket to the fabric.
  result<void> open();
  /// Sets a timer per fault, counted from now.
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
