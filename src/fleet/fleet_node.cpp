#include "fleet/byte_budget.h"
#include "fleet/datagrams.h"
#include "fleet/force_tree.h"
#include "fleet/gossip.h"
#include "fleet/hearing.h"
#include "fleet/lease_keeper.h"
#include "fleet/platform_feed.h"
#include "fleet/rendezvous.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramrail {

using namespace internal;

namespace {

constexpr duration TickPeriod = std::chrono::milliseconds(200);
/// Nodes that compete for a shard's lease: the first of the ranking and one
/// that is ready to take over.
constexpr std::size_t Candidates = 2;
constexpr std::size_t HearersPerHost = 3;
/// Others that a holder asks about a silent host.
constexpr int ProbeOthers = 2;
/// A node that has just started may not know its peers yet; competing for every
/// duty would only make leases wander.
constexpr duration SettleIn = std::chrono::milliseconds(1500);
/// Everything is looked at now and then, e.g. to forget hosts long gone.
constexpr duration LookAtAllPeriod = std::chrono::seconds(60);
constexpr std::size_t DutiesPerBeat = 3;
/// IPv4 and UDP headers; on the wire they count like the rest.
constexpr std::size_t UdpOverhead = 28;

std::string writerName(const fleet_settings &Settings) {
  return Settings.Name + ":" + std::to_string(Settings.Incarnation);
}

balancer_info infoOf(const fleet_settings &Settings) {
  return {Settings.Name, Settings.Zone, Settings.Control, Settings.Incarnation};
}

} // namespace

struct fleet_node::impl {
  timer_service &Timers;
  fleet_settings Settings;
  fleet_hooks Hooks;
  fleet_counters Counters;
  instant StartedAt;
  peer_table Peers;
  view_store Views;
  byte_budget Budget;
  piece_joiner Joiner;
  platform_writer Writer;
  platform_feed Feed;
  std::vector<std::unique_ptr<lease_keeper>> Leases;
  std::vector<duty_news> Duties;
  /// Duties with news, and how often to tell them yet.
  std::map<std::uint32_t, int> HotDuties;
  std::uint32_t NextDuty = 0;
  gossip Gossip;
  hearing Hearing;
  force_tree Force;
  duty_holder Holder;
  /// The balancers that each host announces to, while the peers stay as are.
  std::map<std::string, std::vector<endpoint>> Assigned;
  std::optional<instant> LastHeard;
  std::vector<timer_id> OwnTimers;
  std::uint32_t LastMessage = 0;
  std::uint64_t CandidatesFor = ~std::uint64_t{0};
  std::vector<balancer_info> Told;
  bool Stopped = false;

  impl(timer_service &Service, const platform_api &Platform,
       fleet_settings Given, fleet_hooks Asked);
  ~impl();

  gossip::hooks gossipHooks();
  hearing::hooks hearingHooks();
  force_tree::hooks forceHooks();
  duty_holder::hooks holderHooks();
  void makeLeases();

  void tick();
  void input(const endpoint &From, fleet_bytes Bytes);
  bool send(const endpoint &To, const message &Message, urgency Urgency);

  void take(const endpoint &From, const announcement &Announcement) {
    Hearing.announced(From, Announcement);
  }
  void take(const endpoint &, const assignment &) { ++Counters.Faults; }
  void take(const endpoint &, const host_ping &) { ++Counters.Faults; }
  void take(const endpoint &, const host_report &Report) {
    Holder.take(Report);
  }
  void take(const endpoint &, const probe_request &Request) {
    Hearing.probe(Request);
  }
  void take(const endpoint &From, const force_report &Report) {
    Force.take(From, Report);
  }
  void take(const endpoint &, const force_ack &Ack) { Force.take(Ack); }
  template <typename Other>
  void take(const endpoint &From, const Other &Message) {
    Gossip.take(From, Message);
  }

  void takeView(const membership &Members);
  void takeDuty(const duty_news &News);
  std::vector<duty_news> dutiesToTell(bool Fill);
  void peersChanged();
  void chooseDuties();
  std::optional<std::uint64_t> termFor(const std::string &Service) const;
  const duty_news &dutyFor(const std::string &Service) const;
  void reportHost(report_kind Kind, const announcement &Heard);
  void probeOthers(const probe_request &Request);
  std::vector<endpoint> assignedTo(const std::string &Host);
  void note(const std::string &Text) const {
    if (Hooks.Note)
      Hooks.Note(Text);
  }
};

