#include "agent/flow_table.h"

#include <cstdlib>

namespace marjoramrail::internal {

static bool isNear(std::uint32_t Number, std::uint32_t Expected) {
  const auto Distance = static_cast<std::int32_t>(Number - Expected);
  return Distance > -flow_table::MaxSequenceDistance &&
         Distance < flow_table::MaxSequenceDistance;
}

bool flow_table::isPlausible(const entry &Entry, const tcp_packet &Packet) {
  if (!isNear(Packet.Sequence, Entry.CallerNext))
    return false;
  return !Packet.Ack || isNear(Packet.Acknowledged, Entry.OurNext);
}

flow_match flow_table::matchHalfOpen(entry &Entry, const tcp_packet &Packet) {
  const bool MatchesInitial = Packet.Sequence == Entry.CallerInitial + 1;
  if (!Entry.Answered)
    return flow_match::NotOurs;
  if (!Packet.Ack)
    return MatchesInitial ? flow_match::Ours : flow_match::NotOurs;
  if (Packet.Acknowledged == Entry.OurInitial + 1) {
    if (!Packet.Rst)
      Entry.State = flow_state::Established;
    return flow_match::Ours;
  }
  // A packet of an earlier flow from the same port must not end this flow.
  return MatchesInitial ? flow_match::CompletedElsewhere : flow_match::NotOurs;
}

flow_match flow_table::match(const tcp_packet &Packet, instant Now) {
  const auto Found = Flows.find(Packet.Flow);
  if (Found == Flows.end())
    return flow_match::NotOurs;
  entry &Entry = Found->second;
  flow_match Match = flow_match::NotOurs;
  if (Packet.opensFlow()) {
    // A different sequence number while half-open means that the caller has
    // abandoned its first attempt. In the other states the stack answers, so
    // that a forged SYN cannot end a flow.
    const bool GivenUp = Entry.State == flow_state::HalfOpen &&
                         Packet.Sequence != Entry.CallerInitial;
    Match = GivenUp ? flow_match::CompletedElsewhere : flow_match::Ours;
  } else if (Entry.State == flow_state::HalfOpen) {
    Match = matchHalfOpen(Entry, Packet);
  } else if (isPlausible(Entry, Packet)) {
    Match = flow_match::Ours;
  }
  if (Match == flow_match::Ours)
    Entry.LastPacket = Now;
  if (Match == flow_match::CompletedElsewhere)
    erase(Found);
  return Match;
}

void flow_table::open(const tcp_packet &Syn, instant Now) {
  entry Entry;
  Entry.CallerInitial = Syn.Sequence;
  Entry.LastPacket = Now;
  Flows[Syn.Flow] = Entry;
}

void flow_table::noteAnswer(const tcp_packet &Answer, instant Now) {
  const auto Found = Flows.find(Answer.Flow);
  if (Found == Flows.end() || Answer.Rst)
    return;
  entry &Entry = Found->second;
  Entry.LastPacket = Now;
  if (Answer.Syn) {
    if (Entry.State == flow_state::Closing)
      --Closing;
    Entry.State = flow_state::HalfOpen;
    Entry.Answered = true;
    Entry.OurInitial = Answer.Sequence;
    Entry.OurNext = Answer.Sequence + 1;
    Entry.CallerInitial = Answer.Acknowledged - 1;
  }
  Entry.CallerNext = Answer.Acknowledged;
  const std::uint32_t End =
      Answer.Sequence + Answer.Payload + (Answer.Fin ? 1 : 0);
  if (static_cast<std::int32_t>(End - Entry.OurNext) > 0)
    Entry.OurNext = End;
}

void flow_table::close(const flow_key &Flow, instant Now) {
  const auto Found = Flows.find(Flow);
  if (Found == Flows.end() || Found->second.State == flow_state::Closing)
    return;
  Found->second.State = flow_state::Closing;
  Found->second.LastPacket = Now;
  ++Closing;
}

void flow_table::erase(const flow_key &Flow) {
  const auto Found = Flows.find(Flow);
  if (Found != Flows.end())
    erase(Found);
}

flow_table::entries::iterator flow_table::erase(entries::iterator Entry) {
  if (Entry->second.State == flow_state::Closing)
    --Closing;
  return Flows.erase(Entry);
}

void flow_table::expire(instant Now) {
  for (auto It = Flows.begin(); It != Flows.end();) {
    const flow_state State = It->second.State;
    const duration IdleTime = Now - It->second.LastPacket;
    const bool IsExpired =
        (State == flow_state::HalfOpen && IdleTime >= HalfOpenLifetime) ||
        (State == flow_state::Closing && IdleTime >= ClosingLifetime);
    It = IsExpired ? erase(It) : std::next(It);
  }
}

void flow_table::clear() {
  Flows.clear();
  Closing = 0;
}

} // namespace marjoramrail::internal
