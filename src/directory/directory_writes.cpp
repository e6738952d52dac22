#include "directory/directory_impl.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using json = nlohmann::json;

/// Limits the rate at which balancers retry while the store refuses their
/// calls.
static constexpr duration SelfWriteInterval = std::chrono::seconds(2);
static constexpr duration PeerSweepPeriod = std::chrono::seconds(10);
/// Each balancer waits this long per rank, and writes the record only if those
/// of lower rank have not.
static constexpr duration RankDelay = std::chrono::milliseconds(200);
/// The number of ranks that wait. With more, the record would be delayed for
/// longer than SettleTime if many balancers cannot reach the store.
static constexpr std::size_t MaxRanks = 5;

/// The first balancer repeats a write of the record that has failed after this
/// time, and each other one after that much longer than the one ahead of it.
static constexpr duration RecordRetryInterval = std::chrono::milliseconds(600);

/// A store's list has up to this number of objects in one answer; beyond that a
/// snapshot saves calls as well as bytes.
static constexpr std::size_t SnapshotMinObjects = 500;
/// A balancer that has just started may not know those ahead of it.
static constexpr duration SnapshotDelay = std::chrono::seconds(3);

std::string directory::impl::selfBody() const {
  return encodeBalancer({Settings.Self, Settings.Zone});
}

snapshot_reader::hooks directory::impl::snapshotHooks() {
  snapshot_reader::hooks Hooks;
  Hooks.OnRefused = [this](const std::string &Reason) {
    this->Hooks.OnEvent(event_kind::ObjectRefused, Reason);
  };
  return Hooks;
}

site_snapshot directory::impl::makeSnapshot() const {
  site_snapshot Snapshot;
  Snapshot.Routes.Version = Routes.version();
  for (const auto &[Name, Object] : Routes.objects())
    Snapshot.Routes.Objects.push_back(Object);
  Snapshot.Site.Version = Site.version();
  for (const auto &[Name, Object] : Site.objects())
    Snapshot.Site.Objects.push_back(Object);
  return Snapshot;
}

void directory::impl::maintainSnapshot() {
  const instant Now = Timers.now();
  const bool IsComplete = isFresh(Site) && isFresh(Routes) && !Loader.busy();
  if (Site.objects().size() < SnapshotMinObjects || rank(Now) != 0 ||
      !hasRunFor(SnapshotDelay, Now) || !IsComplete)
    return;
  Snapshots.save(std::max(Site.lastChange(), Routes.lastChange()),
                 [this] { return makeSnapshot(); });
}

void directory::impl::writeSelf() {
  if (!Site.known() || SelfWritePending || Timers.now() < NextSelfWrite)
    return;
  const std::string Name = BalancerPrefix + Settings.Name;
  const auto Held = Site.objects().find(Name);
  const bool IsHeld = Held != Site.objects().end();
  if (IsHeld && Held->second.Version == SelfCheckedVersion)
    return;
  if (IsHeld && json::parse(Held->second.Body, nullptr, false) ==
                    json::parse(selfBody())) {
    SelfCheckedVersion = Held->second.Version;
    return;
  }
  platform_write Write;
  Write.Object.Key = {Settings.SiteKind, Name};
  Write.Object.Body = selfBody();
  Write.Expected = IsHeld ? Held->second.Version : 0;
  SelfWritePending = true;
  NextSelfWrite = Timers.now() + SelfWriteInterval;
  Platform.Site.Write(Write, guarded([this](const platform_reply &Reply) {
                        SelfWritePending =
                            Reply.Outcome == platform_outcome::Ok;
                      }));
}

/// Removes the entries of balancers that were replaced; otherwise every
/// balancer would send messages to them indefinitely. A balancer that is alive
/// finds its entry missing and writes it again. In a large zone only balancers
/// of the zone contact its peers, so that only they notice.
void directory::impl::removeDeadPeers() {
  const instant Now = Timers.now();
  if (Now < NextPeerSweep || !Site.known())
    return;
  if (rank(Now) != 0 && !(Peers.isZoneLarge() && rankInZone(Now) == 0))
    return;
  NextPeerSweep = Now + PeerSweepPeriod;
  for (const auto &[Name, Object] : Site.objects()) {
    const auto Peer = decodeBalancer(Object);
    if (!Peer || !Peers.isDead(Peer->Self, Now))
      continue;
    Hooks.OnEvent(event_kind::TargetDown, Name);
    Platform.Site.Remove(Object.Key, Object.Version,
                         [](const platform_reply &) {});
  }
}

