#include "directory/watch_schedule.h"
#include "directory/peer_selector.h"

namespace marjoramrail::internal {

/// The watch time of the first balancer in rank. The rest of SettleTime is left
/// for passing its confirmation from balancer to balancer.
static constexpr duration FirstWatcherWait = std::chrono::milliseconds(550);
/// The second balancer's watch, which returns changes if the first one fails.
/// Three times as long, so that it rarely expires.
static constexpr duration SecondWatcherWait = 3 * FirstWatcherWait;
/// The age of the data at which the third balancer makes a call: above what the
/// first watcher's confirmations take to arrive.
static constexpr duration StandbyAge = std::chrono::milliseconds(1050);
/// The wait of a watch that only confirms the age of the data, or checks
/// whether the store answers.
static constexpr duration ShortWait = std::chrono::milliseconds(10);
/// A balancer without peers confirms its data alone, within SettleTime.
static constexpr duration SoloWatchWait = std::chrono::milliseconds(900);
/// The watchers of a zone watch the configuration for its changes only; the age
/// of their data is confirmed by the first watcher of the site.
static constexpr duration ZoneWatchWait = std::chrono::seconds(5);
/// The number of balancers per zone that watch the configuration. It is too
/// large for a datagram, and copies within the zone use no link between zones.
static constexpr std::size_t RoutesWatchersInZone =
    peer_selector::WatchersPerZone;
/// The number of balancers that watch for evacuations on behalf of all, and how
/// long each watch waits. If a connection no longer responds, only the end of
/// the watch shows it, and evacuations have to be known within seconds.
static constexpr std::size_t EvacuationWatchers = 2;
static constexpr duration EvacuationWatchWait = std::chrono::seconds(5);
/// A balancer that has received no message from peers yet ranks first of all,
/// and for a little longer first of its zone. Without these delays every
/// balancer of a starting site would watch the store and be sent a response for
/// every agent that registers.
static constexpr duration PeerDiscoveryTime = std::chrono::milliseconds(400);
static constexpr duration ZonePeerDiscoveryTime = std::chrono::seconds(2);
/// How long a balancer that is not the first waits between two attempts while
/// the store is unavailable: every call is charged for, including refused ones.
static constexpr duration BackgroundRetryInterval = std::chrono::seconds(3);
/// How often a balancer that the store refuses, and that gets its data from
/// peers, checks whether the store answers again.
static constexpr duration AvailabilityCheckInterval = std::chrono::seconds(1);

/// The age of the data at which a balancer of this rank makes a call itself.
static duration patienceOf(const watch_state &State) {
  return State.Rank < State.Watchers ? StandbyAge : PeerStateMaxAge;
}

static std::optional<duration> dataWatchWait(const watch_state &State) {
  const bool KnowsPeers = State.RunTime >= PeerDiscoveryTime;
  const bool IsFirst = State.Rank == 0 && KnowsPeers;
  const bool IsSecond = State.Rank == 1 && KnowsPeers;
  if (!IsFirst && !IsSecond && State.DataAge &&
      *State.DataAge <= patienceOf(State))
    return std::nullopt;
  if (State.LivePeers == 0)
    return SoloWatchWait;
  // The first balancer retries on behalf of all.
  const bool HasTried =
      State.SinceFailure && *State.SinceFailure < BackgroundRetryInterval;
  if (!IsFirst && !State.IsAnswering && HasTried)
    return std::nullopt;
  // The previous first one has stopped: its last confirmation is old already.
  const bool IsOverdue = !State.DataAge || *State.DataAge > FirstWatcherWait;
  if (IsFirst)
    return IsOverdue ? ShortWait : FirstWatcherWait;
  if (IsSecond)
    return State.isFresh() ? SecondWatcherWait : ShortWait;
  return ShortWait;
}

/// Peers pass over a balancer that the store refuses. One that gets its data
/// from peers makes no calls that would show that the store answers it again,
/// so it checks now and then. Otherwise it would be passed over for good, and
/// its peers would do tasks that it goes on doing itself.
std::optional<duration> siteWatchWait(const watch_state &State) {
  const auto Wait = dataWatchWait(State);
  if (Wait || State.IsAnswering || !State.isFresh())
    return Wait;
  const bool IsCheckDue =
      !State.SinceFailure || *State.SinceFailure >= AvailabilityCheckInterval;
  return IsCheckDue ? std::optional(ShortWait) : std::nullopt;
}

std::optional<duration> routesWatchWait(const watch_state &State) {
  if (State.IsStoreLost)
    return std::nullopt;
  const auto Wait = dataWatchWait(State);
  const bool IsZoneWatcher = State.RankInZone < RoutesWatchersInZone &&
                             State.RunTime >= ZonePeerDiscoveryTime;
  return !Wait && IsZoneWatcher ? ZoneWatchWait : Wait;
}

std::optional<duration> evacuationsWatchWait(const watch_state &State) {
  const bool IsWatcher = State.Rank < EvacuationWatchers &&
                         State.RunTime >= PeerDiscoveryTime &&
                         !State.IsStoreLost;
  return IsWatcher ? std::optional(EvacuationWatchWait) : std::nullopt;
}

} // namespace marjoramrail::internal
