#include "fault_driver.h"

#include <csignal>
#include <fstream>
#include <glog/logging.h>

namespace marjoramrail::standins {

fault_driver::fault_driver(event_loop &Loop, const load_settings &Settings,
                           done_hook OnDone)
    : Loop(Loop), Settings(Settings), OnDone(std::move(OnDone)),
      ToFabric(Loop, [](std::span<const datagram>) {}) {}

result<void> fault_driver::open() {
  return ToFabric.open({Settings.Local.Address, 0});
}

void fault_driver::start() {
  for (const planned_fault &Fault : Settings.Faults)
    Loop.timers().after(Fault.At, [this, &Fault] { execute(Fault); });
}

void fault_driver::execute(const planned_fault &Fault) {
  LOG(INFO) << "load: fault " << nameOf(FaultActionNames, Fault.Action) << " "
            << Fault.Subject << Fault.Argument;
  switch (Fault.Action) {
  case fault_action::Kill:
    signalProcess(Fault.Subject, SIGKILL);
    break;
  case fault_action::Freeze:
    signalProcess(Fault.Subject, SIGSTOP);
    break;
  case fault_action::Thaw:
    signalProcess(Fault.Subject, SIGCONT);
    break;
  case fault_action::Start:
    requestFromScript("start " + Fault.Subject);
    break;
  case fault_action::Step:
    requestFromScript("step " + Fault.Subject);
    break;
  case fault_action::Fabric:
    ToFabric.send(
        Settings.FabricControl,
        {reinterpret_cast<const std::uint8_t *>(Fault.Argument.data()),
         Fault.Argument.size()});
    break;
  case fault_action::Platform:
    putPlatformFaults(Fault.Argument);
    break;
  }
  OnDone(Fault);
}

void fault_driver::signalProcess(const std::string &Name, int Signal) {
  std::ifstream In(Settings.Folder + "/" + Name + ".pid");
  pid_t Pid = 0;
  if (!(In >> Pid) || Pid <= 1 || kill(Pid, Signal) != 0)
    LOG(ERROR) << "load: process " << Name << " cannot be signalled";
}

void fault_driver::requestFromScript(const std::string &Command) {
  std::ofstream(Settings.Folder + "/asked", std::ios::app) << Command << "\n";
}

void fault_driver::putPlatformFaults(const std::string &Json) {
  ToPlatform.emplace_back();
  std::unique_ptr<tcp_stream> &Peer = ToPlatform.back();
  tcp_stream::hooks Hooks;
  Hooks.OnConnected = [Json, &Peer] {
    Peer->write("PUT /v1/faults HTTP/1.1\r\nHost: platform\r\n"
                "Connection: close\r\nContent-Length: " +
                std::to_string(Json.size()) + "\r\n\r\n" + Json);
  };
  Peer = tcp_stream::connect(Loop, Settings.Platform, std::move(Hooks));
}

} // namespace marjoramrail::standins