void directory::impl::onRegistrationRequest(
    const endpoint &From, std::span<const std::uint8_t> Bytes) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Target, decodeRegistrationRequest(Bytes));
    registerTarget(Target);
    return {};
  });
  if (Failure)
    Hooks.OnEvent(event_kind::ObjectRefused,
                  toText(From) + ": " + toText(*Failure));
}

/// Registers a target on behalf of its agent: the store may refuse the VM of a
/// new target for long and serve this balancer. Only a missing entry is
/// written, since the state of an existing one is only known to its agent.
void directory::impl::registerTarget(const target_entry &Target) {
  if (!Site.known() || !Target.Name.starts_with(TargetPrefix) ||
      Site.objects().contains(Target.Name))
    return;
  Hooks.OnEvent(event_kind::TargetJoined,
                Target.Name + ", written on behalf of its agent");
  platform_write Write;
  Write.Object.Key = {Settings.SiteKind, Target.Name};
  target_entry Entry = Target;
  Entry.ByPeer = true;
  Write.Object.Body = encodeTarget(Entry);
  Platform.Site.Write(Write, [](const platform_reply &) {});
}

record_writer::hooks directory::impl::recordHooks() {
  record_writer::hooks Writer;
  Writer.Configured = [this] {
    return Activation.known() && Site.known()
               ? Activation.newestServices()
               : std::shared_ptr<const route_services>();
  };
  Writer.WaitForOthers = [this](instant Now) { return recordDelay(Now); };
  Writer.RetryDelay = [this](instant Now) { return recordRetryDelay(Now); };
  Writer.Write = [this](const platform_write &Write, platform_callback Done) {
    Platform.Site.Write(Write, std::move(Done));
  };
  Writer.OnRecord = [this] {
    RulesChanged = true;
    Activation.noteRecord(Record);
  };
  Writer.OnWritten = [this](const platform_reply &Reply, duration Took) {
    logRecordWrite(Reply, Took);
    notifyChanges();
  };
  Writer.OnCallback = Hooks.OnCallback;
  return Writer;
}

/// In a large zone a change needs longer to reach all balancers. Those that are
/// no contacts wait until all contacts have failed; otherwise dozens of them
/// would write the record for each change.
duration directory::impl::recordDelay(instant Now) const {
  if (isSiteStarting(Now) && !IsSeed)
    return discoveryTime(Now);
  if (!isSiteStarting(Now) && Peers.isZoneLarge() && !Peers.isContact(Now))
    return RankDelay * static_cast<std::int64_t>(2 * MaxRanks);
  const auto Ranks = static_cast<std::int64_t>(std::min(rank(Now), MaxRanks));
  // A write of the first one is known to the others only after this time.
  constexpr duration LargeZoneDelay = std::chrono::milliseconds(500);
  if (Peers.isZoneLarge())
    return std::min(LargeZoneDelay * Ranks,
                    RankDelay * static_cast<std::int64_t>(MaxRanks));
  return RankDelay * Ranks;
}

/// Every call is charged for, including refused ones. If all balancers repeated
/// a refused write after the same time, their calls would grow with the site.
/// Those that have no rank count as the last ones.
duration directory::impl::recordRetryDelay(instant Now) const {
  const std::size_t Ahead = std::min(rank(Now), Peers.size());
  return RecordRetryInterval * static_cast<std::int64_t>(1 + Ahead);
}

void directory::impl::maintainRecord() {
  writeSelf();
  removeDeadPeers();
  RecordWriter.check();
}

void directory::impl::logRecordWrite(const platform_reply &Reply,
                                     duration Took) {
  const bool IsWritten = Reply.Outcome == platform_outcome::Ok;
  const std::string Result =
      IsWritten ? "as version " + std::to_string(Reply.Object.Version)
                : "failed: " + Reply.Reason;
  Hooks.OnEvent(event_kind::RecordWritten,
                Result + ", after " + std::to_string(inMilliseconds(Took)) +
                    " ms");
}

/// Until they are on record, a balancer that starts does not know that these
/// services may own flows.
void directory::impl::reportUnrecordedServices() {
  if (Record.missing() == 0)
    return;
  const std::size_t Unrecorded =
      Activation.activeServices().without(Record.all()).size();
  if (Unrecorded == 0)
    return;
  Hooks.OnEvent(event_kind::RoutesUnrecorded,
                "version " + std::to_string(Activation.activeVersion()) + ": " +
                    std::to_string(Unrecorded) +
                    " services of routes are not on record; " +
                    RecordWriter.status());
}

} // namespace marjoramrail
