#include "agent/flow_owner_state.h"

namespace marjoramrail {

namespace {

/// An agent that has just started may have an outdated view. If its peers know
/// a newer one, their reports say so within one report period.
constexpr duration StartupGracePeriod = std::chrono::seconds(3);

/// A router over one generation that ignores the targets' states: it lists the
/// agents that may own flows opened under that generation.
service_router routerOf(const service_view &View, std::size_t Generation) {
  service_view One = View;
  One.Generations = {View.Generations[Generation]};
  for (target &Target : One.Targets)
    Target.State = target_state::Ready;
  return service_router(One);
}

} // namespace

//===----------------------------------------------------------------------===//
// The view
//===----------------------------------------------------------------------===//

void flow_owner::impl::applyView(const service_view &Newer, instant Now) {
  if (View && Newer.Version < View->Version)
    return;
  if (!View)
    FirstViewAt = Now;
  ViewConfirmedAt = Now;
  if (View && Newer.Version == View->Version)
    return;
  View = Newer;
  Router.emplace(Newer);
  PerGeneration.clear();
  for (std::size_t I = 0; I < Newer.Generations.size(); ++I)
    PerGeneration.push_back(routerOf(Newer, I));
  Peers.clear();
  for (const target &Target : Newer.Targets)
    if (Target.Id != Settings.Host && Target.State != target_state::Down)
      Peers.push_back(Target.Agent);
  Activation.applyView(Newer);
  Share.applyView(Newer);
  Monitor.setPeers(Peers);
  Ring.applyView(Newer, Settings.Host);
  // Peers may be waiting for this agent's acknowledgement of a generation, so
  // it does not wait for the next periodic report.
  for (const endpoint &Peer : Peers)
    sendReport(Peer, false);
}

/// Whether the view is current enough to conclude that no agent owns a flow. A
/// reset based on an outdated view would break a healthy flow, while a dropped
/// packet only delays it.
bool flow_owner::impl::isViewCurrent(instant Now) const {
  if (!View || Now - ViewConfirmedAt > Settings.MaxViewAge)
    return false;
  if (NewestPeerGeneration > newestGeneration())
    return false;
  return Peers.empty() || HasPeerContact ||
         Now - FirstViewAt >= StartupGracePeriod;
}

std::uint64_t flow_owner::impl::newestGeneration() const {
  return View && !View->Generations.empty() ? View->Generations[0].Number : 0;
}

const target *flow_owner::impl::find(const endpoint &Agent) const {
  for (const target &Target : View->Targets)
    if (Target.Agent == Agent)
      return &Target;
  return nullptr;
}

const target *flow_owner::impl::find(host_id Host) const {
  for (const target &Target : View->Targets)
    if (Target.Id == Host)
      return &Target;
  return nullptr;
}

//===----------------------------------------------------------------------===//
// Generations
//===----------------------------------------------------------------------===//

/// Position of the newest generation whose choices for \p Flow include this
/// agent.
std::size_t flow_owner::impl::neededPosition(const flow_key &Flow) const {
  for (std::size_t I = 0; I < PerGeneration.size(); ++I)
    for (const std::uint16_t Position : PerGeneration[I].choices(Flow))
      if (View->Targets[Position].Id == Settings.Host)
        return I;
  return PerGeneration.size() - 1;
}

std::uint64_t flow_owner::impl::oldestNeeded() const {
  if (PerGeneration.empty())
    return 0;
  // The next flow may still be opened under the active generation.
  std::size_t Oldest = Activation.newestActive();
  // If every packet lists every target, owners are found without older
  // generations. Keeping them here for flows whose owner is no longer among the
  // newest choices could use up all generations for as long as those flows
  // last. No new generation could be added then: the newest one's hosts would
  // drain, and callers would be refused although new hosts are ready.
  if (Router->listsEveryTarget())
    return View->Generations[Oldest].Number;
  Table.forEach([&](const flow_key &Flow) {
    Oldest = std::max(Oldest, neededPosition(Flow));
  });
  return View->Generations[Oldest].Number;
}

//===----------------------------------------------------------------------===//
// flow_owner
//===----------------------------------------------------------------------===//

flow_owner::flow_owner(const flow_owner_settings &Settings,
                       flow_owner_hooks Hooks)
    : Impl(std::make_unique<impl>(Settings, std::move(Hooks))) {}

flow_owner::~flow_owner() = default;

void flow_owner::applyView(const service_view &View, instant Now) {
  Impl->applyView(View, Now);
}

void flow_owner::confirmView(instant Now) { Impl->ViewConfirmedAt = Now; }

void flow_owner::setMaxShare(std::uint32_t Percent) {
  Impl->Share.setMaxPercent(Percent);
}

void flow_owner::drain() { Impl->IsDraining = true; }

void flow_owner::resume() { Impl->IsDraining = false; }

void flow_owner::restart(std::uint32_t Incarnation) {
  Impl->Settings.Incarnation = Incarnation;
  Impl->Table.clear();
  Impl->Redirects.clear();
}

packet_decision flow_owner::decide(const routed_packet &Routed,
                                   const tcp_packet &Packet,
                                   const endpoint &From, instant Now) {
  // An agent that has just joined may pass packets to peers whose view does not
  // contain it yet. Without an acknowledgement it would suspect them.
  const bool PassedOn = Routed.Service == Impl->Settings.Service &&
                        Routed.Balancer != endpoint() &&
                        Routed.Balancer != From;
  if (Routed.Balancer != endpoint() && Routed.Balancer == From)
    Impl->Ring.noteBalancer(From, Now);
  if (Impl->View && (PassedOn || Impl->find(From)))
    Impl->sendAcknowledgement(From, Now);
  // A forged position beyond the list must not wrap around to its start.
  routed_packet Bounded = Routed;
  Bounded.Position =
      std::min(Routed.Position,
               static_cast<std::uint8_t>(std::max(0, int(Routed.Count) - 1)));
  packet_decision Decision = Impl->decide(Bounded, Packet, Now);
  ++Impl->Counts[static_cast<std::size_t>(Decision.Reason)];
  return Decision;
}

void flow_owner::noteAnswer(const tcp_packet &Answer, instant Now) {
  Impl->Table.noteAnswer(Answer, Now);
}

void flow_owner::flowClosing(const flow_key &Flow, instant Now) {
  Impl->Table.close(Flow, Now);
}

void flow_owner::flowRemoved(const flow_key &Flow) { Impl->Table.erase(Flow); }

void flow_owner::receive(const peer_message &Message, const endpoint &From,
                         instant Now) {
  if (Message.Service != Impl->Settings.Service || !Impl->View)
    return;
  const target *Sender = Impl->find(Message.Host);
  if (!Sender && Message.Kind == peer_message_kind::Probe)
    return Impl->answerProbe(Message, From);
  if (!Sender || Sender->Agent != From)
    return;
  Impl->HasPeerContact = true;
  Impl->Monitor.noteResponse(From, Now);
  switch (Message.Kind) {
  case peer_message_kind::Report:
    return Impl->handleReport(Message, From, Now);
  case peer_message_kind::Acknowledgement:
    return Impl->handleAcknowledgement(Message, From);
  case peer_message_kind::Probe:
    return Impl->answerProbe(Message, From);
  case peer_message_kind::IndirectProbe:
    return Impl->handleIndirectProbe(Message, From);
  case peer_message_kind::ProbeSucceeded:
    return Impl->Monitor.noteResponse(Message.Subject, Now);
  case peer_message_kind::Unresponsive:
    return Impl->Monitor.noteReportedUnresponsive(Message.Subject, Now);
  }
}

void flow_owner::tick(instant Now) {
  Impl->Table.expire(Now);
  std::erase_if(Impl->Redirects,
                [&](const auto &Item) { return Item.second.Until <= Now; });
  std::erase_if(Impl->LastAcknowledgementSent, [&](const auto &Item) {
    return Now - Item.second > AcknowledgementInterval;
  });
  if (!Impl->View)
    return;
  Impl->sendReports(Now);
  Impl->requestMissingReports(Now);
  const std::optional<endpoint> &Neighbour = Impl->Ring.neighbour();
  const bool WasSuspect = Neighbour && Impl->Monitor.isSuspect(*Neighbour);
  Impl->probeNeighbour(Now);
  Impl->sendProbes(Now);
  Impl->reportNeighbour(WasSuspect, Now);
}

std::size_t flow_owner::flows() const { return Impl->Table.activeFlows(); }

std::uint64_t flow_owner::oldestNeededGeneration() const {
  return Impl->oldestNeeded();
}

std::uint64_t flow_owner::viewVersion() const {
  return Impl->View ? Impl->View->Version : 0;
}

std::uint64_t flow_owner::count(packet_reason Reason) const {
  return Impl->Counts[static_cast<std::size_t>(Reason)];
}

} // namespace marjoramrail
