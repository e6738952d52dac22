//===- fabric_model.h - Simulated network with faults -----------*- C++ -*-===//
///
/// \file
/// The logic of the fabric stand-in without sockets: it selects the balancer
/// for a caller's packet and the endpoint for an answer, and simulates packet
/// loss, duplication, delay and reordering.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_FABRIC_MODEL_H
#define MARJORAMRAIL_STANDINS_FABRIC_MODEL_H

#include "delay_queue.h"
#include "marjoramrail/wire.h"

#include <random>
#include <unordered_map>

namespace marjoramrail::standins {

/// Loss of packets to one balancer or from one agent.
struct fabric_cut {
  endpoint Endpoint;
  /// Share of the packets that are dropped; 100 drops all.
  double Percent = 100;
};

/// Simulated network faults; they apply to both directions.
struct fabric_faults {
  double DropPercent = 0;
  double DuplicatePercent = 0;
  duration Delay{};
  /// Maximum of an extra delay that is uniformly distributed from 0. Packets
  /// between the same two endpoints keep their order, as on a real link whose
  /// queue length varies. Packets of one flow that use different balancers may
  /// overtake each other.
  duration Jitter{};
  /// Share of the packets that may overtake others on the same link.
  double ReorderPercent = 0;
  std::vector<fabric_cut> Cuts;
};

/// Counts of packets, shown on the status page.
struct fabric_counters {
  std::uint64_t FromCallers = 0;
  std::uint64_t FromAgents = 0;
  std::uint64_t Delivered = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t Cut = 0;
  std::uint64_t Duplicated = 0;
  /// Datagrams that are not IPv4/TCP packets.
  std::uint64_t Malformed = 0;
  /// Answers to an address from which no caller has sent a packet.
  std::uint64_t UnknownCaller = 0;
  std::uint64_t NoBalancer = 0;
};

/// Forwards packets between callers and balancers with simulated faults.
class fabric_model {
public:
  /// Sends \p Bytes to the balancer or the caller at \p To.
  using send_hook = std::function<void(fabric_side Side, const endpoint &To,
                                       bytes_view Bytes)>;

  fabric_model(std::uint64_t Seed, send_hook Send);

  void setBalancers(std::vector<endpoint> List) { Balancers = std::move(List); }
  const std::vector<endpoint> &balancers() const { return Balancers; }
  fabric_faults &faults() { return Faults; }

  /// Forwards a caller's packet to a random balancer. Records \p From as the
  /// endpoint for answers to the caller's address.
  void fromCaller(const endpoint &From, bytes_view Bytes, instant Now);
  /// Forwards an agent's answer to the caller.
  void fromAgent(const endpoint &From, bytes_view Bytes, instant Now);

  /// Sends the delayed packets whose delivery time has come.
  void deliverDue(instant Now);
  std::optional<instant> nextDue() const { return Queue.nextDue(); }

  const fabric_counters &counters() const { return Counters; }

private:
  struct link {
    endpoint From;
    endpoint To;
    auto operator<=>(const link &) const = default;
  };

  bool chance(double Percent);
  bool isDroppedByCut(const endpoint &Endpoint);
  void transmit(fabric_side Side, const link &Link, bytes_view Bytes,
                instant Now);
  void transmitOnce(fabric_side Side, const link &Link, bytes_view Bytes,
                    instant Now);
  instant dueTimeOn(const link &Link, instant Now);

  std::mt19937_64 Random;
  send_hook Send;
  std::vector<endpoint> Balancers;
  fabric_faults Faults;
  /// Endpoints for answers, keyed by the address of the caller.
  std::unordered_map<std::uint32_t, endpoint> ReturnEndpoints;
  delay_queue Queue;
  /// Delivery time of the last packet of each link; keeps the packets of a link
  /// in order.
  std::map<link, instant> LastDue;
  fabric_counters Counters;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_FABRIC_MODEL_H
