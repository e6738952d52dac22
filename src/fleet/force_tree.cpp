#include "fleet/force_tree.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// A report that was not acknowledged is sent again after this.
constexpr duration Repeat = std::chrono::seconds(2);
constexpr int MostTries = 5;
/// What comes within this goes up in one report. Five levels take two seconds,
/// and a status is for people.
constexpr duration Settle = std::chrono::milliseconds(400);
/// Entries that fit one datagram.
constexpr std::size_t MaxEntries = 20;
/// After a change of the tree, only what changed lately is reported again.
constexpr duration Lately = std::chrono::minutes(1);
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
  Force.Report = 0;
  Force.Tries = 0;
  Active.insert(Service);
}

void force_tree::take(const endpoint &From, const force_report &Report) {
  for (const force_entry &Entry : Report.Entries) {
    service_force &Force = Services[Entry.Service];
    force_entry &Known = Force.Children[Report.From];
    if (Entry.Version < Known.Version || Entry == Known)
      continue;
    Known = Entry;
    changed(Entry.Service, Force);
  }
  Hooks.Send(From, force_ack{Report.Number});
}

void force_tree::take(const force_ack &Ack) {
  std::erase_if(Active, [&](const std::string &Service) {
    const service_force &Force = Services[Service];
    return Force.Report == Ack.Number && Force.Report != 0;
  });
}

force_entry force_tree::sum(const std::string &Service,
                            const service_force &Force) {
  const balancer_info &Self = Peers.self();
  force_entry Sum{
      Service, Views.versionOf(Service), 1, hashOfName(Self.Name), {}};
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

bool force_tree::due(const service_force &Force) const {
  if (Timers.now() - Force.ChangedAt < Settle)
    return false;
  return Force.Report == 0 || Timers.now() - Force.SentAt >= Repeat;
}

/// In another tree, children that reported elsewhere have to report here.
void force_tree::reportAgain() {
  PeersVersion = Peers.version();
  for (auto &[Service, Force] : Services) {
    if (Timers.now() - Force.ChangedAt >= Lately)
      continue;
    Force.Report = 0;
    Force.Tries = 0;
    Active.insert(Service);
  }
}

void force_tree::tick() {
  if (PeersVersion != Peers.version())
    reportAgain();
  if (Timers.now() - TickedAt < Settle)
    return;
  TickedAt = Timers.now();
  std::map<endpoint, std::vector<std::string>> ByParent;
  for (auto At = Active.begin(); At != Active.end();) {
    service_force &Force = Services[*At];
    const std::string Holder = Hooks.Holder(*At);
    if (!due(Force) || Holder.empty()) {
      ++At;
      continue;
    }
    const auto &Parent = placeUnder(Holder).Parent;
    if (Parent)
      ByParent[Parent->Control].push_back(*At);
    else
      Hooks.OnChange(*At);
    const bool Done = !Parent || ++Force.Tries > MostTries;
    At = Done ? Active.erase(At) : std::next(At);
  }
  for (const auto &[Parent, Names] : ByParent)
    send(Parent, Names);
}

void force_tree::send(const endpoint &Parent,
                      const std::vector<std::string> &Names) {
  for (std::size_t First = 0; First < Names.size(); First += MaxEntries) {
    force_report Report{Peers.self().Name, ++LastReport, {}};
    const std::size_t End = std::min(Names.size(), First + MaxEntries);
    for (std::size_t I = First; I < End; ++I) {
      service_force &Force = Services[Names[I]];
      Report.Entries.push_back(sum(Names[I], Force));
      Force.Report = Report.Number;
      Force.SentAt = Timers.now();
    }
    Hooks.Send(Parent, Report);
  }
}

force_summary force_tree::summary(const std::string &Service) {
  force_summary Summary;
  Summary.Of = static_cast<std::uint32_t>(Peers.living().size());
  const force_entry Sum = sum(Service, Services[Service]);
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
