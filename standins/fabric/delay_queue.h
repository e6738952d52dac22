//===- delay_queue.h - Queue of delayed packets -----------------*- C++ -*-===//
///
/// \file
/// Keeps delayed packets in the order of their delivery time, so that one timer
/// is enough for all of them.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_DELAY_QUEUE_H
#define MARJORAMRAIL_STANDINS_DELAY_QUEUE_H

#include "marjoramrail/wire.h"

#include <queue>

namespace marjoramrail::standins {

/// The side of the network that a packet is sent to.
enum class fabric_side { Balancers, Callers };

/// A packet that is delivered at the time Due.
struct delayed_packet {
  instant Due;
  /// Sequence number; packets with the same delivery time keep their order.
  std::uint64_t Number = 0;
  fabric_side Side = fabric_side::Balancers;
  endpoint To;
  std::vector<std::uint8_t> Bytes;

  bool operator>(const delayed_packet &Other) const {
    return std::tie(Due, Number) > std::tie(Other.Due, Other.Number);
  }
};

/// A priority queue of packets, ordered by delivery time.
class delay_queue {
public:
  void add(instant Due, fabric_side Side, const endpoint &To, bytes_view Bytes);
  /// Removes and returns the first packet whose delivery time has come, if any.
  std::optional<delayed_packet> take(instant Now);
  std::optional<instant> nextDue() const;

private:
  std::uint64_t LastNumber = 0;
  std::priority_queue<delayed_packet, std::vector<delayed_packet>,
                      std::greater<>>
      Packets;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_DELAY_QUEUE_H
