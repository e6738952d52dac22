#include "directory/evacuation_watch.h"

namespace marjoramrail::internal {

evacuation_watch::evacuation_watch(timer_service &Timers, platform_api Store,
                                   const std::string &Kind, hooks Hooks)
    : Hooks(std::move(Hooks)),
      Feed(Timers, std::move(Store), Kind, feedHooks()) {}

object_feed::hooks evacuation_watch::feedHooks() {
  object_feed::hooks Feed;
  Feed.OnObject = [](const platform_object &) {};
  Feed.OnBatch = [this] { takeFromStore(); };
  Feed.Wait = [this] { return Hooks.Wait(); };
  Feed.OnAvailability = [this](bool Answers, const std::string &Reason) {
    Hooks.OnAvailability(Answers, Reason);
  };
  return Feed;
}

void evacuation_watch::takeFromStore() {
  evacuations Stored;
  Stored.Version = Feed.version();
  for (const auto &[Name, Object] : Feed.objects())
    Stored.Zones.push_back(Name);
  if (Table.adopt(Stored))
    Hooks.OnChange("the store");
}

void evacuation_watch::takeFromPeer(const evacuations &PeerTable,
                                    const endpoint &Peer) {
  if (Table.adopt(PeerTable))
    Hooks.OnChange(toText(Peer));
}

} // namespace marjoramrail::internal
