#include "fleet/force_tree.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// A report that was not acknowledged is sent again after this.
constexpr duration Repeat = std::chrono::seconds(3);
constexpr int MostTries = 5;
/// What comes within this goes up in one report. Five levels take five
/// seconds; a status is for people, and bytes are for views.
constexpr duration Settle = std::chrono::milliseconds(800);
/// Entries that fit one datagram.
constexpr std::size_t MaxEntries = 20;
/// After a change of the tree, only what changed lately is reported again.
constexpr duration Lately = std::chrono::minutes(1);
/// Names in a status; an operator needs a few to look at, not thousands.
constexpr std::size_t MaxLagging = 3;
/// Makes the order of the tree another than that of other picks.
constexpr std::uint64_t TreeSeed = 0x74726565;

} // namespace

force_tree::force_tree(timer_service &Timers, const peer_table &Peers,
                       const view_store &Views, hooks Hooks)
    : Timers(Timers), Peers(Peers), Views(Views), Hooks(std::move(Hooks)) {}

const force_tree::place &force_tree::here() {
  if (Place.PeersVersion == Peers.version())
    return Place;
  Place = {Peers.version(), "", std::nullopt, {}};
  std::vector<std::pair<std::uint64_t, const balancer_info *>> Order;
  for (const balancer_info &Peer : Peers.living())
    Order.emplace_back(hashOfName(Peer.Name, TreeSeed), &Peer);
  std::sort(Order.begin(), Order.end());
  Place.Root = Order.front().second->Name;
  std::size_t Mine = 0;
  while (Order[Mine].second->Name != Peers.self().Name)
    ++Mine;
  if (Mine > 0)
    Place.Parent = *Order[(Mine - 1) / Width].second;
  for (std::size_t I = Mine * Width + 1;
       I <= Mine * Width + Width && I < Order.size(); ++I)
    Place.Children.push_back(Order[I].second->Name);
  return Place;
}

void force_tree::viewTaken(const std::string &Service) {
  service_force &Force = Services[Service];
  Force.Complete = false;
  changed(Service, Force);
}

void force_tree::changed(const std::string &Service, service_force &Force) {
  Force.ChangedAt = Timers.now();
  Force.Report = 0;
  Force.Tries = 0;
  Active.insert(Service);
}

void force_tree::take(const endpoint &From, const force_report &Report) {
  const std::vector<std::string> &Children = here().Children;
  const bool Child = std::find(Children.begin(), Children.end(), Report.From) !=
                     Children.end();
  for (const force_entry &Entry : Report.Entries) {
    if (!Child) {
      takeFromRoot(Report, Entry);
      continue;
    }
    service_force &Force = Services[Entry.Service];
    if (Entry.Version <= Force.Completed)
      continue;
    force_entry &Known = Force.Children[Report.From];
    if (Entry.Version < Known.Version || Entry == Known)
      continue;
    Known = Entry;
    changed(Entry.Service, Force);
  }
  Hooks.Send(From, force_ack{Report.Number});
}

/// Also taken when this node does not know the same root yet: the digest of
/// names is what makes a sum complete, not who sent it.
void force_tree::takeFromRoot(const force_report &Report,
                              const force_entry &Entry) {
  if (Hooks.Holder(Entry.Service).Holder != Peers.self().Name)
    return;
  force_entry &Known = Services[Entry.Service].FromRoot;
  const bool Other = Report.From != here().Root;
  if (Entry.Version < Known.Version || Entry == Known ||
      (Other && Entry.Version == Known.Version))
    return;
  Known = Entry;
  Hooks.OnChange(Entry.Service);
}

void force_tree::take(const force_ack &Ack) {
  std::erase_if(Active, [&](const std::string &Service) {
    service_force &Force = Services[Service];
    if (Force.Report != Ack.Number || Ack.Number == 0)
      return false;
    finish(Service, Force);
    return true;
  });
}

/// Keeps nothing of a service that everyone below has confirmed: the reports
/// on 46,000 services would not fit a node's memory.
void force_tree::finish(const std::string &Service, service_force &Force) {
  const force_entry Sum = sum(Service, Force);
  if (!Sum.Lagging.empty())
    return;
  Force.Completed = Sum.Version;
  Force.Children.clear();
  Force.Complete = true;
}

force_entry force_tree::sum(const std::string &Service,
                            const service_force &Force) {
  const balancer_info &Self = Peers.self();
  force_entry Sum{
      Service, Views.versionOf(Service), 1, hashOfName(Self.Name), {}};
  for (const std::string &Child : here().Children) {
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
    if (Timers.now() - Force.ChangedAt >= Lately || Force.Complete)
      continue;
    Force.Report = 0;
    Force.Tries = 0;
    Active.insert(Service);
  }
}

std::optional<endpoint> force_tree::receiverOf(const std::string &Service) {
  if (here().Parent)
    return here().Parent->Control;
  const duty_news Duty = Hooks.Holder(Service);
  if (Duty.Holder.empty())
    return std::nullopt;
  return Duty.Control;
}

void force_tree::tick() {
  if (PeersVersion != Peers.version())
    reportAgain();
  if (Timers.now() - TickedAt < Settle)
    return;
  TickedAt = Timers.now();
  std::map<endpoint, std::vector<std::string>> ByReceiver;
  for (auto At = Active.begin(); At != Active.end();) {
    service_force &Force = Services[*At];
    const auto To = receiverOf(*At);
    if (!due(Force) || !To) {
      ++At;
      continue;
    }
    const bool Mine = *To == Peers.self().Control;
    if (Mine) {
      Force.FromRoot = sum(*At, Force);
      Hooks.OnChange(*At);
      finish(*At, Force);
    } else {
      ByReceiver[*To].push_back(*At);
    }
    At = Mine || ++Force.Tries > MostTries ? Active.erase(At) : std::next(At);
  }
  for (const auto &[To, Names] : ByReceiver)
    send(To, Names);
}

void force_tree::send(const endpoint &To,
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
    Hooks.Send(To, Report);
  }
}

force_summary force_tree::summary(const std::string &Service) {
  force_summary Summary;
  Summary.Of = static_cast<std::uint32_t>(Peers.living().size());
  const force_entry &Sum = Services[Service].FromRoot;
  Summary.Version = Sum.Version;
  if (Sum.Version < Views.versionOf(Service)) {
    // No word from the root yet; this node itself has it in force.
    Summary.Nodes = 1;
    Summary.All = Summary.Of == 1;
    return Summary;
  }
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
