#include "fleet/gossip.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// News that come within this go out as one beat.
constexpr duration SpreadDelay = std::chrono::milliseconds(60);
/// Between two rounds of news: when many changes come, each datagram carries
/// several of them instead of its headers for one.
constexpr duration SpreadPause = std::chrono::milliseconds(300);
/// Peers that a node tells its news to at once; each then does the same.
constexpr int SpreadFanout = 2;
/// Peers that a node tells each new version to at once. With four, rumour
/// alone misses about one node in fifty; the periodic beats reach those.
constexpr int TellTimes = 4;
/// Periodic beats repeat the last changes, so that what rumour missed is found
/// without an exchange of digests while changes keep coming.
constexpr std::size_t MaxRecent = 12;
constexpr duration RecentFor = std::chrono::seconds(5);
/// A requested view that did not come is asked for again, of another peer: the
/// first may have spent its byte budget.
constexpr duration RequestAgain = std::chrono::milliseconds(600);
constexpr int MaxRequests = 4;
constexpr duration DigestsPause = std::chrono::seconds(2);
/// Digests differ all the time while changes come; then they are compared
/// only this often.
constexpr duration DigestsPauseBusy = std::chrono::seconds(5);
constexpr duration Quiet = std::chrono::seconds(2);
/// So that a beat with all of them fits one datagram.
constexpr std::size_t MaxNews = 8;
constexpr std::size_t MaxFill = 16;
constexpr std::size_t MaxVersions = 24;
/// Versions in an answer to digests: three datagrams.
constexpr std::size_t MaxListed = 150;
constexpr std::size_t MaxAsked = 40;
/// A fleet that was cut in two for longer than the dead are remembered finds
/// itself again through the seeds.
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

std::vector<view_version> gossip::hotViews() {
  std::vector<view_version> News;
  for (auto At = HotViews.begin();
       At != HotViews.end() && News.size() < MaxVersions;) {
    News.push_back({At->first, Views.versionOf(At->first)});
    At = --At->second <= 0 ? HotViews.erase(At) : std::next(At);
  }
  return News;
}

void gossip::addRecent(std::vector<view_version> &Versions) {
  for (const auto &Change : Recent) {
    const bool There = std::any_of(Versions.begin(), Versions.end(),
                                   [&](const view_version &Version) {
                                     return Version.Service == Change.first;
                                   });
    if (Timers.now() - Change.second < RecentFor && !There &&
        Versions.size() < MaxVersions)
      Versions.push_back({Change.first, Views.versionOf(Change.first)});
  }
}

news gossip::makeNews() {
  news News;
  News.Peers = Peers.newsToSend(MaxNews, false);
  News.Views = hotViews();
  News.Duties = Hooks.Duties(false);
  return News;
}

beat gossip::makeBeat(bool WantsAnswer, bool Fill) {
  beat Beat;
  Beat.From = Peers.self();
  Beat.WantsAnswer = WantsAnswer;
  Beat.ViewsDigest = Views.digest();
  Beat.PeersDigest = Peers.digest();
  Beat.Peers = Peers.newsToSend(Fill ? MaxFill : MaxNews, Fill);
  if (!Fill)
    Beat.Views = hotViews();
  addRecent(Beat.Views);
  Beat.Duties = Hooks.Duties(true);
  return Beat;
}

void gossip::period() {
  if (const auto Peer = Peers.nextToAsk(Timers.now()))
    Hooks.Send(Peer->Control, makeBeat(true, PeersDiffer), urgency::Now);
  const bool Alone = Peers.living().size() < 2;
  if (Alone || Periods % PeriodsPerSeed == 0)
    callSeed();
  ++Periods;
}

void gossip::callSeed() {
  const std::size_t Count = Seeds.size() + Contacts.size();
  if (Count == 0)
    return;
  const std::size_t At = SeedCalls++ % Count;
  Hooks.Send(At < Seeds.size() ? Seeds[At] : Contacts[At - Seeds.size()],
             makeBeat(true, false), urgency::Now);
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
  if (Peers.hasNews() || !HotViews.empty())
    spreadSoon();
  requestAgain();
}

