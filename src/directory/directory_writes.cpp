#include "directory/directory_impl.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using json = nlohmann::json;

/// After a write of the record, its outcome has come by the watch.
static constexpr duration RecordRecheck = std::chrono::milliseconds(600);
/// A store that refuses is not asked by every balancer at every look.
static constexpr duration SelfRetry = std::chrono::seconds(2);
static constexpr duration PeerSweepPeriod = std::chrono::seconds(10);
/// The next in rank writes the record when the ones before have not.
static constexpr duration RankDelay = std::chrono::milliseconds(200);
/// Ranks that wait their turn; beyond, a store that many cannot reach would
/// hold up the record longer than SettleTime.
static constexpr std::size_t MaxRanks = 5;

std::string directory::impl::selfBody() const {
  return json{{"self", toText(Settings.Self)}, {"zone", Settings.Zone}}.dump();
}

void directory::impl::writeSelf() {
  if (!Site.known() || SelfBusy || Timers.now() < NextSelfWrite)
    return;
  const std::string Name = BalancerPrefix + Settings.Name;
  const auto Held = Site.objects().find(Name);
  const bool IsHeld = Held != Site.objects().end();
  if (IsHeld && Held->second.Version == SelfReadAt)
    return;
  if (IsHeld && json::parse(Held->second.Body, nullptr, false) ==
                    json::parse(selfBody())) {
    SelfReadAt = Held->second.Version;
    return;
  }
  platform_write Write;
  Write.Object.Key = {Settings.SiteKind, Name};
  Write.Object.Body = selfBody();
  Write.Expected = IsHeld ? Held->second.Version : 0;
  SelfBusy = true;
  NextSelfWrite = Timers.now() + SelfRetry;
  Platform.Site.Write(Write, guarded([this](const platform_reply &Reply) {
                        SelfBusy = Reply.Outcome == platform_outcome::Ok;
                      }));
}

/// Entries of balancers that were replaced. Left there, every balancer would
/// greet them for ever. One that lives finds its entry missing and writes it
/// again.
void directory::impl::removeDeadPeers() {
  const instant Now = Timers.now();
  if (Now < NextPeerSweep || !Site.known() || Peers.rank(Now) != 0)
    return;
  NextPeerSweep = Now + PeerSweepPeriod;
  for (const auto &[Name, Object] : Site.objects()) {
    const auto Peer = balancerAt(Object);
    if (!Peer || !Peers.isDead(*Peer, Now))
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

/// The store may refuse the VM of a new target for long, and serve this one.
/// Only an entry that is not there is written: of one that is, its agent alone
/// knows more than the store.
void directory::impl::registerTarget(const target_entry &Target) {
  if (!Site.known() || !Target.Name.starts_with(TargetPrefix) ||
      Site.objects().contains(Target.Name))
    return;
  Hooks.OnEvent(event_kind::TargetJoined, Target.Name + " by way of here");
  platform_write Write;
  Write.Object.Key = {Settings.SiteKind, Target.Name};
  target_entry Entry = Target;
  Entry.ByPeer = true;
  Write.Object.Body = encodeTarget(Entry);
  Platform.Site.Write(Write, [](const platform_reply &) {});
}

/// The routes or the record have changed, or a write may have failed.
void directory::impl::requestRecordUpdate() {
  RecordNeededSince = RecordNeededSince.value_or(Timers.now());
}

std::optional<std::string> directory::impl::compareRecord() {
  const route_services &Current = Activation.newestServices();
  const measured_turn Turn(Hooks.OnTurn, turn_kind::CompareRecord,
                           Current.entries().size());
  return Record.update(Current, Timers.now());
}

void directory::impl::maintainRecord() {
  writeSelf();
  removeDeadPeers();
  if (RecheckRecordAt && Timers.now() >= *RecheckRecordAt) {
    RecheckRecordAt.reset();
    requestRecordUpdate();
  }
  if (!RecordNeededSince || !Activation.known() || !Site.known() || RecordBusy)
    return;
  // Whoever waits its turn compares only then: mostly the record has come.
  const auto Rank = std::min(Peers.rank(Timers.now()), MaxRanks);
  if (Timers.now() - *RecordNeededSince <
      RankDelay * static_cast<std::int64_t>(Rank))
    return;
  if (const auto Body = compareRecord())
    return writeRecord(*Body);
  RecordNeededSince.reset();
  // Former services leave the record in time.
  RecheckRecordAt = Record.nextExpiry();
}

void directory::impl::writeRecord(const std::string &Body) {
  const auto Held = Site.objects().find(RecordName);
  platform_write Write;
  Write.Object.Key = {Settings.SiteKind, RecordName};
  Write.Object.Body = Body;
  Write.Expected = Held == Site.objects().end() ? 0 : Held->second.Version;
  RecordBusy = true;
  Platform.Site.Write(Write, guarded([this](const platform_reply &) {
                        RecordBusy = false;
                        // The watch brings the record; until then nobody needs
                        // to write it again.
                        RecordNeededSince.reset();
                        RecheckRecordAt = Timers.now() + RecordRecheck;
                      }));
}

} // namespace marjoramrail
