//===- bench_caller.h - Callers and the fabric in one process ---*- C++ -*-===//

#ifndef MARJORAMRAIL_BENCH_AGENT_BENCH_CALLER_H
#define MARJORAMRAIL_BENCH_AGENT_BENCH_CALLER_H

#include "bench_children.h"
#include "marjoramrail/stack.h"

namespace marjoramrail::bench {

/// Opens flows to the agent, whose packets it frames as a balancer would.
class bench_caller {
public:
  bench_caller();

  result<void> open();

  /// Opens \p Count flows beyond those there are and waits for them.
  void openFlows(std::size_t Count);

  /// Sends 100 bytes on \p Rounds flows in turn and waits for each echo.
  void echo(std::size_t Rounds);

  /// Asks for \p Bytes on a flow of its own; returns the time they took.
  duration receive(std::uint64_t Bytes);

  /// Starts an HTTP/2 session on every flow and lets it settle.
  void startSessions();

  std::size_t openCount() const { return Connected; }

private:
  void send(std::span<const std::uint8_t> Packet);
  stack_flow::hooks hooksOf(std::size_t Index);
  void runUntil(const std::function<bool()> &Done);

  event_loop Loop;
  udp_socket Socket;
  tcp_stack Stack;
  std::vector<std::unique_ptr<stack_flow>> Flows;
  std::size_t Connected = 0;
  std::uint64_t Received = 0;
};

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_AGENT_BENCH_CALLER_H
