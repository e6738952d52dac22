//===- fabric_model.h - A network that sprays and spoils --------*- C++ -*-===//
///
/// \file
/// The decisions of the fabric stand-in, without sockets: which balancer gets a
/// caller's packet, where an answer goes, and what the network does to it on
/// the way.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_FABRIC_MODEL_H
#define MARJORAMRAIL_STANDINS_FABRIC_MODEL_H

#include "delay_queue.h"
#include "marjoramrail/wire.h"

#include <random>
#include <unordered_map>

namespace marjoramrail::standins {

/// Packets lost on the way to (or from) one endpoint of ours.
struct fabric_cut {
  endpoint Endpoint;
  /// 100 cuts it off.
  double Percent = 100;
};

/// What the network does to packets in both directions.
struct fabric_faults {
  double DropPercent = 0;
  double DuplicatePercent = 0;
  duration Delay{};
  /// Added to the delay, evenly spread from 0. Packets between the same two
  /// endpoints keep their order, as on a real link whose queue is longer or
  /// shorter; those of one flow over different balancers may overtake.
  duration Jitter{};
  /// Packets that may overtake others on their own link all the same.
  double ReorderPercent = 0;
  std::vector<fabric_cut> Cuts;
};

struct fabric_counters {
  std::uint64_t FromCallers = 0;
  std::uint64_t FromAgents = 0;
  std::uint64_t Delivered = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t Cut = 0;
  std::uint64_t Duplicated = 0;
  /// Not an IPv4/TCP packet.
  std::uint64_t Malformed = 0;
  /// An answer to an address that no caller has sent from.
  std::uint64_t UnknownCaller = 0;
  std::uint64_t NoBalancer = 0;
};

class fabric_model {
public:
  /// Sends towards a balancer, or towards the callers.
  using send_hook = std::function<void(fabric_side Side, const endpoint &To,
                                       bytes_view Bytes)>;

  fabric_model(std::uint64_t Seed, send_hook Send);

  void setBalancers(std::vector<endpoint> List) { Balancers = std::move(List); }
  const std::vector<endpoint> &balancers() const { return Balancers; }
  fabric_faults &faults() { return Faults; }

  /// A caller's packet; remembers behind which endpoint its address is.
  void fromCaller(const endpoint &From, bytes_view Bytes, instant Now);
  /// An agent's answer.
  void fromAgent(const endpoint &From, bytes_view Bytes, instant Now);

  /// Sends what is due.
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
  /// By the callers' own addresses.
  std::unordered_map<std::uint32_t, endpoint> ReturnEndpoints;
  delay_queue Queue;
  /// When the last packet of each link is due.
  std::map<link, instant> LastDue;
  fabric_counters Counters;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_FABRIC_MODEL_H