fleet_node::impl::impl(timer_service &Service, const platform_api &Platform,
                       fleet_settings Given, fleet_hooks Asked)
    : Timers(Service), Settings(std::move(Given)), Hooks(std::move(Asked)),
      StartedAt(Timers.now()), Peers(infoOf(Settings), Settings.Seed),
      Budget(Settings.BytesPerSecond, StartedAt),
      Writer(Timers, Platform, writerName(Settings), Counters),
      Feed(Timers, Platform, Counters,
           [this](const platform_object &Object) { Holder.take(Object); }),
      Duties(Settings.Shards),
      Gossip(Timers, Peers, Views, Settings.Seeds, gossipHooks()),
      Hearing(Timers, Views, Settings.SilenceBound, Settings.Control,
              Settings.Seed ^ hashOfName(Settings.Name), hearingHooks()),
      Force(Timers, Peers, Views, forceHooks()),
      Holder(Timers, Writer, Counters, holderHooks()) {
  for (std::uint32_t I = 0; I < Settings.Shards; ++I)
    Duties[I].Shard = I;
  makeLeases();
  OwnTimers.push_back(Timers.every(TickPeriod, [this] { tick(); }));
  // Nodes that start together would else beat together for ever.
  const duration Offset =
      Settings.GossipPeriod * (hashOfName(Settings.Name) % 100) / 100;
  OwnTimers.push_back(Timers.after(Offset, [this] {
    Gossip.period();
    OwnTimers.push_back(
        Timers.every(Settings.GossipPeriod, [this] { Gossip.period(); }));
  }));
  OwnTimers.push_back(
      Timers.every(LookAtAllPeriod, [this] { Holder.lookAtAll(); }));
}

fleet_node::impl::~impl() {
  for (const timer_id Timer : OwnTimers)
    Timers.cancel(Timer);
}

gossip::hooks fleet_node::impl::gossipHooks() {
  return {
      .Send = [this](const endpoint &To, const message &Message,
                     urgency Urgency) { return send(To, Message, Urgency); },
      .OnPeersChanged = [this] { peersChanged(); },
      .OnView = [this](const membership &Members) { takeView(Members); },
      .OnDuty = [this](const duty_news &News) { takeDuty(News); },
      .Duties = [this](bool Fill) { return dutiesToTell(Fill); }};
}

hearing::hooks fleet_node::impl::hearingHooks() {
  return {
      .Send =
          [this](const endpoint &To, const message &Message) {
            const bool View = std::holds_alternative<view_full>(Message) ||
                              std::holds_alternative<view_delta>(Message);
            return send(To, Message, View ? urgency::Soon : urgency::Now);
          },
      .Report = [this](report_kind Kind,
                       const announcement &Heard) { reportHost(Kind, Heard); },
      .Assigned = [this](const std::string &Host) { return assignedTo(Host); },
      .PeersAnswer =
          [this] { return Peers.living().size() > 1 && Peers.trustsItself(); }};
}

force_tree::hooks fleet_node::impl::forceHooks() {
  return {
      .Send =
          [this](const endpoint &To, const message &Message) {
            send(To, Message, urgency::Later);
          },
      .Holder = [this](const std::string &Service) { return dutyFor(Service); },
      .OnChange =
          [this](const std::string &Service) { Holder.forceChanged(Service); }};
}

duty_holder::hooks fleet_node::impl::holderHooks() {
  return {
      .Term = [this](const std::string &Service) { return termFor(Service); },
      .Known =
          [this](const std::string &Service) { return Views.find(Service); },
      .OnWritten = [this](const membership &Members) { takeView(Members); },
      .OnObject = [this](const platform_object &Object) { Feed.wrote(Object); },
      .Probe = [this](const probe_request &Request) { probeOthers(Request); },
      .Balancers = [this] { return Peers.living().size(); },
      .TrustsItself = [this] { return Peers.trustsItself(); },
      .InForce =
          [this](const std::string &Service) { return Force.summary(Service); },
      .WallClockMs = Hooks.WallClockMs,
      .Note = Hooks.Note};
}