void gossip::requestAgain() {
  view_request Request;
  for (auto At = Requested.begin(); At != Requested.end();) {
    const bool Overdue = Timers.now() - At->second.AskedAt >= RequestAgain;
    if (Overdue && At->second.Times >= MaxRequests) {
      At = Requested.erase(At);
      continue;
    }
    if (Overdue && Request.Have.size() < MaxAsked) {
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
  HotViews[Service] = TellTimes;
  std::erase_if(Recent,
                [&](const auto &Change) { return Change.first == Service; });
  Recent.emplace_front(Service, Timers.now());
  if (Recent.size() > MaxRecent)
    Recent.pop_back();
  spreadSoon();
}

void gossip::spreadSoon() {
  if (SpreadTimer)
    return;
  const duration Pause = SpreadPause - (Timers.now() - SpreadAt);
  SpreadTimer = Timers.after(std::max(SpreadDelay, Pause), [this] {
    SpreadTimer.reset();
    spread();
  });
}

void gossip::spread() {
  SpreadAt = Timers.now();
  for (int I = 0; I < SpreadFanout; ++I) {
    const auto Peer = Peers.random();
    const bool Nothing = !Peers.hasNews() && HotViews.empty();
    if (!Peer || (Nothing && I > 0))
      return;
    if (!Hooks.Send(Peer->Control, makeNews(), urgency::Soon))
      return;
  }
}

std::size_t gossip::takeNews(const endpoint &From, const news &News) {
  std::size_t Unknown = 0;
  for (const peer_news &Peer : News.Peers)
    Unknown += Peers.take(Peer, Timers.now()) ? 1 : 0;
  if (Unknown > 0)
    Hooks.OnPeersChanged();
  for (const duty_news &Duty : News.Duties)
    Hooks.OnDuty(Duty);
  compare(From, News.Views);
  return Unknown;
}

void gossip::take(const endpoint &From, const news &News) {
  takeNews(From, News);
}

void gossip::take(const endpoint &From, const beat &Beat) {
  Met = true;
  if (Peers.heard(Beat.From, Timers.now()))
    Hooks.OnPeersChanged();
  const std::size_t Unknown =
      takeNews(From, {Beat.Peers, Beat.Views, Beat.Duties});
  PeersDiffer = Beat.PeersDigest != Peers.digest();
  if (Beat.WantsAnswer)
    Hooks.Send(From, makeBeat(false, PeersDiffer), urgency::Now);
  else if (Unknown * 2 > MaxFill)
    // There is more where this came from: a new node learns the fleet fast.
    Hooks.Send(From, makeBeat(true, true), urgency::Soon);
  if (Beat.ViewsDigest != Views.digest() && digestsDue())
    exchangeDigests(From);
}

bool gossip::digestsDue() const {
  if (DigestsAt == instant())
    return true;
  const bool Busy =
      !Recent.empty() && Timers.now() - Recent.front().second < Quiet;
  return Timers.now() - DigestsAt >= (Busy ? DigestsPauseBusy : DigestsPause);
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
    if (Answer.Views.size() >= MaxListed)
      break;
  }
  if (!Answer.Buckets.empty())
    Hooks.Send(From, Answer, urgency::Soon);
}

void gossip::take(const endpoint &From, const bucket_versions &Versions) {
  compare(From, Versions.Views);
  // What the other lacks or has older: it is told, and asks.
  std::map<std::string, std::uint64_t> Theirs;
  for (const view_version &Version : Versions.Views)
    Theirs[Version.Service] = Version.Version;
  news News;
  for (const std::uint32_t Bucket : Versions.Buckets)
    for (view_version &Mine : Views.versionsIn(Bucket))
      if (Theirs[Mine.Service] < Mine.Version &&
          News.Views.size() < MaxVersions)
        News.Views.push_back(std::move(Mine));
  if (!News.Views.empty())
    Hooks.Send(From, News, urgency::Soon);
}

void gossip::compare(const endpoint &From,
                     const std::vector<view_version> &Theirs) {
  view_request Request;
  for (const view_version &Version : Theirs) {
    const std::uint64_t Mine = Views.versionOf(Version.Service);
    if (Version.Version <= Mine || Request.Have.size() >= MaxAsked)
      continue;
    const auto Asked = Requested.find(Version.Service);
    if (Asked != Requested.end() &&
        Timers.now() - Asked->second.AskedAt < RequestAgain)
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
  const news News{{peer_news{Peers.self(), peer_state::Dead}}, {}, {}};
  for (int I = 0; I < TellTimes; ++I)
    if (const auto Peer = Peers.random())
      Hooks.Send(Peer->Control, News, urgency::Now);
}

} // namespace marjoramrail::internal
