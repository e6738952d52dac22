//===- platform_feed.h - Objects of the platform as they change -*- C++ -*-===//
///
/// \file
/// Lists the kinds that duties need, then watches. Only holders of duties run
/// one, since the platform counts every waiting watch. An object's version
/// never goes back here, and an older list deletes nothing: after an outage the
/// platform may answer from a state that lacks what was accepted.
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
  /// Lists everything once more, for who needs more of it than before.
  void restart();

  /// True once every kind has been listed since start().
  bool synced() const { return Running && KindsLeft == 0; }

  /// Nothing older than store version \p Version is believed from now on. A
  /// lease that was just taken tells the version at which the platform stands;
  /// a list from a replica that is behind it would bring back what was changed
  /// since.
  void requireVersion(std::uint64_t Version);

  /// An object that a write of ours has just made, so that the watch does not
  /// bring it as news.
  void wrote(const platform_object &Object);

private:
  void list(std::size_t Kind);
  void listed(std::size_t Kind, const platform_reply &Reply);
  void watch();
  void watched(const platform_reply &Reply);
  /// \p Again: also what was offered before.
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
  /// Answers of a former run, or for a destroyed object, are void.
  std::shared_ptr<int> Run = std::make_shared<int>(0);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_PLATFORM_FEED_H
