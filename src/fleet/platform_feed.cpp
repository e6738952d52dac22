#include "fleet/platform_feed.h"

#include <algorithm>
#include <set>

namespace marjoramrail::internal {

namespace {

constexpr std::array<const char *, 4> Kinds = {"zone", "service", "drain",
                                               "membership"};
constexpr duration WatchWait = std::chrono::seconds(20);
/// With this interval, ten changes a second reach a watcher in five calls
/// instead of ten.
constexpr duration WatchInterval = std::chrono::milliseconds(200);
constexpr duration MinRetryInterval = std::chrono::milliseconds(500);
/// Upper bound of the back-off, which spreads the calls when the platform
/// recovers from an outage.
constexpr duration MaxRetryInterval = std::chrono::seconds(8);

} // namespace

platform_feed::platform_feed(timer_service &Timers, platform_api Platform,
                             fleet_counters &Counters, hook OnObject)
    : Timers(Timers), Platform(std::move(Platform)), Counters(Counters),
      OnObject(std::move(OnObject)) {}

platform_feed::~platform_feed() { ++*Run; }

platform_callback
platform_feed::guarded(std::function<void(const platform_reply &)> Task) {
  return [Run = Run, Mine = *Run,
          Task = std::move(Task)](const platform_reply &Reply) {
    if (*Run == Mine)
      Task(Reply);
  };
}

void platform_feed::later(duration Delay, std::function<void()> Task) {
  Timers.after(Delay, [Run = Run, Mine = *Run, Task = std::move(Task)] {
    if (*Run == Mine)
      Task();
  });
}

duration platform_feed::backOff() {
  const duration Wait = MinRetryInterval * (1 << std::min(Failures, 4));
  ++Failures;
  return std::min(Wait, MaxRetryInterval);
}

void platform_feed::start() {
  if (Running)
    return;
  Running = true;
  KindsLeft = Kinds.size();
  Since = ~std::uint64_t{0};
  list(0);
}

void platform_feed::restart() {
  stop();
  start();
}

void platform_feed::stop() {
  if (!Running)
    return;
  Running = false;
  ++*Run;
}

void platform_feed::list(std::size_t Kind) {
  ++Counters.PlatformCalls;
  Platform.List(Kinds[Kind], guarded([this, Kind](const platform_reply &Reply) {
                  listed(Kind, Reply);
                }));
}

void platform_feed::listed(std::size_t Kind, const platform_reply &Reply) {
  if (Reply.Outcome != platform_outcome::Ok || Reply.StoreVersion < Highest) {
    Counters.StaleIgnored += Reply.Outcome == platform_outcome::Ok ? 1 : 0;
    later(backOff(), [this, Kind] { list(Kind); });
    return;
  }
  Failures = 0;
  for (const platform_object &Object : Reply.Objects)
    offer(Object, true);
  deleteMissing(Kinds[Kind], Reply);
  // Changes made while the lists were read are reported again by the watch.
  Since = std::min(Since, Reply.StoreVersion);
  Highest = std::max(Highest, Reply.StoreVersion);
  if (--KindsLeft > 0)
    list(Kind + 1);
  else
    watch();
}

void platform_feed::deleteMissing(const std::string &Kind,
                                  const platform_reply &Reply) {
  std::set<std::string> Names;
  for (const platform_object &Object : Reply.Objects)
    Names.insert(Object.Key.Name);
  std::vector<platform_object> Removed;
  for (const auto &[Key, Version] : Versions)
    if (Key.Kind == Kind && !Names.contains(Key.Name) &&
        Version <= Reply.StoreVersion)
      Removed.push_back({.Key = Key,
                         .Version = Reply.StoreVersion,
                         .Body = "",
                         .Writer = "",
                         .Deleted = true});
  for (const platform_object &Object : Removed)
    offer(Object, false);
}

void platform_feed::watch() {
  ++Counters.PlatformCalls;
  Platform.Watch(Since, WatchWait, guarded([this](const platform_reply &Reply) {
                   watched(Reply);
                 }));
}

void platform_feed::watched(const platform_reply &Reply) {
  // The platform has dropped the changes since then, or never had them.
  if (Reply.Outcome == platform_outcome::HistoryGone ||
      Reply.Outcome == platform_outcome::Invalid) {
    restart();
    return;
  }
  if (Reply.Outcome != platform_outcome::Ok) {
    later(backOff(), [this] { watch(); });
    return;
  }
  Failures = 0;
  if (Reply.StoreVersion < Highest)
    ++Counters.StaleIgnored;
  for (const platform_object &Object : Reply.Objects)
    if (std::find(Kinds.begin(), Kinds.end(), Object.Key.Kind) != Kinds.end())
      offer(Object, false);
  Highest = std::max(Highest, Reply.StoreVersion);
  Since = std::max(Since, Reply.StoreVersion);
  later(WatchInterval, [this] { watch(); });
}

void platform_feed::offer(const platform_object &Object, bool Again) {
  std::uint64_t &Known = Versions[Object.Key];
  const bool Repeated = Again && Object.Version == Known;
  if (Object.Version <= Known && !Repeated) {
    Counters.StaleIgnored += Object.Version < Known ? 1 : 0;
    return;
  }
  Known = Object.Version;
  OnObject(Object);
  // Nothing older than Highest is accepted, so deleted objects need no entry.
  // Each replaced VM leaves a deleted drain object, thousands a day.
  if (Object.Deleted)
    Versions.erase(Object.Key);
}

void platform_feed::requireVersion(std::uint64_t Version) {
  Highest = std::max(Highest, Version);
}

void platform_feed::wrote(const platform_object &Object) {
  requireVersion(Object.Version);
  std::uint64_t &Known = Versions[Object.Key];
  Known = std::max(Known, Object.Version);
}

} // namespace marjoramrail::internal
