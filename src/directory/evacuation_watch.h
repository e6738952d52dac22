//===- evacuation_watch.h - Evacuated zones, from the store -----*- C++ -*-===//
///
/// \file
/// Keeps the table of evacuated zones. Operators write one object for each
/// evacuated zone; its existence is what counts, its content is not read. A few
/// balancers watch these objects and all others learn the table from sync
/// messages, so that the calls to the store do not grow with the fleet.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_EVACUATION_WATCH_H
#define MARJORAMRAIL_DIRECTORY_EVACUATION_WATCH_H

#include "directory/object_feed.h"
#include "marjoramrail/places.h"

namespace marjoramrail::internal {

class evacuation_watch {
public:
  struct hooks {
    /// How long the next watch may wait; nothing if other balancers watch.
    std::function<std::optional<duration>()> Wait;
    /// The evacuated zones have changed. \p Source: the store or a peer.
    std::function<void(const std::string &Source)> OnChange;
    std::function<void(bool Answers, const std::string &Reason)> OnAvailability;
  };

  evacuation_watch(timer_service &Timers, platform_api Store,
                   const std::string &Kind, hooks Hooks);

  void start() { Feed.startOnDemand(); }
  /// The store did not answer another call in time, and answers now.
  void renew() { Feed.renewWatch(); }
  /// Uses the table of a peer if it is newer.
  void takeFromPeer(const evacuations &PeerTable, const endpoint &Peer);
  const evacuations &table() const { return Table; }
  const object_feed &feed() const { return Feed; }

private:
  object_feed::hooks feedHooks();
  void takeFromStore();

  hooks Hooks;
  evacuations Table;
  object_feed Feed;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_EVACUATION_WATCH_H
