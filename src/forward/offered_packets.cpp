#include "forward/offered_packets.h"

namespace marjoramrail::internal {

std::uint32_t offered_packets::add(const routed_packet &Routed,
                                   const tcp_packet &Head, bool NeedsAnswer,
                                   instant Now) {
  // 0 is the tag of packets written by targets and callers.
  if (++LastTag == 0)
    ++LastTag;
  const std::size_t Place = LastTag % Capacity;
  if (Ring.size() <= Place)
    Ring.resize(std::min(Capacity, Place + 1));
  offered_packet &Packet = Ring[Place];
  Packet.Tag = LastTag;
  Packet.Routed = Routed;
  Packet.Head = Head;
  Packet.At = Now;
  Packet.NeedsAnswer = NeedsAnswer;
  Packet.Bytes.clear();
  if (NeedsAnswer) {
    Packet.Bytes.assign(Routed.Packet.begin(), Routed.Packet.end());
    Waiting.push_back(LastTag);
  }
  Packet.Routed.Packet = {};
  return LastTag;
}

offered_packet *offered_packets::findDeclined(std::uint32_t Tag,
                                              const flow_key &Flow) {
  const std::size_t Place = Tag % Capacity;
  if (Tag == 0 || Place >= Ring.size())
    return nullptr;
  offered_packet &Packet = Ring[Place];
  if (Packet.Tag != Tag || Packet.Head.Flow != Flow)
    return nullptr;
  Packet.NeedsAnswer = false;
  return &Packet;
}

const offered_packet *offered_packets::findWaiting(const flow_key &Flow) const {
  for (const std::uint32_t Tag : Waiting) {
    const offered_packet &Packet = Ring[Tag % Capacity];
    if (Packet.Tag == Tag && Packet.NeedsAnswer && Packet.Head.Flow == Flow)
      return &Packet;
  }
  return nullptr;
}

void offered_packets::onTargetAnswer(const flow_key &Flow) {
  for (const std::uint32_t Tag : Waiting) {
    offered_packet &Packet = Ring[Tag % Capacity];
    if (Packet.Tag == Tag && Packet.Head.Flow == Flow)
      Packet.NeedsAnswer = false;
  }
}

void offered_packets::dropAnswered() {
  while (!Waiting.empty()) {
    const offered_packet &First = Ring[Waiting.front() % Capacity];
    if (First.Tag == Waiting.front() && First.NeedsAnswer)
      return;
    Waiting.pop_front();
  }
}

offered_packet *offered_packets::takeExpired(instant Now) {
  dropAnswered();
  if (Waiting.empty())
    return nullptr;
  offered_packet &First = Ring[Waiting.front() % Capacity];
  if (Now - First.At < AnswerTimeout)
    return nullptr;
  Waiting.pop_front();
  First.NeedsAnswer = false;
  return &First;
}

std::optional<instant> offered_packets::nextExpiry() {
  dropAnswered();
  if (Waiting.empty())
    return std::nullopt;
  return Ring[Waiting.front() % Capacity].At + AnswerTimeout;
}

} // namespace marjoramrail::internal
