#include "fleet/gossip.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// Updates that arrive within this time go out in one message.
constexpr duration SpreadDelay = std::chrono::milliseconds(60);
/// Minimum interval between two rounds of updates: when many changes come, each
/// datagram carries several of them instead of one.
constexpr duration SpreadInterval = std::chrono::milliseconds(300);
/// Peers that a node sends its updates to at once; each of them does the same.
constexpr int SpreadFanout = 2;
/// Number of peers that a node sends each new version to at once. With four,
/// these updates alone miss about one node in fifty; the periodic heartbeats
/// reach the others.
constexpr int SendsPerView = 4;
/// Periodic heartbeats repeat the last changes, so that nodes missed by the
/// first updates catch up without an exchange of digests while changes keep
/// coming.
constexpr std::size_t MaxRecent = 12;
constexpr duration RecentWindow = std::chrono::seconds(5);
/// A requested view that did not arrive is requested again from another peer,
/// since the first may have spent its byte budget.
constexpr duration RequestRetryInterval = std::chrono::milliseconds(600);
constexpr int MaxRequestAttempts = 4;
constexpr duration DigestsInterval = std::chrono::seconds(2);
/// While changes come, digests differ all the time; then they are compared only
/// this often.
constexpr duration BusyDigestsInterval = std::chrono::seconds(5);
constexpr duration QuietPeriod = std::chrono::seconds(2);
/// Bounds of the lists in a heartbeat, so that one with full lists fits one
/// datagram.
constexpr std::size_t MaxPeerUpdates = 8;
constexpr std::size_t MaxFill = 16;
constexpr std::size_t MaxVersions = 24;
/// Versions in an answer to digests: three datagrams.
constexpr std::size_t MaxListedVersions = 150;
constexpr std::size_t MaxRequestedViews = 40;
/// Heartbeats are sent to a seed once in this many periods, so that a fleet
/// that was partitioned for longer than dead peers are remembered joins again.
constexpr std::uint64_t PeriodsPerSeed = 10;
constexpr std::size_t MaxContacts = 8;

} // namespace

gossip::gossip(timer_service &Timers, peer_table &Peers,
               const view_store &Views, std::vector<endpoint> Seeds,
               hooks Hooks)
    : Timers(Timers), Peers(Peers), Views(Views), Seeds(std::move(Seeds)),
      Hooks(std::move(Hooks)) {
  std::erase(this->Seeds, Peers.self().Control);
}

gossip::~gossip() {
  if (SpreadTimer)
    Timers.cancel(*SpreadTimer);
}

std::vector<view_version> gossip::nextPendingViews() {
  std::vector<view_version> Update;
  for (auto At = PendingViews.begin();
       At != PendingViews.end() && Update.size() < MaxVersions;) {
    Update.push_back({At->first, Views.versionOf(At->first)});
    At = --At->second <= 0 ? PendingViews.erase(At) : std::next(At);
  }
  return Update;
}

void gossip::addRecent(std::vector<view_version> &Versions) {
  for (const auto &Change : Recent) {
    const bool There = std::any_of(Versions.begin(), Versions.end(),
                                   [&](const view_version &Version) {
                                     return Version.Service == Change.first;
                                   });
    if (Timers.now() - Change.second < RecentWindow && !There &&
        Versions.size() < MaxVersions)
      Versions.push_back({Change.first, Views.versionOf(Change.first)});
  }
}

gossip_update gossip::makeUpdate() {
  gossip_update Update;
  Update.Peers = Peers.updatesToSend(MaxPeerUpdates, false);
  Update.Views = nextPendingViews();
  Update.ShardLeases = Hooks.ShardLeases(false);
  return Update;
}

peer_heartbeat gossip::makeHeartbeat(bool WantsAnswer, bool Fill) {
  peer_heartbeat Heartbeat;
  Heartbeat.From = Peers.self();
  Heartbeat.WantsAnswer = WantsAnswer;
  Heartbeat.ViewsDigest = Views.digest();
  Heartbeat.PeersDigest = Peers.digest();
  Heartbeat.Peers = Peers.updatesToSend(Fill ? MaxFill : MaxPeerUpdates, Fill);
  if (!Fill)
    Heartbeat.Views = nextPendingViews();
  addRecent(Heartbeat.Views);
  Heartbeat.ShardLeases = Hooks.ShardLeases(true);
  return Heartbeat;
}

