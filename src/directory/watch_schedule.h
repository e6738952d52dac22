//===- watch_schedule.h - Which balancers watch the store -------*- C++ -*-===//
///
/// \file
/// Decides whether a balancer watches the store itself, and how long the watch
/// may wait. Every call to the store is charged for, and its rate does not grow
/// with the fleet; so a few balancers watch and the others learn from their
/// sync messages. Without any watch, however, the data of all becomes too old
/// to reset lost flows, and changes are not seen.
///
/// The first balancer in rank watches marjoramrail's own objects and the
/// configuration for all. Each watch that expires confirms the age of the data.
/// The next ones in rank stand by: they make a call only when the data is older
/// than the first one lets it become. If all watched in turn, their periods
/// would drift together and the data would become too old in between.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_WATCH_SCHEDULE_H
#define MARJORAMRAIL_DIRECTORY_WATCH_SCHEDULE_H

#include "marjoramrail/base.h"

#include <optional>

namespace marjoramrail::internal {

/// Data older than this is not current any more: the watchers may be cut off
/// from the store, or this balancer from them.
inline constexpr duration PeerStateMaxAge = std::chrono::milliseconds(1200);

/// What a balancer knows when it decides about its next watch of one kind.
struct watch_state {
  /// The number of balancers ahead of this one, in the site and in its zone,
  /// and the number of watchers that the site needs.
  std::size_t Rank = 0;
  std::size_t RankInZone = 0;
  std::size_t Watchers = 1;
  std::size_t LivePeers = 0;
  /// Time since this balancer started.
  duration RunTime = duration::zero();
  /// A balancer that has received no message from peers yet ranks first of all.
  /// Without this delay every balancer of a starting site would watch the store
  /// and be sent a response for every agent that registers.
  duration DiscoveryTime = std::chrono::milliseconds(400);
  /// For this time since the start, a balancer that is no watcher leaves it to
  /// others to confirm the age of the data.
  duration StartupTime = duration::zero();
  /// A balancer of a large zone that gets its data from a contact that answers.
  /// If the data is old, the store does not answer the contacts; a call of each
  /// other balancer would not change that.
  bool ReliesOnContacts = false;
  /// Age of its data of the kind; nothing if it has none.
  std::optional<duration> DataAge;
  /// The age is known; otherwise the data comes from a snapshot, and DataAge is
  /// the time since the start.
  bool IsDated = true;
  /// The last call of the kind was answered; time since the end of the last one
  /// that was not.
  bool IsAnswering = true;
  std::optional<duration> SinceFailure;
  /// Time since the last call that was not answered began; nothing if the store
  /// has answered another one since.
  std::optional<duration> SinceFailedCall;

  /// The store did not answer this balancer's last call for marjoramrail's own
  /// objects, which are asked for first after an outage.
  bool IsStoreLost = false;

  bool isFresh() const { return DataAge && *DataAge <= PeerStateMaxAge; }
};

/// The store did not answer this balancer's last call, and the next one is left
/// to another balancer for now.
bool leavesRetryToOthers(const watch_state &State);
/// How long the next watch of marjoramrail's own objects may wait; nothing if
/// no watch is needed now.
std::optional<duration> siteWatchWait(const watch_state &State);
/// The same for the configuration.
std::optional<duration> routesWatchWait(const watch_state &State);
/// The same for evacuations.
std::optional<duration> evacuationsWatchWait(const watch_state &State);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_WATCH_SCHEDULE_H
