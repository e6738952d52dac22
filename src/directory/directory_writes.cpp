#include "directory/directory_impl.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using json = nlohmann::json;

/// Within this time after a write of the record the watch has returned its
/// result.
static constexpr duration RecordRecheckDelay = std::chrono::milliseconds(600);
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

/// Called when the routes or the record have changed, or a write may have
/// failed.
void directory::impl::requestRecordUpdate() {
  RecordNeededSince = RecordNeededSince.value_or(Timers.now());
}

std::optional<std::string> directory::impl::compareRecord() {
  const route_services &Current = Activation.newestServices();
  const callback_timer Timer(Hooks.OnCallback, callback_kind::CompareRecord,
                             Current.entries().size());
  return Record.update(Current, Timers.now());
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

void directory::impl::maintainRecord() {
  writeSelf();
  removeDeadPeers();
  if (RecheckRecordAt && Timers.now() >= *RecheckRecordAt) {
    RecheckRecordAt.reset();
    requestRecordUpdate();
  }
  if (!RecordNeededSince || !Activation.known() || !Site.known() ||
      RecordWritePending)
    return;
  // The comparison is only made after the wait, when the record has usually
  // been written by another balancer.
  if (Timers.now() - *RecordNeededSince < recordDelay(Timers.now()))
    return;
  if (const auto Body = compareRecord())
    return writeRecord(*Body);
  RecordNeededSince.reset();
  // Previous services are removed from the record when their time is over.
  RecheckRecordAt = Record.nextExpiry();
}

void directory::impl::writeRecord(const std::string &Body) {
  const auto Held = Site.objects().find(RecordName);
  platform_write Write;
  Write.Object.Key = {Settings.SiteKind, RecordName};
  Write.Object.Body = Body;
  Write.Expected = Held == Site.objects().end() ? 0 : Held->second.Version;
  RecordWritePending = true;
  Platform.Site.Write(Write, guarded([this, BegunAt = Timers.now()](
                                         const platform_reply &Reply) {
                        logRecordWrite(Reply, BegunAt);
                        RecordWritePending = false;
                        // The watch returns the new record; until then it need
                        // not be written again.
                        RecordNeededSince.reset();
                        RecheckRecordAt = Timers.now() + RecordRecheckDelay;
                      }));
}

void directory::impl::logRecordWrite(const platform_reply &Reply,
                                     instant BegunAt) {
  const bool IsWritten = Reply.Outcome == platform_outcome::Ok;
  const std::string Result =
      IsWritten ? "as version " + std::to_string(Reply.Object.Version)
                : "failed: " + Reply.Reason;
  Hooks.OnEvent(event_kind::RecordWritten,
                Result + ", after " +
                    std::to_string(inMilliseconds(Timers.now() - BegunAt)) +
                    " ms");
}

} // namespace marjoramrail
