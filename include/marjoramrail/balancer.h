//===- balancer.h - Routing of callers' packets to agents -------*- C++ -*-===//
///
/// \file
/// The core of a balancer: finds the service of a caller's packet and the
/// agents that may own its flow, and encapsulates the packet for them. Its
/// input are the services' views, which the fleet library replicates. Its only
/// per-flow state is a bounded cache of owners reported by agents; losing it
/// breaks no flow. It uses no sockets, clocks or threads: the caller passes the
/// time.
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
  /// The address to which agents send notices. If empty, they send none.
  endpoint Self = {};
  /// Packets are marked routed_flag::Stale after this time without contact to
  /// the fleet. It spans a few heartbeats; a shorter time would mark packets
  /// whenever one heartbeat is lost.
  duration StaleAfter = std::chrono::seconds(10);
  /// Capacity of the owner cache, rounded up to a power of two; 16 bytes per
  /// entry. Agents report only flows whose owner is not the first choice, so
  /// the default is far above the need of current site sizes.
  std::size_t CachedOwners = 65536;
};

struct balancer_hooks {
  /// Sends a routed packet to an agent. \p Bytes are valid only during the
  /// call.
  std::function<void(const endpoint &Agent, bytes_view Bytes)> Send;
};

/// Result of setView().
enum class view_outcome {
  Applied,
  /// The view is not newer than the applied one, which stays in effect.
  NotNewer,
};

struct balancer_counters {
  /// Packets sent to agents: those that open flows, and all others.
  std::uint64_t New = 0;
  std::uint64_t Established = 0;
  /// Packets sent first to an owner from the cache.
  std::uint64_t FromCache = 0;
  std::uint64_t NoticesAccepted = 0;
  /// Dropped packets by packet_fault.
  std::array<std::uint64_t, PacketFaultNames.size()> Dropped{};

  std::uint64_t dropped(packet_fault Fault) const {
    return Dropped[static_cast<std::size_t>(Fault)];
  }
};

/// Routes callers' packets of all services.
class balancer_core {
public:
  balancer_core(const balancer_settings &Settings, balancer_hooks Hooks);
  ~balancer_core();
  balancer_core(const balancer_core &) = delete;
  balancer_core &operator=(const balancer_core &) = delete;

  /// Applies \p View if it is newer than the one in effect. Views reach a
  /// balancer over several paths, and a late older one must not undo a change.
  /// A view without generations withdraws the service.
  ///
  /// If two services have the same address, the one with the lower number gets
  /// the packets. Operators' changes are checked for this conflict, but two
  /// concurrent changes may both be accepted. If balancers then chose different
  /// services, packets of one flow would reach both.
  view_outcome setView(const service_view &View);

  /// The version of the applied view of a service; 0 if there is none.
  std::uint64_t versionOf(service_id Service) const;
  std::size_t services() const;

  /// Records contact with the fleet, which keeps the views up to date.
  void noteFleetContact(instant Now);
  bool isStale(instant Now) const;

  /// Handles a packet from the fabric or a notice from an agent. Returns the
  /// reason for which it was dropped, or None.
  packet_fault onDatagram(const endpoint &From, bytes_view Bytes, instant Now);

  const balancer_counters &counters() const;

  /// Memory used by views and the owner cache.
  std::size_t bytes() const;

  /// The applied views as one JSON object, for the status page.
  std::string statusJson(instant Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_BALANCER_H
