#include "directory/watch_schedule.h"

namespace marjoramrail::internal {

/// The watch time of the first balancer in rank. The rest of SettleTime is left
/// for passing its confirmation from balancer to balancer.
static constexpr duration FirstWatcherWait = std::chrono::milliseconds(550);
/// The age of the data at which the first balancer confirms it at once: it has
/// just become the first, or its last watch was delayed.
static constexpr duration OverdueAge = std::chrono::milliseconds(800);
/// The ages at which the second and the third balancer confirm the data, above
/// what the first one's confirmations take to arrive.
static constexpr duration SecondAge = std::chrono::milliseconds(950);
static constexpr duration ThirdAge = std::chrono::milliseconds(1050);
/// A watch for changes only. If its connection stops responding, changes
/// arrive from another balancer; longer waits would delay the detection of
/// that.
static constexpr duration LongWatchWait = std::chrono::seconds(20);
/// The wait of a watch that only confirms the age of the data, or checks
/// whether the store answers.
static constexpr duration ShortWait = std::chrono::milliseconds(10);
/// A balancer without peers confirms its data alone, within SettleTime.
static constexpr duration SoloWatchWait = std::chrono::milliseconds(900);
/// The number of balancers that watch for evacuations on behalf of all, and how
/// long each watch waits. If a connection stops responding, only the end of
/// the watch shows it, and evacuations have to be known within seconds.
static constexpr std::size_t EvacuationWatchers = 2;
static constexpr duration EvacuationWatchWait = std::chrono::seconds(5);
/// A balancer that has received few messages from peers yet ranks first of its
/// zone, for longer than first of all.
static constexpr duration ZonePeerDiscoveryTime = std::chrono::seconds(2);
/// The time from one attempt to the next of a balancer that is not the first
/// while the store is unavailable: every call is charged for, including refused
/// ones. The store may answer this balancer only, so the interval is part of
/// the time until a change is known after an outage. It counts from the start
/// of an attempt: one that gets no answer ends by a time-out nearly as long.
static constexpr duration BackgroundRetryInterval = std::chrono::seconds(2);
/// Balancers that rank lower, or are no contacts of their zones, learn the age
/// of a snapshot from the others.
static constexpr std::size_t MaxContactRank = 40;
/// How often a balancer that the store refuses, and that gets its data from
/// peers, checks whether the store answers again.
static constexpr duration AvailabilityCheckInterval = std::chrono::seconds(1);

/// The age of the data at which a balancer makes a call to confirm it.
static duration confirmationAgeOf(const watch_state &State) {
  if (State.Rank >= State.Watchers && State.RunTime < State.StartupTime)
    return State.StartupTime;
  if (State.RunTime < State.DiscoveryTime || State.Rank >= State.Watchers)
    return PeerStateMaxAge;
  if (State.Rank == 0)
    return OverdueAge;
  return State.Rank == 1 ? SecondAge : ThirdAge;
}

/// How long a balancer with current data watches for changes.
static std::optional<duration> changesWatchWait(const watch_state &State) {
  if (State.RunTime < State.DiscoveryTime)
    return std::nullopt;
  if (State.Rank == 0)
    return FirstWatcherWait;
  return State.Rank == 1 ? std::optional(LongWatchWait) : std::nullopt;
}

/// The first balancer retries on behalf of all.
bool leavesRetryToOthers(const watch_state &State) {
  const bool HasTried =
      State.SinceFailedCall && *State.SinceFailedCall < BackgroundRetryInterval;
  return State.Rank > 0 && !State.IsAnswering && HasTried;
}

static std::optional<duration> dataWatchWait(const watch_state &State) {
  // Without a date no lost flow can be reset, and its packets are passed from
  // agent to agent again and again.
  if (!State.IsDated && State.Rank < MaxContactRank)
    return ShortWait;
  if (State.DataAge && *State.DataAge <= confirmationAgeOf(State))
    return changesWatchWait(State);
  if (State.ReliesOnContacts)
    return std::nullopt;
  if (State.LivePeers == 0)
    return SoloWatchWait;
  if (leavesRetryToOthers(State))
    return std::nullopt;
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
  if (State.IsStoreLost || leavesRetryToOthers(State))
    return std::nullopt;
  const auto Wait = dataWatchWait(State);
  // The configuration is too large for a datagram, and copies within the zone
  // use no link between zones.
  const bool IsZoneWatcher =
      State.RankInZone == 0 && State.RunTime >= ZonePeerDiscoveryTime;
  return !Wait && IsZoneWatcher ? LongWatchWait : Wait;
}

std::optional<duration> evacuationsWatchWait(const watch_state &State) {
  const bool IsWatcher = State.Rank < EvacuationWatchers &&
                         State.RunTime >= State.DiscoveryTime &&
                         !State.IsStoreLost;
  return IsWatcher ? std::optional(EvacuationWatchWait) : std::nullopt;
}

} // namespace marjoramrail::internal