void fleet_node::impl::makeLeases() {
  for (std::uint32_t Shard = 0; Shard < Settings.Shards; ++Shard) {
    lease_keeper::hooks LeaseHooks;
    LeaseHooks.OnHeld = [this, Shard](std::uint64_t Term) {
      note("took duty " + std::to_string(Shard) + " in term " +
           std::to_string(Term));
      Feed.start();
      Holder.lookAtAll();
    };
    LeaseHooks.OnLost = [this, Shard] {
      note("lost duty " + std::to_string(Shard));
    };
    LeaseHooks.OnSeen = [this, Shard](const lease_record &Record) {
      takeDuty({Shard, Record.Term, Record.Holder, Record.Control});
    };
    Leases.push_back(std::make_unique<lease_keeper>(
        Timers, Writer,
        lease_settings{Shard, Settings.Name, Settings.Control, Settings.Lease},
        std::move(LeaseHooks)));
  }
}

void fleet_node::impl::tick() {
  if (Stopped)
    return;
  Gossip.tick();
  chooseDuties();
  for (const auto &Lease : Leases)
    Lease->tick();
  Hearing.tick();
  Force.tick();
  const bool Holds =
      std::any_of(Leases.begin(), Leases.end(),
                  [](const auto &Lease) { return Lease->holds(); });
  if (!Holds)
    Feed.stop();
  Holder.tick(Holds && Feed.synced());
}

bool fleet_node::impl::send(const endpoint &To, const message &Message,
                            urgency Urgency) {
  if (!Budget.open(Timers.now(), Urgency)) {
    ++Counters.PutOff;
    return false;
  }
  const auto Bytes = encode(Message);
  std::size_t Overhead = 0;
  const std::size_t Sent =
      sendInPieces(Bytes, ++LastMessage, [&](fleet_bytes Piece) {
        ++Counters.DatagramsSent;
        Overhead += UdpOverhead;
        Hooks.Send(To, Piece);
      });
  Counters.BytesSent += Sent + Overhead;
  Counters.BytesByKind[Message.index()] += Sent + Overhead;
  Budget.spend(Sent + Overhead);
  return true;
}

void fleet_node::impl::input(const endpoint &From, fleet_bytes Bytes) {
  ++Counters.DatagramsReceived;
  Counters.BytesReceived += Bytes.size() + UdpOverhead;
  bool Fault = false;
  const auto Whole = Joiner.add(From, Bytes, Fault);
  Counters.Faults += Fault ? 1 : 0;
  if (!Whole)
    return;
  const auto Failure = failureOf([&]() -> result<void> {
    auto Message = decode(*Whole);
    if (!Message)
      return Message.error();
    LastHeard = Timers.now();
    std::visit([&](const auto &Value) { take(From, Value); }, *Message);
    return {};
  });
  Counters.Faults += Failure ? 1 : 0;
}

void fleet_node::impl::takeView(const membership &Members) {
  const offer Offer = Views.take(Members);
  Counters.OlderIgnored += Offer == offer::Older ? 1 : 0;
  if (Offer != offer::Newer)
    return;
  const std::string Name = Members.View.Name;
  if (Hooks.OnView)
    Hooks.OnView(*Views.find(Name));
  Gossip.viewTaken(Name);
  Force.viewTaken(Name);
  Hearing.viewTaken(*Views.find(Name));
}

void fleet_node::impl::takeDuty(const duty_news &News) {
  if (News.Shard >= Duties.size())
    return;
  duty_news &Known = Duties[News.Shard];
  const bool Released =
      News.Term == Known.Term && News.Holder.empty() && !Known.Holder.empty();
  if (News.Term <= Known.Term && !Released)
    return;
  Known = News;
  if (!News.Holder.empty())
    Gossip.addContact(News.Control);
  HotDuties[News.Shard] = 6;
  Gossip.spreadSoon();
}

std::vector<duty_news> fleet_node::impl::dutiesToTell(bool Fill) {
  std::vector<duty_news> News;
  for (auto At = HotDuties.begin();
       At != HotDuties.end() && News.size() < DutiesPerBeat;) {
    News.push_back(Duties[At->first]);
    At = --At->second <= 0 ? HotDuties.erase(At) : std::next(At);
  }
  if (Fill && News.size() < DutiesPerBeat && !Duties.empty()) {
    NextDuty = (NextDuty + 1) % static_cast<std::uint32_t>(Duties.size());
    if (Duties[NextDuty].Term > 0)
      News.push_back(Duties[NextDuty]);
  }
  return News;
}

