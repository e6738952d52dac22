//===- directory_impl.h - Internals of the directory class ------*- C++ -*-===//
///
/// \file
/// The implementation class of directory. Its functions are grouped by subject:
/// the public functions and the activation of routes in directory.cpp, data
/// from the store in directory_feeds.cpp, exchange with peers in
/// directory_peers.cpp, writes to the store in directory_writes.cpp, late
/// configurations in directory_lag.cpp.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_DIRECTORY_IMPL_H
#define MARJORAMRAIL_DIRECTORY_DIRECTORY_IMPL_H

#include "marjoramrail/directory.h"

#include "directory/balancer_entry.h"
#include "directory/evacuation_watch.h"
#include "directory/first_known.h"
#include "directory/object_feed.h"
#include "directory/peer_selector.h"
#include "directory/record_writer.h"
#include "directory/route_activation.h"
#include "directory/route_loader.h"
#include "directory/route_table_codec.h"
#include "directory/routes_lag.h"
#include "directory/routes_progress_log.h"
#include "directory/snapshot_store.h"
#include "directory/sync_message.h"
#include "directory/watch_schedule.h"

#include <random>

namespace marjoramrail {

using namespace internal;

struct directory::impl {
  using watch_decision = std::optional<duration> (*)(const watch_state &);

  impl(timer_service &Timers, directory_platform Platform,
       directory_settings Settings, directory_hooks Hooks);
  ~impl() { *Alive = false; }

  object_feed::hooks feedHooks(const std::string &Kind,
                               void (impl::*OnObject)(const platform_object &),
                               const object_feed &Own, watch_decision Wait);
  /// The objects of marjoramrail's own kind have become known.
  void onFirstList();
  /// The store answers calls for the own objects again.
  void onSiteRecovered();
  watch_state watchStateOf(const object_feed &Feed) const;
  evacuation_watch::hooks evacuationHooks();
  void onEvacuationsChanged(const std::string &Source);
  /// The number of balancers ahead of this one, of the site and of its zone,
  /// when tasks are assigned.
  std::size_t rank(instant Now) const;
  std::size_t rankInZone(instant Now) const;
  /// Whether this balancer has been running for at least \p After.
  bool hasRunFor(duration After, instant Now) const;
  /// This balancer does no tasks for others for this time since its start.
  duration discoveryTime(instant Now) const;
  /// Whether the site is being started for the first time.
  bool isSiteStarting(instant Now) const;

  void onRoutesObject(const platform_object &Object);
  void onSiteObject(const platform_object &Object);
  void onBalancer(const platform_object &Object);
  route_loader::hooks loaderHooks();
  void onRoutesRead(const platform_object &Object, route_table Table);
  std::optional<instant> knownAsOf() const;
  void activateNewestRoutes();
  /// Reports the active configuration, once for each version.
  void reportActiveRoutes();
  /// Logs the services in effect that are not on record.
  void reportUnrecordedServices();
  /// Since when the object \p ObjectVersion could have been in use here.
  instant routesAvailableSince(std::uint64_t ObjectVersion) const;
  void notifyChanges();
  void notifyRules();
  /// Puts into effect what has waited long enough.
  void advanceRoutes();
  void armActivation();
  /// Some balancer has known the object \p ObjectVersion since \p Since.
  void noteRoutesKnown(std::uint64_t ObjectVersion, instant Since);
  /// The newest configuration that has been read, or 0.
  std::uint64_t newestVersion() const;
  /// The step at which the newest configuration is.
  routes_position routesPosition(instant Now) const;
  /// Which balancer's call would confirm the configuration.
  std::string confirmationSource(instant Now) const;
  /// Logs when the configuration becomes late, and when it is no more.
  void checkRoutesLag();

