#include "agent/flow_owner_state.h"

namespace marjoramrail {

namespace {

constexpr duration ReportPeriod = std::chrono::seconds(1);
/// Interval at which missing acknowledgements of a generation are requested.
constexpr duration ReportRequestInterval = std::chrono::milliseconds(200);

} // namespace

peer_message flow_owner::impl::message(peer_message_kind Kind) const {
  peer_message Message;
  Message.Kind = Kind;
  Message.Service = Settings.Service;
  Message.Host = Settings.Host;
  Message.Incarnation = Settings.Incarnation;
  Message.Generation = newestGeneration();
  Message.Flows = static_cast<std::uint32_t>(Table.activeFlows());
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

void flow_owner::impl::sendAcknowledgement(const endpoint &To, instant Now) {
  const auto [Last, IsNew] = LastAcknowledgementSent.try_emplace(To, Now);
  if (!IsNew && Now - Last->second < AcknowledgementInterval)
    return;
  Last->second = Now;
  Hooks.Send(To, message(peer_message_kind::Acknowledgement));
}

/// Called even if this agent's view does not contain the sender yet.
void flow_owner::impl::answerProbe(const peer_message &Probe,
                                   const endpoint &From) const {
  peer_message Acknowledgement = message(peer_message_kind::Acknowledgement);
  Acknowledgement.Origin = Probe.Origin;
  Hooks.Send(From, Acknowledgement);
}

void flow_owner::impl::handleReport(const peer_message &Message,
                                    const endpoint &From, instant Now) {
  Activation.acknowledge(Message.Host, Message.Incarnation, Message.Generation);
  Share.report(Message.Host, Message.Flows, Table.activeFlows(), Now);
  NewestPeerGeneration = std::max(NewestPeerGeneration, Message.Generation);
  if (Message.ReplyWanted)
    sendReport(From, false);
  if (Hooks.OnReport)
    Hooks.OnReport(Message);
}

void flow_owner::impl::handleIndirectProbe(const peer_message &Message,
                                           const endpoint &From) {
  Hooks.Send(From, message(peer_message_kind::Acknowledgement));
  if (!find(Message.Subject))
    return;
  peer_message Probe = message(peer_message_kind::Probe);
  Probe.Origin = From;
  Hooks.Send(Message.Subject, Probe);
}

void flow_owner::impl::handleAcknowledgement(const peer_message &Message,
                                             const endpoint &From) {
  if (Message.Origin == endpoint() || !find(Message.Origin))
    return;
  peer_message Result = message(peer_message_kind::ProbeSucceeded);
  Result.Subject = From;
  Hooks.Send(Message.Origin, Result);
}

void flow_owner::impl::sendReports(instant Now) {
  if (Now - LastReports < ReportPeriod || Peers.empty())
    return;
  LastReports = Now;
  const std::size_t Count = std::min(Settings.ReportFanout, Peers.size());
  for (std::size_t I = 0; I < Count; ++I)
    sendReport(Peers[NextReport++ % Peers.size()], false);
}

void flow_owner::impl::requestMissingReports(instant Now) {
  if (Now - LastReportRequest < ReportRequestInterval)
    return;
  LastReportRequest = Now;
  for (const host_id Host : Activation.missingHosts())
    if (const target *Target = find(Host))
      sendReport(Target->Agent, true);
}

void flow_owner::impl::probeNeighbour(instant Now) {
  const std::optional<endpoint> &Neighbour = Ring.neighbour();
  if (!Neighbour || Monitor.isPossiblyDown(*Neighbour))
    return;
  Monitor.noteSent(*Neighbour, Now);
  Hooks.Send(*Neighbour, message(peer_message_kind::Probe));
}

/// Balancers are notified as soon as the neighbour may be dead, since a false
/// report costs them only a detour. Peers reset flows on such a report, so they
/// are notified only once the neighbour is suspect.
void flow_owner::impl::reportNeighbour(bool WasSuspect, instant Now) {
  const std::optional<endpoint> &Neighbour = Ring.neighbour();
  if (!Neighbour)
    return;
  const bool PossiblyDown = Monitor.isPossiblyDown(*Neighbour);
  for (const endpoint &Balancer : Ring.balancersToNotify(PossiblyDown, Now))
    if (Hooks.ReportUnresponsive)
      Hooks.ReportUnresponsive(Balancer, {Settings.Service, *Neighbour});
  if (WasSuspect || !Monitor.isSuspect(*Neighbour))
    return;
  peer_message Notice = message(peer_message_kind::Unresponsive);
  Notice.Subject = *Neighbour;
  for (const endpoint &Peer : Peers)
    Hooks.Send(Peer, Notice);
}

void flow_owner::impl::sendProbes(instant Now) {
  for (const peer_probe &Probe : Monitor.tick(Now)) {
    peer_message Message = message(Probe.Via ? peer_message_kind::IndirectProbe
                                             : peer_message_kind::Probe);
    Message.Subject = Probe.Subject;
    Hooks.Send(Probe.Via.value_or(Probe.Subject), Message);
  }
}

} // namespace marjoramrail
