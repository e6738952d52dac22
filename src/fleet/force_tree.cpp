#include "fleet/force_tree.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// A report is sent again after this, doubled each time, since it may be lost.
constexpr duration FirstRepeat = std::chrono::seconds(1);
constexpr int MostRepeats = 5;
/// Reports of children that come close together go up as one.
constexpr duration Settle = std::chrono::milliseconds(200);
/// Names in a status; an operator needs a few to look at, not thousands.
constexpr std::size_t MaxLagging = 3;

} // namespace

force_tree::force_tree(timer_service &Timers, const peer_table &Peers,
                       const view_store &Views, hooks Hooks)
    : Timers(Timers), Peers(Peers), Views(Views), Hooks(std::move(Hooks)) {}

const force_tree::place &force_tree::placeUnder(const std::string &Holder) {
  place &Place = Places[Holder];
  if (Place.PeersVersion == Peers.version())
    return Place;
  Place = {Peers.version(), std::nullopt, {}};
  std::vector<std::pair<std::uint64_t, const balancer_info *>> Order;
  const std::uint64_t Seed = hashOfName(Holder);
  for (const balancer_info &Peer : Peers.living())
    // The holder itself comes first.
    Order.emplace_back(
        Peer.Name == Holder ? 0 : hashOfName(Peer.Name, Seed) | 1, &Peer);
  std::sort(Order.begin(), Order.end());
  std::size_t Mine = 0;
  for (std::size_t I = 0; I < Order.size(); ++I)
    if (Order[I].second->Name == Peers.self().Name)
      Mine = I;
  if (Mine > 0)
    Place.Parent = *Order[(Mine - 1) / Width].second;
  for (std::size_t I = Mine * Width + 1;
       I <= Mine * Width + Width && I < Order.size(); ++I)
    Place.Children.push_back(Order[I].second->Name);
  return Place;
}

void force_tree::viewTaken(const std::string &Service) {
  changed(Service, Services[Service]);
}

void force_tree::changed(const std::string &Service, service_force &Force) {
  Force.ChangedAt = Timers.now();
  Force.Repeats = 0;
  Active.insert(Service);
}

void force_tree::take(const force_report &Report) {
  service_force &Force = Services[Report.Service];
  force_report &Known = Force.Children[Report.From];
  if (Report.Version < Known.Version)
    return;
  const bool Same = Report.Version == Known.Version &&
                    Report.NamesDigest == Known.NamesDigest &&
                    Report.Nodes == Known.Nodes;
  Known = Report;
  if (!Same)
    changed(Report.Service, Force);
}

force_report force_tree::sum(const std::string &Service,
                             const service_force &Force) {
  const balancer_info &Self = Peers.self();
  force_report Sum{Service, Views.versionOf(Service), Self.Name,
                   1,       hashOfName(Self.Name),    {}};
  const place &Place = placeUnder(Hooks.Holder(Service));
  for (const std::string &Child : Place.Children) {
    const auto Found = Force.Children.find(Child);
    const bool Confirmed =
        Found != Force.Children.end() && Found->second.Version >= Sum.Version;
    if (!Confirmed) {
      if (Sum.Lagging.size() < MaxLagging)
        Sum.Lagging.push_back(Child);
      continue;
    }
    Sum.Nodes += Found->second.Nodes;
    Sum.NamesDigest ^= Found->second.NamesDigest;
    for (const std::string &Name : Found->second.Lagging)
      if (Sum.Lagging.size() < MaxLagging)
        Sum.Lagging.push_back(Name);
  }
  return Sum;
}

bool force_tree::send(const std::string &Service, service_force &Force,
                      const std::string &Holder) {
  const place &Place = placeUnder(Holder);
  if (!Place.Parent)
    Hooks.OnChange(Service);
  else if (!Hooks.Send(Place.Parent->Control, sum(Service, Force)))
    return false;
  Force.SentAt = Timers.now();
  return ++Force.Repeats >= MostRepeats;
}

void force_tree::tick() {
  // Another tree: children that reported elsewhere have to report here.
  if (PeersVersion != Peers.version()) {
    PeersVersion = Peers.version();
    for (auto &[Service, Force] : Services)
      if (Timers.now() - Force.ChangedAt < std::chrono::minutes(1)) {
        Force.Repeats = 0;
        Active.insert(Service);
      }
  }
  for (auto At = Active.begin(); At != Active.end();) {
    service_force &Force = Services[*At];
    const duration Wait = FirstRepeat * (1 << Force.Repeats);
    const bool Settling = Timers.now() - Force.ChangedAt < Settle;
    const bool Repeated =
        Force.Repeats > 0 && Timers.now() - Force.SentAt < Wait;
    const std::string Holder = Hooks.Holder(*At);
    const bool Sends = !Settling && !Repeated && !Holder.empty();
    const bool Done = Sends && send(*At, Force, Holder);
    At = Done ? Active.erase(At) : std::next(At);
  }
}

force_summary force_tree::summary(const std::string &Service) {
  force_summary Summary;
  Summary.Of = static_cast<std::uint32_t>(Peers.living().size());
  const force_report Sum = sum(Service, Services[Service]);
  std::uint64_t Everyone = 0;
  for (const balancer_info &Peer : Peers.living())
    Everyone ^= hashOfName(Peer.Name);
  Summary.All = Sum.NamesDigest == Everyone && Sum.Nodes == Summary.Of;
  Summary.Nodes = std::min(Sum.Nodes, Summary.Of);
  // The count alone may hide one node counted twice and another missing.
  if (!Summary.All && Summary.Nodes == Summary.Of)
    --Summary.Nodes;
  Summary.Lagging = Sum.Lagging;
  return Summary;
}

} // namespace marjoramrail::internal
