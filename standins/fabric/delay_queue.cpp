#include "delay_queue.h"

namespace marjoramrail::standins {

void delay_queue::add(instant Due, fabric_side Side, const endpoint &To,
                      bytes_view Bytes) {
  Packets.push({Due, ++LastNumber, Side, To, {Bytes.begin(), Bytes.end()}});
}

std::optional<delayed_packet> delay_queue::take(instant Now) {
  if (Packets.empty() || Packets.top().Due > Now)
    return std::nullopt;
  // top() is const to protect the order of the queue. Moving from it is safe
  // here because pop() removes the element at once.
  delayed_packet Packet =
      std::move(const_cast<delayed_packet &>(Packets.top()));
  Packets.pop();
  return Packet;
}

std::optional<instant> delay_queue::nextDue() const {
  if (Packets.empty())
    return std::nullopt;
  return Packets.top().Due;
}

} // namespace marjoramrail::standins