void gossip::period() {
  if (const auto Peer = Peers.nextToProbe(Timers.now()))
    Hooks.Send(Peer->Control, makeHeartbeat(true, PeersDiffer), urgency::Now);
  const bool Alone = Peers.living().size() < 2;
  if (Alone || Periods % PeriodsPerSeed == 0)
    contactSeed();
  ++Periods;
}

void gossip::contactSeed() {
  const std::size_t Count = Seeds.size() + Contacts.size();
  if (Count == 0)
    return;
  const std::size_t At = SeedContacts++ % Count;
  Hooks.Send(At < Seeds.size() ? Seeds[At] : Contacts[At - Seeds.size()],
             makeHeartbeat(true, false), urgency::Now);
}

void gossip::addContact(const endpoint &Control) {
  if (Control == Peers.self().Control ||
      std::find(Contacts.begin(), Contacts.end(), Control) != Contacts.end())
    return;
  Contacts.push_back(Control);
  if (Contacts.size() > MaxContacts)
    Contacts.erase(Contacts.begin());
}

void gossip::tick() {
  if (Peers.tick(Timers.now()))
    Hooks.OnPeersChanged();
  if (Peers.hasUpdates() || !PendingViews.empty())
    scheduleSpread();
  retryRequests();
}

void gossip::retryRequests() {
  view_request Request;
  for (auto At = Requested.begin(); At != Requested.end();) {
    const bool Overdue =
        Timers.now() - At->second.RequestedAt >= RequestRetryInterval;
    if (Overdue && At->second.Times >= MaxRequestAttempts) {
      At = Requested.erase(At);
      continue;
    }
    if (Overdue && Request.Have.size() < MaxRequestedViews) {
      At->second = {Timers.now(), At->second.Times + 1};
      Request.Have.push_back({At->first, Views.versionOf(At->first)});
    }
    ++At;
  }
  const auto Peer = Peers.random();
  if (Peer && !Request.Have.empty())
    Hooks.Send(Peer->Control, Request, urgency::Now);
}

void gossip::viewTaken(const std::string &Service) {
  Requested.erase(Service);
  PendingViews[Service] = SendsPerView;
  std::erase_if(Recent,
                [&](const auto &Change) { return Change.first == Service; });
  Recent.emplace_front(Service, Timers.now());
  if (Recent.size() > MaxRecent)
    Recent.pop_back();
  scheduleSpread();
}

void gossip::scheduleSpread() {
  if (SpreadTimer)
    return;
  const duration Pause = SpreadInterval - (Timers.now() - SpreadAt);
  SpreadTimer = Timers.after(std::max(SpreadDelay, Pause), [this] {
    SpreadTimer.reset();
    spread();
  });
}

void gossip::spread() {
  SpreadAt = Timers.now();
  for (int I = 0; I < SpreadFanout; ++I) {
    const auto Peer = Peers.random();
    const bool Nothing = !Peers.hasUpdates() && PendingViews.empty();
    if (!Peer || (Nothing && I > 0))
      return;
    if (!Hooks.Send(Peer->Control, makeUpdate(), urgency::Soon))
      return;
  }
}

std::size_t gossip::takeUpdate(const endpoint &From,
                               const gossip_update &Update) {
  std::size_t Unknown = 0;
  for (const peer_update &Peer : Update.Peers)
    Unknown += Peers.take(Peer, Timers.now()) ? 1 : 0;
  if (Unknown > 0)
    Hooks.OnPeersChanged();
  for (const shard_lease_update &Lease : Update.ShardLeases)
    Hooks.OnLease(Lease);
  compare(From, Update.Views);
  return Unknown;
}

void gossip::take(const endpoint &From, const gossip_update &Update) {
  takeUpdate(From, Update);
}

void gossip::take(const endpoint &From, const peer_heartbeat &Heartbeat) {
  PeerSeen = true;
  if (Peers.messageReceived(Heartbeat.From, Timers.now()))
    Hooks.OnPeersChanged();
  const std::size_t Unknown = takeUpdate(
      From, {Heartbeat.Peers, Heartbeat.Views, Heartbeat.ShardLeases});
  PeersDiffer = Heartbeat.PeersDigest != Peers.digest();
  if (Heartbeat.WantsAnswer)
    Hooks.Send(From, makeHeartbeat(false, PeersDiffer), urgency::Now);
  else if (Unknown * 2 > MaxFill)
    // The sender probably has more updates: requesting them lets a new node
    // learn the fleet quickly.
    Hooks.Send(From, makeHeartbeat(true, true), urgency::Soon);
  if (Heartbeat.ViewsDigest != Views.digest() && digestsDue())
    exchangeDigests(From);
}

