#include "fleet/applied_tree.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// A report that was not acknowledged is sent again after this time.
constexpr duration ResendInterval = std::chrono::seconds(3);
constexpr int MaxTries = 5;
/// Changes within this time go up in one report. Five levels take five seconds,
/// which is fast enough for a status read by people and leaves the bytes for
/// views.
constexpr duration ReportDelay = std::chrono::milliseconds(800);
/// Entries that fit one datagram.
constexpr std::size_t MaxEntries = 20;
/// After a change of the tree, only services that changed within this time are
/// reported again.
constexpr duration RecentWindow = std::chrono::minutes(1);
/// Names in a status; operators need a few nodes to check, not thousands.
constexpr std::size_t MaxLagging = 3;
/// Makes the order of the tree differ from the other uses of hashOfName().
constexpr std::uint64_t TreeSeed = 0x74726565;

} // namespace

applied_tree::applied_tree(timer_service &Timers, const peer_table &Peers,
                           const view_store &Views, hooks Hooks)
    : Timers(Timers), Peers(Peers), Views(Views), Hooks(std::move(Hooks)) {}

const applied_tree::place &applied_tree::currentPlace() {
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

void applied_tree::viewTaken(const std::string &Service) {
  applied_progress &Progress = Services[Service];
  Progress.Complete = false;
  changed(Service, Progress);
}

void applied_tree::changed(const std::string &Service,
                           applied_progress &Progress) {
  Progress.ChangedAt = Timers.now();
  Progress.Report = 0;
  Progress.Tries = 0;
  Active.insert(Service);
}

void applied_tree::take(const endpoint &From, const applied_report &Report) {
  const std::vector<std::string> &Children = currentPlace().Children;
  const bool Child = std::find(Children.begin(), Children.end(), Report.From) !=
                     Children.end();
  for (const applied_entry &Entry : Report.Entries) {
    if (!Child) {
      takeFromRoot(Report, Entry);
      continue;
    }
    applied_progress &Progress = Services[Entry.Service];
    if (Entry.Version <= Progress.Completed)
      continue;
    applied_entry &Known = Progress.Children[Report.From];
    if (Entry.Version < Known.Version || Entry == Known)
      continue;
    Known = Entry;
    changed(Entry.Service, Progress);
  }
  Hooks.Send(From, applied_ack{Report.Number});
}

/// Reports from a node other than the root known here are accepted too, since
/// this node may know another set of peers for a moment: a total is complete by
/// the digest of its names, whoever sent it.
void applied_tree::takeFromRoot(const applied_report &Report,
                                const applied_entry &Entry) {
  if (Hooks.Holder(Entry.Service).Holder != Peers.self().Name)
    return;
  applied_entry &Known = Services[Entry.Service].FromRoot;
  const bool Other = Report.From != currentPlace().Root;
  if (Entry.Version < Known.Version || Entry == Known ||
      (Other && Entry.Version == Known.Version))
    return;
  Known = Entry;
  Hooks.OnChange(Entry.Service);
}

void applied_tree::take(const applied_ack &Ack) {
  std::erase_if(Active, [&](const std::string &Service) {
    applied_progress &Progress = Services[Service];
    if (Progress.Report != Ack.Number || Ack.Number == 0)
      return false;
    releaseIfComplete(Service, Progress);
    return true;
  });
}

/// Drops the details of a service that all nodes below have confirmed: the
/// reports on 46,000 services would not fit a node's memory.
void applied_tree::releaseIfComplete(const std::string &Service,
                                     applied_progress &Progress) {
  const applied_entry Sum = sum(Service, Progress);
  if (!Sum.Lagging.empty())
    return;
  Progress.Completed = Sum.Version;
  Progress.Children.clear();
  Progress.Complete = true;
}

applied_entry applied_tree::sum(const std::string &Service,
                                const applied_progress &Progress) {
  const balancer_info &Self = Peers.self();
  applied_entry Sum{
      Service, Views.versionOf(Service), 1, hashOfName(Self.Name), {}};
  for (const std::string &Child : currentPlace().Children) {
    const auto Found = Progress.Children.find(Child);
    const bool Confirmed = Found != Progress.Children.end() &&
                           Found->second.Version >= Sum.Version;
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

bool applied_tree::due(const applied_progress &Progress) const {
  if (Timers.now() - Progress.ChangedAt < ReportDelay)
    return false;
  return Progress.Report == 0 ||
         Timers.now() - Progress.SentAt >= ResendInterval;
}

/// After a change of the tree, children that reported to another parent have to
/// report to the new one.
void applied_tree::scheduleReports() {
  PeersVersion = Peers.version();
  for (auto &[Service, Progress] : Services) {
    if (Timers.now() - Progress.ChangedAt >= RecentWindow || Progress.Complete)
      continue;
    Progress.Report = 0;
    Progress.Tries = 0;
    Active.insert(Service);
  }
}

std::optional<endpoint> applied_tree::receiverOf(const std::string &Service) {
  if (currentPlace().Parent)
    return currentPlace().Parent->Control;
  const shard_lease_update Lease = Hooks.Holder(Service);
  if (Lease.Holder.empty())
    return std::nullopt;
  return Lease.Control;
}

void applied_tree::tick() {
  if (PeersVersion != Peers.version())
    scheduleReports();
  if (Timers.now() - TickedAt < ReportDelay)
    return;
  TickedAt = Timers.now();
  std::map<endpoint, std::vector<std::string>> ByReceiver;
  for (auto At = Active.begin(); At != Active.end();) {
    applied_progress &Progress = Services[*At];
    const auto To = receiverOf(*At);
    if (!due(Progress) || !To) {
      ++At;
      continue;
    }
    const bool Mine = *To == Peers.self().Control;
    if (Mine) {
      Progress.FromRoot = sum(*At, Progress);
      Hooks.OnChange(*At);
      releaseIfComplete(*At, Progress);
    } else {
      ByReceiver[*To].push_back(*At);
    }
    At = Mine || ++Progress.Tries > MaxTries ? Active.erase(At) : std::next(At);
  }
  for (const auto &[To, Names] : ByReceiver)
    send(To, Names);
}

void applied_tree::send(const endpoint &To,
                        const std::vector<std::string> &Names) {
  for (std::size_t First = 0; First < Names.size(); First += MaxEntries) {
    applied_report Report{Peers.self().Name, ++LastReport, {}};
    const std::size_t End = std::min(Names.size(), First + MaxEntries);
    for (std::size_t I = First; I < End; ++I) {
      applied_progress &Progress = Services[Names[I]];
      Report.Entries.push_back(sum(Names[I], Progress));
      Progress.Report = Report.Number;
      Progress.SentAt = Timers.now();
    }
    Hooks.Send(To, Report);
  }
}

applied_summary applied_tree::summary(const std::string &Service) {
  applied_summary Summary;
  Summary.Of = static_cast<std::uint32_t>(Peers.living().size());
  const applied_entry &Sum = Services[Service].FromRoot;
  Summary.Version = Sum.Version;
  if (Sum.Version < Views.versionOf(Service)) {
    // No report from the root yet; only this node is known to apply the view.
    Summary.Nodes = 1;
    Summary.All = Summary.Of == 1;
    return Summary;
  }
  std::uint64_t Everyone = 0;
  for (const balancer_info &Peer : Peers.living())
    Everyone ^= hashOfName(Peer.Name);
  Summary.All = Sum.NamesDigest == Everyone && Sum.Nodes == Summary.Of;
  Summary.Nodes = std::min(Sum.Nodes, Summary.Of);
  // The count alone could hide one node counted twice and another missing.
  if (!Summary.All && Summary.Nodes == Summary.Of)
    --Summary.Nodes;
  Summary.Lagging = Sum.Lagging;
  return Summary;
}

} // namespace marjoramrail::internal
