//===- platform_feed.h - Watches platform objects ---------------*- C++ -*-===//
///
/// \file
/// Lists the kinds of objects that shard controllers need, then watches them.
/// Only lease holders run a feed, since the platform limits the number of
/// waiting watches. The version of an object never goes back here, and an older
/// list deletes nothing: after an outage the platform may answer from a state
/// that lacks accepted writes.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_PLATFORM_FEED_H
#define MARJORAMRAIL_FLEET_PLATFORM_FEED_H

#include "marjoramrail/fleet.h"

#include <map>

namespace marjoramrail::internal {

class platform_feed {
public:
  using hook = std::function<void(const platform_object &)>;

  platform_feed(timer_service &Timers, platform_api Platform,
                fleet_counters &Counters, hook OnObject);
  ~platform_feed();
  platform_feed(const platform_feed &) = delete;
  platform_feed &operator=(const platform_feed &) = delete;

  void start();
  void stop();
  /// Lists everything again, for a user that needs more objects than before.
  void restart();

  /// True once every kind has been listed since start().
  bool synced() const { return Running && KindsLeft == 0; }

  /// Ignores everything older than store version \p Version from now on. A
  /// lease that was just acquired shows the version that the platform has
  /// reached; a list from a replica behind it would revert later changes.
  void requireVersion(std::uint64_t Version);

  /// Records an object that this process has just written, so that the watch
  /// does not report it as a change.
  void wrote(const platform_object &Object);

private:
  void list(std::size_t Kind);
  void listed(std::size_t Kind, const platform_reply &Reply);
  void watch();
  void watched(const platform_reply &Reply);
  /// \p Again: also reports versions that were reported before.
  void offer(const platform_object &Object, bool Again);
  void deleteMissing(const std::string &Kind, const platform_reply &Reply);
  void later(duration Delay, std::function<void()> Task);
  duration backOff();
  platform_callback guarded(std::function<void(const platform_reply &)> Task);

  timer_service &Timers;
  platform_api Platform;
  fleet_counters &Counters;
  hook OnObject;
  bool Running = false;
  std::size_t KindsLeft = 0;
  int Failures = 0;
  std::uint64_t Since = 0;
  std::uint64_t Highest = 0;
  std::map<object_key, std::uint64_t> Versions;
  /// Incremented by stop() and the destructor, so that answers of an earlier
  /// run are ignored.
  std::shared_ptr<int> Run = std::make_shared<int>(0);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_PLATFORM_FEED_H