  void sendSyncMessages();
  /// The age of the data, for the choice of peers.
  data_age dataAge(instant Now) const;
  void tellPeersSoon();
  void input(const endpoint &From, std::span<const std::uint8_t> Bytes);
  sync_message makeSyncMessage() const;
  replication_state replicationStateOf(const object_feed &Feed) const;
  /// Gets the changes from the store that the sender of \p Request needs and
  /// this balancer cannot tell.
  void provideHistory(const sync_message &Request);
  void applyChanges(sync_message &Reply);
  void applySyncState(const endpoint &Peer, object_feed &Feed,
                      const std::string &Kind,
                      const replication_state &PeerState, instant RequestedAt);
  void followPeer(const endpoint &Peer, object_feed &Feed,
                  const std::string &Kind, const replication_state &PeerState);
  bool isFresh(const object_feed &Feed) const;
  duration pullDelay(const endpoint &Peer, const object_feed &Feed) const;
  void pull(const endpoint &Peer, object_feed &Feed, const std::string &Kind,
            std::uint64_t PeerLastChange);

  void maintainRecord();
  /// How long this balancer waits for others to write the record.
  duration recordDelay(instant Now) const;
  /// How long it waits after its own write of the record has failed.
  duration recordRetryDelay(instant Now) const;
  record_writer::hooks recordHooks();
  void logRecordWrite(const platform_reply &Reply, duration Took);
  void writeSelf();
  void removeDeadPeers();
  void onRegistrationRequest(const endpoint &From,
                             std::span<const std::uint8_t> Bytes);
  void registerTarget(const target_entry &Target);
  std::string selfBody() const;
  snapshot_reader::hooks snapshotHooks();
  /// Writes the snapshot if this balancer is the first of a large site.
  void maintainSnapshot();
  site_snapshot makeSnapshot() const;

  template <typename Callable> auto guarded(Callable Task) {
    return [Alive = Alive, Task = std::move(Task)](auto &&...Arguments) {
      if (*Alive)
        Task(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }

  timer_service &Timers;
  directory_platform Platform;
  directory_settings Settings;
  directory_hooks Hooks;
  std::mt19937_64 Random;
  peer_selector Peers;
  route_record Record;
  record_writer RecordWriter;
  route_activation Activation;
  snapshot_reader FirstLists;
  object_feed Routes;
  object_feed Site;
  evacuation_watch Evacuations;
  snapshot_writer Snapshots;
  route_loader Loader;
  /// While the loader is busy: the time up to which data was complete when
  /// loading began.
  std::optional<instant> KnownBeforeLoading;
  std::uint32_t ZoneNumber;
  std::optional<instant> StartedAt;
  /// This balancer's address is among the seeds.
  bool IsSeed = false;
  /// The number of other balancers known when the first list was complete.
  std::size_t PeersFound = 0;
  /// leave() was called.
  bool IsLeaving = false;
  std::map<std::string, target_entry> Targets;
  /// The newest table, until it is passed to Activation.
  std::optional<route_table> Decoded;
  std::uint64_t DecodedVersion = 0;
  /// The store version of the object that it was read from.
  std::uint64_t DecodedObjectVersion = 0;
  first_known RoutesFirstKnown;
  routes_progress_log RoutesProgress;
  routes_lag RoutesLag;
  /// When the timer that activates the next table fires, the earliest one if
  /// there are several.
  std::optional<instant> ActivationDue;
  /// The peer whose copy is being applied; nothing while data of the store is.
  std::optional<endpoint> CopySource;
  /// Rules or targets have changed since the hooks were last called.
  bool RulesChanged = false;
  bool TargetsChanged = false;
  bool Pulling = false;
  instant NextRoutesPull;
  instant NextHistoryRequest;
  bool SelfWritePending = false;
  instant NextSelfWrite;
  /// The version of this balancer's own entry that was last found to have the
  /// expected content.
  std::uint64_t SelfCheckedVersion = 0;
  instant NextPeerSweep;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DIRECTORY_DIRECTORY_IMPL_H