bool gossip::digestsDue() const {
  if (DigestsAt == instant())
    return true;
  const bool Busy =
      !Recent.empty() && Timers.now() - Recent.front().second < QuietPeriod;
  return Timers.now() - DigestsAt >=
         (Busy ? BusyDigestsInterval : DigestsInterval);
}

void gossip::exchangeDigests(const endpoint &From) {
  const auto &Digests = Views.bucketDigests();
  if (Hooks.Send(From,
                 bucket_digests{std::vector<std::uint64_t>(Digests.begin(),
                                                           Digests.end())},
                 urgency::Later))
    DigestsAt = Timers.now();
}

void gossip::take(const endpoint &From, const bucket_digests &Digests) {
  bucket_versions Answer;
  for (std::uint32_t I = 0; I < view_store::Buckets; ++I) {
    if (I >= Digests.Digests.size() ||
        Digests.Digests[I] == Views.bucketDigests()[I])
      continue;
    Answer.Buckets.push_back(I);
    for (view_version &Version : Views.versionsIn(I))
      Answer.Views.push_back(std::move(Version));
    if (Answer.Views.size() >= MaxListedVersions)
      break;
  }
  if (!Answer.Buckets.empty())
    Hooks.Send(From, Answer, urgency::Soon);
}

void gossip::take(const endpoint &From, const bucket_versions &Versions) {
  compare(From, Versions.Views);
  // Lists the versions that the sender lacks or has older; it then requests
  // them.
  std::map<std::string, std::uint64_t> Theirs;
  for (const view_version &Version : Versions.Views)
    Theirs[Version.Service] = Version.Version;
  gossip_update Update;
  for (const std::uint32_t Bucket : Versions.Buckets)
    for (view_version &Mine : Views.versionsIn(Bucket))
      if (Theirs[Mine.Service] < Mine.Version &&
          Update.Views.size() < MaxVersions)
        Update.Views.push_back(std::move(Mine));
  if (!Update.Views.empty())
    Hooks.Send(From, Update, urgency::Soon);
}

void gossip::compare(const endpoint &From,
                     const std::vector<view_version> &Theirs) {
  view_request Request;
  for (const view_version &Version : Theirs) {
    const std::uint64_t Mine = Views.versionOf(Version.Service);
    if (Version.Version <= Mine || Request.Have.size() >= MaxRequestedViews)
      continue;
    const auto Pending = Requested.find(Version.Service);
    if (Pending != Requested.end() &&
        Timers.now() - Pending->second.RequestedAt < RequestRetryInterval)
      continue;
    Requested[Version.Service] = {Timers.now(), 1};
    Request.Have.push_back({Version.Service, Mine});
  }
  if (!Request.Have.empty())
    Hooks.Send(From, Request, urgency::Now);
}

void gossip::take(const endpoint &From, const view_request &Request) {
  for (const view_version &Have : Request.Have) {
    const membership *Members = Views.find(Have.Service);
    if (Members == nullptr || Members->View.Version <= Have.Version)
      continue;
    const view_delta *Delta = Views.deltaFrom(Have.Service, Have.Version);
    const bool Sent =
        Delta != nullptr ? Hooks.Send(From, *Delta, urgency::Soon)
                         : Hooks.Send(From, view_full{*Members}, urgency::Soon);
    if (!Sent)
      return;
  }
}

void gossip::take(const endpoint &, const view_full &Full) {
  Hooks.OnView(Full.Members);
}

void gossip::take(const endpoint &, const view_delta &Delta) {
  const membership *Members = Views.find(Delta.Changed.View.Name);
  if (Members == nullptr)
    return;
  if (const auto Next = applyDelta(*Members, Delta))
    Hooks.OnView(*Next);
}

void gossip::leave() {
  const gossip_update Update{
      {peer_update{Peers.self(), peer_state::Dead}}, {}, {}};
  for (int I = 0; I < SendsPerView; ++I)
    if (const auto Peer = Peers.random())
      Hooks.Send(Peer->Control, Update, urgency::Now);
}

} // namespace marjoramrail::internal
