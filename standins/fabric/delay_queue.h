//===- delay_queue.h - Packets under way ------------------------*- C++ -*-===//
///
/// \file
/// Packets in the order in which they are due, so that one timer serves them
/// all.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_DELAY_QUEUE_H
#define MARJORAMRAIL_STANDINS_DELAY_QUEUE_H

#include "marjoramrail/wire.h"

#include <queue>

namespace marjoramrail::standins {

enum class fabric_side { Balancers, Callers };

struct delayed_packet {
  instant Due;
  /// Keeps packets of one moment in their order.
  std::uint64_t Number = 0;
  fabric_side Side = fabric_side::Balancers;
  endpoint To;
  std::vector<std::uint8_t> Bytes;

  bool operator>(const delayed_packet &Other) const {
    return std::tie(Due, Number) > std::tie(Other.Due, Other.Number);
  }
};

class delay_queue {
public:
  void add(instant Due, fabric_side Side, const endpoint &To, bytes_view Bytes);
  /// Takes the first packet that is due, if any.
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
