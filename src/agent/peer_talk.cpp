#include "agent/flow_owner_state.h"

namespace marjoramrail {

namespace {

constexpr duration ReportPeriod = std::chrono::seconds(1);
/// A missing acknowledgement of a generation is asked for this often.
constexpr duration AskPeriod = std::chrono::milliseconds(200);

} // namespace

peer_message flow_owner::impl::message(peer_message_kind Kind) const {
  peer_message Message;
  Message.Kind = Kind;
  Message.Service = Settings.Service;
  Message.Host = Settings.Host;
  Message.Incarnation = Settings.Incarnation;
  Message.Generation = newestGeneration();
  Message.Flows = static_cast<std::uint32_t>(Table.live());
  Message.Draining = IsDraining;
  return Message;
}

void flow_owner::impl::sendReport(const endpoint &To, bool ReplyWanted) const {
  peer_message Message = message(peer_message_kind::Report);
  Message.ReplyWanted = ReplyWanted;
  if (Hooks.Load)
    Message.Load = Hooks.Load();
  Hooks.Send(To, Message);
}

void flow_owner::impl::answer(const endpoint &To, instant Now) {
  const auto [Last, IsNew] = LastHeardSent.try_emplace(To, Now);
  if (!IsNew && Now - Last->second < HeardPeriod)
    return;
  Last->second = Now;
  Hooks.Send(To, message(peer_message_kind::Heard));
}

/// Also for a sender that this agent's view does not name yet.
void flow_owner::impl::answerProbe(const peer_message &Probe,
                                   const endpoint &From) const {
  peer_message Heard = message(peer_message_kind::Heard);
  Heard.Origin = Probe.Origin;
  Hooks.Send(From, Heard);
}

void flow_owner::impl::takeReport(const peer_message &Message,
                                  const endpoint &From, instant Now) {
  Gate.heard(Message.Host, Message.Incarnation, Message.Generation);
  Share.report(Message.Host, Message.Flows, Table.live(), Now);
  NewestKnownToPeers = std::max(NewestKnownToPeers, Message.Generation);
  if (Message.ReplyWanted)
    sendReport(From, false);
  if (Hooks.OnReport)
    Hooks.OnReport(Message);
}

void flow_owner::impl::takeProbeFor(const peer_message &Message,
                                    const endpoint &From) {
  Hooks.Send(From, message(peer_message_kind::Heard));
  if (!find(Message.Subject))
    return;
  peer_message Probe = message(peer_message_kind::Probe);
  Probe.Origin = From;
  Hooks.Send(Message.Subject, Probe);
}

void flow_owner::impl::takeHeard(const peer_message &Message,
                                 const endpoint &From) {
  if (Message.Origin == endpoint() || !find(Message.Origin))
    return;
  peer_message Vouch = message(peer_message_kind::Vouch);
  Vouch.Subject = From;
  Hooks.Send(Message.Origin, Vouch);
}

void flow_owner::impl::sendReports(instant Now) {
  if (Now - LastReports < ReportPeriod || Peers.empty())
    return;
  LastReports = Now;
  const std::size_t Count = std::min(Settings.ReportFanout, Peers.size());
  for (std::size_t I = 0; I < Count; ++I)
    sendReport(Peers[NextReport++ % Peers.size()], false);
}

void flow_owner::impl::askForWords(instant Now) {
  if (Now - LastAsked < AskPeriod)
    return;
  LastAsked = Now;
  for (const host_id Host : Gate.awaited())
    if (const target *Target = find(Host))
      sendReport(Target->Agent, true);
}

void flow_owner::impl::probeNeighbour(instant Now) {
  const std::optional<endpoint> &Neighbour = Ring.neighbour();
  if (!Neighbour || Watch.isDoubted(*Neighbour))
    return;
  Watch.passedOn(*Neighbour, Now);
  Hooks.Send(*Neighbour, message(peer_message_kind::Probe));
}

/// Balancers hear of a doubt at once, for they only take a detour; the peers,
/// which reset flows on it, hear of the conclusion.
void flow_owner::impl::tellOfNeighbour(bool WasSuspect, instant Now) {
  const std::optional<endpoint> &Neighbour = Ring.neighbour();
  if (!Neighbour)
    return;
  const bool Doubted = Watch.isDoubted(*Neighbour);
  for (const endpoint &Balancer : Ring.toTell(Doubted, Now))
    if (Hooks.TellSilence)
      Hooks.TellSilence(Balancer, {Settings.Service, *Neighbour});
  if (WasSuspect || !Watch.isSuspect(*Neighbour))
    return;
  peer_message Silent = message(peer_message_kind::Silent);
  Silent.Subject = *Neighbour;
  for (const endpoint &Peer : Peers)
    Hooks.Send(Peer, Silent);
}

void flow_owner::impl::sendProbes(instant Now) {
  for (const peer_probe &Probe : Watch.tick(Now)) {
    peer_message Message = message(Probe.Via ? peer_message_kind::ProbeFor
                                             : peer_message_kind::Probe);
    Message.Subject = Probe.Subject;
    Hooks.Send(Probe.Via.value_or(Probe.Subject), Message);
  }
}

} // namespace marjoramrail
