//===- packet_source.h - Load for the balancer benchmark --------*- C++ -*-===//
///
/// \file
/// Sends callers' packets over loopback in batches, as fast as one thread can,
/// and provides a socket in place of the agents.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_BALANCER_PACKET_SOURCE_H
#define MARJORAMRAIL_BENCH_BALANCER_PACKET_SOURCE_H

#include "marjoramrail/wire.h"

#include <atomic>
#include <thread>

namespace marjoramrail::bench {

/// Returns a caller's packet with \p Payload bytes; \p Number selects the flow.
std::vector<std::uint8_t> callerPacket(const endpoint &Service,
                                       std::uint32_t Number, bool Syn,
                                       std::size_t Payload);

/// A bound socket that receives the agents' packets and never reads them. Its
/// full buffer drops packets at minimal cost.
class discard_socket {
public:
  discard_socket();
  ~discard_socket();
  discard_socket(const discard_socket &) = delete;
  discard_socket &operator=(const discard_socket &) = delete;

  endpoint local() const;

private:
  int Socket;
};

/// Sends packets repeatedly to one address until it is destroyed.
class packet_source {
public:
  packet_source(const endpoint &To,
                std::vector<std::vector<std::uint8_t>> Packets);
  ~packet_source();
  packet_source(const packet_source &) = delete;
  packet_source &operator=(const packet_source &) = delete;

private:
  void run();

  int Socket;
  std::vector<std::vector<std::uint8_t>> Packets;
  std::atomic<bool> Stopped = false;
  std::thread Thread;
};

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_BALANCER_PACKET_SOURCE_H
