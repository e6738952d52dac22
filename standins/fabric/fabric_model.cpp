#include "fabric_model.h"

#include <algorithm>

namespace marjoramrail::standins {

fabric_model::fabric_model(std::uint64_t Seed, send_hook Send)
    : Random(Seed), Send(std::move(Send)) {}

bool fabric_model::chance(double Percent) {
  if (Percent <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 100)(Random) < Percent;
}

bool fabric_model::isDroppedByCut(const endpoint &Endpoint) {
  const auto Found = std::find_if(
      Faults.Cuts.begin(), Faults.Cuts.end(),
      [&](const fabric_cut &Cut) { return Cut.Endpoint == Endpoint; });
  if (Found == Faults.Cuts.end() || !chance(Found->Percent))
    return false;
  ++Counters.Cut;
  return true;
}

void fabric_model::fromCaller(const endpoint &From, bytes_view Bytes,
                              instant Now) {
  ++Counters.FromCallers;
  tcp_packet Packet;
  if (parseTcpPacket(Bytes, Packet) != packet_fault::None) {
    ++Counters.Malformed;
    return;
  }
  ReturnEndpoints[Packet.Flow.Caller.Address] = From;
  if (Balancers.empty()) {
    ++Counters.NoBalancer;
    return;
  }
  std::uniform_int_distribution<std::size_t> Pick(0, Balancers.size() - 1);
  const endpoint To = Balancers[Pick(Random)];
  if (!isDroppedByCut(To))
    transmit(fabric_side::Balancers, {From, To}, Bytes, Now);
}

void fabric_model::fromAgent(const endpoint &From, bytes_view Bytes,
                             instant Now) {
  ++Counters.FromAgents;
  tcp_packet Packet;
  if (parseReturnPacket(Bytes, Packet) != packet_fault::None) {
    ++Counters.Malformed;
    return;
  }
  const auto ReturnEndpoint = ReturnEndpoints.find(Packet.Flow.Caller.Address);
  if (ReturnEndpoint == ReturnEndpoints.end()) {
    ++Counters.UnknownCaller;
    return;
  }
  if (!isDroppedByCut(From))
    transmit(fabric_side::Callers, {From, ReturnEndpoint->second}, Bytes, Now);
}

void fabric_model::transmit(fabric_side Side, const link &Link,
                            bytes_view Bytes, instant Now) {
  if (chance(Faults.DropPercent)) {
    ++Counters.Dropped;
    return;
  }
  transmitOnce(Side, Link, Bytes, Now);
  if (!chance(Faults.DuplicatePercent))
    return;
  ++Counters.Duplicated;
  transmitOnce(Side, Link, Bytes, Now);
}

instant fabric_model::dueTimeOn(const link &Link, instant Now) {
  duration Delay = Faults.Delay;
  if (Faults.Jitter > duration(0))
    Delay += duration(std::uniform_int_distribution<duration::rep>(
        0, Faults.Jitter.count())(Random));
  if (chance(Faults.ReorderPercent))
    return Now + Delay;
  instant &Last = LastDue[Link];
  Last = std::max(Last, Now + Delay);
  return Last;
}

void fabric_model::transmitOnce(fabric_side Side, const link &Link,
                                bytes_view Bytes, instant Now) {
  const instant Due = dueTimeOn(Link, Now);
  if (Due > Now) {
    Queue.add(Due, Side, Link.To, Bytes);
    return;
  }
  ++Counters.Delivered;
  Send(Side, Link.To, Bytes);
}

void fabric_model::deliverDue(instant Now) {
  while (const auto Packet = Queue.take(Now)) {
    ++Counters.Delivered;
    Send(Packet->Side, Packet->To, Packet->Bytes);
  }
}

} // namespace marjoramrail::standins
