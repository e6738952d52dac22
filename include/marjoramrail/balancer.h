//===- balancer.h - A caller's packet in, a routed packet out ---*- C++ -*-===//
///
/// \file
/// The core of a balancer: finds the service of a caller's packet, the agents
/// that may own its flow, and frames the packet for them. What it needs of the
/// fleet are the services' views; what it remembers of flows is a bounded cache
/// of owners that agents have named, and losing that breaks nothing. No
/// sockets, clocks or threads: the time comes as an argument.
///
/// Usage:
/// \code
///   balancer_core Core({.StaleAfter = std::chrono::seconds(10)},
///                      {.Send = [&](const endpoint &Agent, bytes_view Bytes) {
///                         Socket.send(Agent, Bytes); }});
///   Core.setView(View);                    // from the fleet, at any time
///   Core.noteFleetContact(Timers.now());
///   for (const datagram &Datagram : Batch) // from the fabric or an agent
///     Core.onDatagram(Datagram.From, Datagram.Bytes, Timers.now());
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BALANCER_H
#define MARJORAMRAIL_BALANCER_H

#include "marjoramrail/routing.h"
#include "marjoramrail/wire.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace marjoramrail {

struct balancer_settings {
  /// Where agents send their notices; without it they send none.
  endpoint Self = {};
  /// Packets are marked routed_flag::Stale when nothing was heard of the fleet
  /// for longer. A few heartbeats: shorter would mark packets at each lost one.
  duration StaleAfter = std::chrono::seconds(10);
  /// Owners remembered at a time, rounded up to a power of two. Only flows
  /// whose owner is not their first choice are named, so this is far above
  /// what a balancer of today's sizes needs; 16 bytes each.
  std::size_t CachedOwners = 65536;
};

struct balancer_hooks {
  /// Sends a routed packet to an agent; \p Bytes are valid during the call.
  std::function<void(const endpoint &Agent, bytes_view Bytes)> Send;
};

/// What setView() did.
enum class view_outcome {
  Applied,
  /// It is not newer than the one in force, which therefore stays.
  NotNewer,
};

struct balancer_counters {
  /// Packets that open flows, and all others, that went to an agent.
  std::uint64_t New = 0;
  std::uint64_t Established = 0;
  /// Packets that went first to an owner out of the cache.
  std::uint64_t FromCache = 0;
  std::uint64_t NoticesAccepted = 0;
  /// Packets dropped, by packet_fault.
  std::array<std::uint64_t, PacketFaultNames.size()> Dropped{};

  std::uint64_t dropped(packet_fault Fault) const {
    return Dropped[static_cast<std::size_t>(Fault)];
  }
};

class balancer_core {
public:
  balancer_core(const balancer_settings &Settings, balancer_hooks Hooks);
  ~balancer_core();
  balancer_core(const balancer_core &) = delete;
  balancer_core &operator=(const balancer_core &) = delete;

  /// Routes by \p View from now on, unless it is not newer than the one in
  /// force: views reach a balancer by several ways, and the late one must not
  /// undo a change. A view without generations withdraws the service.
  ///
  /// If two services claim one address, the lower number has it. Operators'
  /// changes are checked for this, but two that race may both be accepted, and
  /// balancers that took one each would tear flows apart.
  view_outcome setView(const service_view &View);

  /// The version in force for a service; 0 if there is none.
  std::uint64_t versionOf(service_id Service) const;
  std::size_t services() const;

  /// Something of the fleet was heard: views are as new as they can be.
  void noteFleetContact(instant Now);
  bool isStale(instant Now) const;

  /// Takes a datagram of the fabric or an agent's notice. Returns the reason
  /// why it was dropped, or None.
  packet_fault onDatagram(const endpoint &From, bytes_view Bytes, instant Now);

  const balancer_counters &counters() const;

  /// Bytes held for views and cached owners.
  std::size_t bytes() const;

  /// What is in force, as one JSON object, for the status page.
  std::string statusJson(instant Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_BALANCER_H
