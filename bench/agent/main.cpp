//===- main.cpp - Benchmark of the agent ------------------------*- C++ -*-===//
///
/// \file
/// Measures one agent process over loopback: the throughput of one stream, the
/// memory of idle flows, and the CPU time of an echo and how it grows with the
/// number of open flows. Callers use lwIP too, in a separate process.
///
//===----------------------------------------------------------------------===//

#include "bench_caller.h"

#include <cstdio>
#include <thread>

using namespace marjoramrail;
using namespace marjoramrail::bench;

namespace {

constexpr std::size_t ManyFlows = 2000;
constexpr std::size_t FewFlows = 200;
constexpr std::size_t Echoes = 20000;
constexpr std::uint64_t StreamBytes = 400'000'000;

void print(const char *Name, double Value, const char *Unit) {
  std::printf("bench: %s %.3f %s\n", Name, Value, Unit);
  std::fflush(stdout);
}

void settle() { std::this_thread::sleep_for(std::chrono::milliseconds(300)); }

double echoCost(bench_caller &Caller, pid_t Agent) {
  const duration Before = cpuOf(Agent);
  Caller.echo(Echoes);
  return double((cpuOf(Agent) - Before).count()) / Echoes;
}

bool measureTcp() {
  const pid_t Target = startTarget();
  const pid_t Agent = startAgent(service_protocol::Tcp);
  settle();
  bench_caller Caller;
  if (!Caller.open())
    return false;
  const duration CpuBefore = cpuOf(Agent);
  const duration Took = Caller.receive(StreamBytes);
  const duration Cpu = cpuOf(Agent) - CpuBefore;
  print("agent_stream_mb_s", double(StreamBytes) / double(Took.count()),
        "MB/s");
  print("agent_stream_cpu_share", double(Cpu.count()) / double(Took.count()),
        "cores");
  const std::size_t Idle = memoryOf(Agent);
  Caller.openFlows(FewFlows);
  const double Few = echoCost(Caller, Agent);
  const std::size_t Left = ManyFlows - Caller.openCount();
  Caller.openFlows(Left);
  print("agent_idle_flow_bytes",
        double(memoryOf(Agent) - Idle) / double(ManyFlows), "B");
  const double Many = echoCost(Caller, Agent);
  print("agent_echo_us_200_flows", Few, "us");
  print("agent_echo_us_2000_flows", Many, "us");
  print("agent_echo_slope", (Many - Few) * 1000 / double(ManyFlows - FewFlows),
        "us/1000flows");
  stop(Agent);
  stop(Target);
  return true;
}

bool measureHttp2() {
  const pid_t Agent = startAgent(service_protocol::Http2);
  settle();
  bench_caller Caller;
  if (!Caller.open())
    return false;
  const std::size_t Idle = memoryOf(Agent);
  Caller.openFlows(ManyFlows);
  Caller.startSessions();
  print("agent_h2_idle_flow_bytes",
        double(memoryOf(Agent) - Idle) / double(ManyFlows), "B");
  stop(Agent);
  return true;
}

} // namespace

int main() { return measureTcp() && measureHttp2() ? 0 : 1; }
