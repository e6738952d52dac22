//===- snapshot_store.h - Reads and writes the site snapshot ----*- C++ -*-===//
///
/// \file
/// Reads the snapshot of the site in place of the first lists of a starting
/// balancer, and writes it from time to time. The snapshot only saves time: if
/// there is none, or it cannot be used, the store's lists are requested.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_SNAPSHOT_STORE_H
#define MARJORAMRAIL_DIRECTORY_SNAPSHOT_STORE_H

#include "directory/site_snapshot.h"

namespace marjoramrail::internal {

/// Object kind of the snapshot. It differs from that of targets and balancers,
/// because nobody watches it.
inline constexpr const char *SnapshotKind = "marjoramrail-snapshot";
inline constexpr const char *SnapshotName = "site";

class snapshot_reader {
public:
  struct hooks {
    /// The snapshot cannot be used; \p Reason is for the log.
    std::function<void(const std::string &Reason)> OnRefused;
  };

  /// \p Routes and \p Site request the lists of \p RoutesKind and \p SiteKind.
  snapshot_reader(platform_api Routes, platform_api Site,
                  std::string RoutesKind, std::string SiteKind, hooks Hooks);
  ~snapshot_reader();
  snapshot_reader(const snapshot_reader &) = delete;
  snapshot_reader &operator=(const snapshot_reader &) = delete;

  /// Call \p Done with the objects of the kind: undated ones of the snapshot,
  /// or those of the store's own list if there is no snapshot. One read serves
  /// both kinds.
  void listRoutes(platform_callback Done);
  void listSite(platform_callback Done);

private:
  /// A list that waits for the snapshot.
  struct request {
    kind_snapshot site_snapshot::*Kind;
    platform_callback Done;
  };

  void list(request Request);
  void onRead(const platform_reply &Reply);
  std::optional<site_snapshot> decode(const platform_reply &Reply) const;
  void requestList(const request &Request) const;

  platform_api Routes;
  platform_api Site;
  std::string RoutesKind;
  std::string SiteKind;
  hooks Hooks;
  std::vector<request> Waiting;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

class snapshot_writer {
public:
  /// Minimum time between two writes.
  static constexpr duration WriteInterval = std::chrono::seconds(5);
  /// A larger snapshot does not fit into an object of the store.
  static constexpr std::size_t MaxBytes = 1'000'000;

  snapshot_writer(timer_service &Timers, platform_api Store)
      : Timers(Timers), Store(std::move(Store)) {}
  ~snapshot_writer() { *Alive = false; }
  snapshot_writer(const snapshot_writer &) = delete;
  snapshot_writer &operator=(const snapshot_writer &) = delete;

  /// Writes the snapshot that \p Make returns if \p Change, the version of the
  /// newest change in it, has not been written yet and a write is due. Has to
  /// be called again and again: a call may only read the present snapshot,
  /// which is never replaced by an older one.
  void save(std::uint64_t Change, const std::function<site_snapshot()> &Make);

private:
  void read();
  void onRead(const platform_reply &Reply);
  void write(std::uint64_t Change, const site_snapshot &Snapshot);
  platform_callback then(std::function<void(const platform_reply &)> Step);

  timer_service &Timers;
  platform_api Store;
  /// The version of the snapshot in the store, 0 if there is none; nothing
  /// before it was read.
  std::optional<std::uint64_t> Version;
  /// The store version that its objects of marjoramrail's own kind are of.
  std::uint64_t StoredSite = 0;
  std::uint64_t SavedChange = 0;
  instant NextCall;
  bool CallPending = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_SNAPSHOT_STORE_H