void fleet_node::impl::peersChanged() {
  Assigned.clear();
  if (!Hooks.OnBalancers || Told == Peers.living())
    return;
  Told = Peers.living();
  Hooks.OnBalancers(Told);
}

void fleet_node::impl::chooseDuties() {
  if (CandidatesFor == Peers.version() || Timers.now() - StartedAt < SettleIn)
    return;
  CandidatesFor = Peers.version();
  for (std::uint32_t Shard = 0; Shard < Leases.size(); ++Shard) {
    const auto Picked =
        pick("shard-" + std::to_string(Shard), Peers.living(), Candidates);
    const bool Mine =
        std::any_of(Picked.begin(), Picked.end(), [&](std::size_t At) {
          return Peers.living()[At].Name == Settings.Name;
        });
    Leases[Shard]->setWanted(Mine);
  }
}

std::optional<std::uint64_t>
fleet_node::impl::termFor(const std::string &Service) const {
  const auto &Lease = Leases[shardOf(Service, Settings.Shards)];
  if (!Lease->holds())
    return std::nullopt;
  return Lease->term();
}

const duty_news &fleet_node::impl::dutyFor(const std::string &Service) const {
  return Duties[shardOf(Service, Settings.Shards)];
}

void fleet_node::impl::reportHost(report_kind Kind, const announcement &Heard) {
  const host_report Report{Kind, Settings.Name, Heard};
  const duty_news &Duty = dutyFor(Heard.Service);
  if (Duty.Holder == Settings.Name)
    Holder.take(Report);
  else if (!Duty.Holder.empty())
    send(Duty.Control, Report, urgency::Now);
}

void fleet_node::impl::probeOthers(const probe_request &Request) {
  Hearing.probe(Request);
  for (int I = 0; I < ProbeOthers; ++I)
    if (const auto Peer = Peers.random())
      send(Peer->Control, Request, urgency::Now);
}

std::vector<endpoint> fleet_node::impl::assignedTo(const std::string &Host) {
  const auto Known = Assigned.find(Host);
  if (Known != Assigned.end())
    return Known->second;
  std::vector<endpoint> Endpoints;
  for (const std::size_t At : pick(Host, Peers.living(), HearersPerHost))
    Endpoints.push_back(Peers.living()[At].Control);
  Assigned[Host] = Endpoints;
  return Endpoints;
}

// By value, as all cores take their dependencies.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
fleet_node::fleet_node(timer_service &Timers, platform_api Platform,
                       fleet_settings Settings, fleet_hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, Platform, std::move(Settings),
                                  std::move(Hooks))) {}

fleet_node::~fleet_node() = default;

void fleet_node::input(const endpoint &From, fleet_bytes Bytes) {
  Impl->input(From, Bytes);
}

void fleet_node::stop() {
  if (Impl->Stopped)
    return;
  Impl->Stopped = true;
  for (const auto &Lease : Impl->Leases)
    Lease->release();
  Impl->Feed.stop();
  Impl->Gossip.leave();
}

const membership *fleet_node::find(const std::string &Service) const {
  return Impl->Views.find(Service);
}

std::vector<std::string> fleet_node::services() const {
  return Impl->Views.names();
}

std::vector<balancer_info> fleet_node::balancers() const {
  return Impl->Peers.living();
}

std::vector<std::uint32_t> fleet_node::duties() const {
  std::vector<std::uint32_t> Held;
  for (std::uint32_t I = 0; I < Impl->Leases.size(); ++I)
    if (Impl->Leases[I]->holds())
      Held.push_back(I);
  return Held;
}

bool fleet_node::ready() const { return Impl->Views.size() > 0; }

std::optional<instant> fleet_node::lastHeard() const { return Impl->LastHeard; }

const fleet_counters &fleet_node::counters() const { return Impl->Counters; }

std::string fleet_node::statusJson() const {
  using json = nlohmann::json;
  json Balancers = json::array();
  for (const balancer_info &Peer : Impl->Peers.living())
    Balancers.push_back(
        {{"name", Peer.Name}, {"control", toText(Peer.Control)}});
  json Views = json::object();
  for (const auto &[Name, Members] : Impl->Views.all())
    Views[Name] = {{"version", Members.View.Version}, {"term", Members.Term}};
  return json{{"name", Impl->Settings.Name},
              {"duties", duties()},
              {"balancers", Balancers},
              {"views", Views}}
      .dump(2);
}

} // namespace marjoramrail
