#include "bench_children.h"
#include "agent_process.h"

#include <csignal>
#include <ctime>
#include <fstream>
#include <list>
#include <sys/wait.h>
#include <unistd.h>

namespace marjoramrail::bench {

namespace {

constexpr std::size_t ChunkBytes = 128 * 1024;

/// One connection of the target: echoes, or sends the requested number of
/// bytes.
class target_connection {
public:
  explicit target_connection(std::unique_ptr<tcp_stream> Taken)
      : Stream(std::move(Taken)) {
    tcp_stream::hooks Hooks;
    Hooks.OnData = [this](std::string_view Bytes) { take(Bytes); };
    Hooks.OnDrained = [this] { sendMore(); };
    Stream->setHooks(std::move(Hooks));
  }

private:
  void take(std::string_view Bytes) {
    constexpr std::string_view Asked = "send ";
    if (!Bytes.starts_with(Asked))
      return Stream->write(Bytes);
    Left = std::stoull(std::string(Bytes.substr(Asked.size())));
    sendMore();
  }

  void sendMore() {
    while (Left > 0 && Stream->queued() < ChunkBytes) {
      const std::size_t Size = std::min<std::size_t>(Left, ChunkBytes);
      Stream->write(std::string(Size, 'd'));
      Left -= Size;
    }
  }

  std::unique_ptr<tcp_stream> Stream;
  std::uint64_t Left = 0;
};

int serveTarget() {
  event_loop Loop;
  std::list<target_connection> Connections;
  tcp_listener Listener(Loop, [&](std::unique_ptr<tcp_stream> Stream) {
    Connections.emplace_back(std::move(Stream));
  });
  if (!Listener.open(TargetListen))
    return 1;
  Loop.run();
  return 0;
}

membership viewOfOne() {
  membership Members;
  service_view &View = Members.View;
  View.Id = service_id(1);
  View.Name = "bench";
  View.Address = ServiceAddress;
  View.Version = 1;
  View.Targets = {
      {host_id(1), AgentRouted, zone_id(1), target_state::Ready, 1}};
  View.Generations = {{1, {{host_id(1), 100}}}};
  Members.Info = {{"bench-1", AgentRelay, 4}};
  return Members;
}

int serveAgent(service_protocol Protocol) {
  agent_settings Settings;
  Settings.Name = "bench-1";
  Settings.Service = "bench";
  Settings.Zone = "bench";
  Settings.RoutedListen = AgentRouted;
  Settings.RelayListen = AgentRelay;
  Settings.StatusListen = AgentStatus;
  Settings.FabricReturn = FabricReturn;
  Settings.Target = TargetListen;
  Settings.Protocol = Protocol;
  event_loop Loop;
  agent_process Agent(Loop, Settings);
  if (!Agent.open())
    return 1;
  Agent.applyView(viewOfOne());
  Loop.run();
  return 0;
}

template <typename Body> pid_t startChild(Body Serve) {
  const pid_t Child = fork();
  if (Child == 0)
    _exit(Serve());
  return Child;
}

} // namespace

pid_t startTarget() { return startChild(serveTarget); }

pid_t startAgent(service_protocol Protocol) {
  return startChild([Protocol] { return serveAgent(Protocol); });
}

void stop(pid_t Child) {
  kill(Child, SIGKILL);
  waitpid(Child, nullptr, 0);
}

duration cpuOf(pid_t Child) {
  clockid_t Clock{};
  timespec Time{};
  if (clock_getcpuclockid(Child, &Clock) != 0 ||
      clock_gettime(Clock, &Time) != 0)
    return duration::zero();
  return std::chrono::duration_cast<duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

std::size_t memoryOf(pid_t Child) {
  std::ifstream File("/proc/" + std::to_string(Child) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace marjoramrail::bench
