//===- bench_caller.h - Callers for the agent benchmark ---------*- C++ -*-===//
///
/// \file
/// Simulates callers, a balancer and the fabric in one process.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_AGENT_BENCH_CALLER_H
#define MARJORAMRAIL_BENCH_AGENT_BENCH_CALLER_H

#include "bench_children.h"
#include "marjoramrail/stack.h"

namespace marjoramrail::bench {

/// Opens flows to the agent and encapsulates their packets as a balancer does.
class bench_caller {
public:
  bench_caller();

  result<void> open();

  /// Opens \p Count more flows and waits until they are connected.
  void openFlows(std::size_t Count);

  /// Sends 100 bytes \p Rounds times, on the flows in rotation, and waits for
  /// the echoes.
  void echo(std::size_t Rounds);

  /// Requests \p Bytes on a new flow and returns the transfer time.
  duration receive(std::uint64_t Bytes);

  /// Starts an HTTP/2 session on every flow and waits for its settings.
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
