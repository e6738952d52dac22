#include "directory/object_feed.h"

#include <algorithm>
#include <set>

namespace marjoramrail::internal {

/// Longest wait between a failed call and the next one until the first list:
/// all balancers of a site may be starting, and each retries by itself.
static constexpr duration MaxStartRetryInterval =
    std::chrono::milliseconds(800);
/// After a change the next watch starts with this delay, so that changes in
/// quick succession (all agents of a site start, configurations follow each
/// other) are returned by one call instead of one call per change and watcher.
static constexpr duration UpdateDelay = std::chrono::milliseconds(150);
/// How often a feed that relies on the updates of peers checks whether they
/// still arrive.
static constexpr duration IdlePeriod = std::chrono::milliseconds(200);
/// The number of deletions kept. Peers that need older ones have to copy the
/// complete list.
static constexpr std::size_t MaxDeletions = 1000;

object_feed::object_feed(timer_service &Timers, platform_api Store,
                         std::string Kind, hooks Hooks)
    : Timers(Timers), Store(std::move(Store)), Kind(std::move(Kind)),
      Hooks(std::move(Hooks)) {}

object_feed::~object_feed() { *Alive = false; }

platform_callback object_feed::guarded(platform_callback Task) {
  return [Alive = Alive, Task = std::move(Task)](const platform_reply &Reply) {
    if (*Alive)
      Task(Reply);
  };
}

void object_feed::start() { listFirst(); }

void object_feed::startOnDemand() {
  ListsOnDemand = true;
  follow();
}

void object_feed::listFirst() {
  if (Known)
    return follow();
  auto Done =
      guarded([this, RequestedAt = Timers.now()](const platform_reply &Reply) {
        listed(Reply, RequestedAt, &object_feed::listFirst);
      });
  if (Hooks.FirstList)
    Hooks.FirstList(std::move(Done));
  else
    Store.List(Kind, std::move(Done));
}

void object_feed::list() {
  Store.List(Kind, guarded([this, RequestedAt = Timers.now()](
                               const platform_reply &Reply) {
               listed(Reply, RequestedAt, &object_feed::list);
             }));
}

void object_feed::listed(const platform_reply &Reply, instant RequestedAt,
                         step Again) {
  if (Reply.Outcome != platform_outcome::Ok)
    return retry(Reply, RequestedAt,
                 ListsOnDemand ? &object_feed::follow : Again);
  noteAnswer("");
  if (Reply.StoreVersion >= Version) {
    applyList(Reply);
    Version = Reply.StoreVersion;
    if (!Reply.IsUndated)
      advance(Version, RequestedAt);
  }
  Hooks.OnBatch();
  follow();
}

void object_feed::follow() {
  if (const auto Wait = Hooks.Wait())
    return Known ? watch(*Wait) : list();
  IsPaused = true;
  Timers.after(IdlePeriod, [this, Alive = Alive, Pause = ++LastPause] {
    if (*Alive && Pause == LastPause)
      reconsider();
  });
}

void object_feed::reconsider() {
  if (!std::exchange(IsPaused, false))
    return;
  ++LastPause;
  follow();
}

void object_feed::watch(duration Wait) {
  const pending_watch Watch{++LastWatch, Timers.now(), Wait};
  IsWatching = true;
  Store.Watch(Version, Wait,
              guarded([this, Watch](const platform_reply &Reply) {
                if (Watch.Number == LastWatch)
                  watched(Reply, Watch);
                else
                  applyEvents(Reply, Watch);
              }));
  if (Wait > IdlePeriod)
    reconsiderLater(Watch);
}

void object_feed::renewWatch() {
  if (!IsWatching)
    return;
  if (const auto Wait = Hooks.Wait())
    watch(*Wait);
}

/// A balancer that only watches for changes lets its watches wait for long.
/// When it has to confirm the age of the data instead, it cannot wait for the
/// end of such a watch. A replaced watch stays pending; its changes are still
/// used.
void object_feed::reconsiderLater(const pending_watch &Watch) {
  Timers.after(IdlePeriod, [this, Alive = Alive, Watch] {
    if (!*Alive || Watch.Number != LastWatch)
      return;
    const instant EndsAt = Watch.RequestedAt + Watch.Wait;
    const auto Wait = Hooks.Wait();
    if (Wait && *Wait < Watch.Wait && Timers.now() + *Wait < EndsAt)
      return watch(*Wait);
    reconsiderLater(Watch);
  });
}

void object_feed::watched(const platform_reply &Reply,
                          const pending_watch &Watch) {
  // The answer ends this watch, so that it is not replaced any more.
  ++LastWatch;
  IsWatching = false;
  if (Reply.Outcome == platform_outcome::HistoryGone) {
    noteAnswer("change history no longer available");
    return list();
  }
  // A store that drops its history closes the watches of all balancers at once.
  // If each took that for an outage, the next call would be left to one of
  // them, and changes would not be seen until then. So the watch is renewed at
  // once, and only a failure of that call counts.
  if (Reply.IsConnectionClosed && Availability.noteClosure())
    return watch(Watch.Wait);
  if (Reply.Outcome != platform_outcome::Ok)
    return retry(Reply, Watch.RequestedAt, &object_feed::follow);
  noteAnswer("");
  if (!applyEvents(Reply, Watch))
    return follow();
  Timers.after(UpdateDelay, [this, Alive = Alive] {
    if (*Alive)
      follow();
  });
}

bool object_feed::applyEvents(const platform_reply &Reply,
                              const pending_watch &Watch) {
  if (Reply.Outcome != platform_outcome::Ok)
    return false;
  bool Changed = false;
  for (const platform_object &Object : Reply.Objects)
    Changed |= applyObject(Object);
  // A watch that waited its full time without a change confirms the state at
  // its end; one that ended early only confirms the state at the time of its
  // request.
  const bool WaitedOut =
      Reply.Objects.empty() && Timers.now() - Watch.RequestedAt >= Watch.Wait;
  advance(std::max(Reply.StoreVersion, Version),
          WaitedOut ? Watch.RequestedAt + Watch.Wait : Watch.RequestedAt);
  if (Changed)
    Hooks.OnBatch();
  return Changed;
}

void object_feed::applyList(const platform_reply &Reply) {
  VersionBeforeList = Known ? std::optional(Version) : std::nullopt;
  std::set<std::string> Names;
  for (const platform_object &Object : Reply.Objects) {
    Names.insert(Object.Key.Name);
    applyObject(Object);
  }
  std::vector<platform_object> Missing;
  for (const auto &[Name, Object] : Objects)
    if (!Names.contains(Name) && Object.Version <= Reply.StoreVersion)
      Missing.push_back(Object);
  for (platform_object &Object : Missing) {
    Object.Deleted = true;
    Object.Version = Reply.StoreVersion;
    applyObject(Object);
  }
  // Deletions before this list, and their versions, are unknown.
  DeletionsSince = std::max(DeletionsSince, Reply.StoreVersion);
  Known = true;
}

/// An object's version never goes back: a late response must not undo a change.
bool object_feed::applyObject(platform_object Object) {
  const std::string &Name = Object.Key.Name;
  const auto Held = Objects.find(Name);
  if (Held != Objects.end() && Held->second.Version >= Object.Version)
    return false;
  const auto Left = Deletions.find(Name);
  if (Left != Deletions.end() && Left->second >= Object.Version)
    return false;
  if (Object.Deleted) {
    Objects.erase(Name);
    Deletions[Name] = Object.Version;
    if (Deletions.size() > MaxDeletions) {
      const auto Oldest = std::min_element(
          Deletions.begin(), Deletions.end(),
          [](const auto &A, const auto &B) { return A.second < B.second; });
      DeletionsSince = std::max(DeletionsSince, Oldest->second);
      Deletions.erase(Oldest);
      VersionBeforeList.reset();
    }
  } else {
    Deletions.erase(Name);
  }
  LastChange = std::max(LastChange, Object.Version);
  if (Object.Deleted) {
    Hooks.OnObject(Object);
    return true;
  }
  platform_object &Kept = Objects[Name] = std::move(Object);
  Hooks.OnObject(Kept);
  return true;
}

void object_feed::replaceBody(const platform_object &Object, std::string Body) {
  const auto Held = Objects.find(Object.Key.Name);
  if (Held != Objects.end() && Held->second.Version == Object.Version)
    Held->second.Body = std::move(Body);
}

void object_feed::advance(std::uint64_t NewVersion, instant Moment) {
  if (NewVersion > Version)
    Version = NewVersion;
  AsOf = AsOf ? std::max(*AsOf, Moment) : Moment;
}

void object_feed::confirm(std::uint64_t PeerChange, instant Moment) {
  if (!Known || PeerChange > Version)
    return;
  AsOf = AsOf ? std::max(*AsOf, Moment) : Moment;
}

void object_feed::applyPeerList(const platform_reply &List) {
  if (List.StoreVersion <= Version && Known)
    return;
  applyList(List);
  Version = std::max(Version, List.StoreVersion);
  Hooks.OnBatch();
}

std::optional<std::vector<platform_object>>
object_feed::changesSince(std::uint64_t Since) const {
  if (!Known || (Since < DeletionsSince && Since != VersionBeforeList))
    return std::nullopt;
  std::vector<platform_object> Changes;
  for (const auto &[Name, Object] : Objects)
    if (Object.Version > Since && Object.Version <= Version)
      Changes.push_back(Object);
  for (const auto &[Name, At] : Deletions) {
    if (At <= Since)
      continue;
    platform_object Object;
    Object.Key = {Kind, Name};
    Object.Version = At;
    Object.Deleted = true;
    Changes.push_back(Object);
  }
  return Changes;
}

void object_feed::requestHistory(std::uint64_t Since) {
  // The watch returns at once, as there are changes.
  constexpr duration ReplyWait = std::chrono::milliseconds(10);
  if (HistoryRequested || Since >= DeletionsSince)
    return;
  HistoryRequested = true;
  Store.Watch(Since, ReplyWait,
              guarded([this, Since](const platform_reply &Reply) {
                HistoryRequested = false;
                if (Reply.Outcome != platform_outcome::Ok)
                  return;
                for (const platform_object &Object : Reply.Objects)
                  if (Object.Deleted && !Objects.contains(Object.Key.Name))
                    Deletions.try_emplace(Object.Key.Name, Object.Version);
                DeletionsSince = std::min(DeletionsSince, Since);
              }));
}

void object_feed::applyChanges(const std::vector<platform_object> &Changes,
                               std::uint64_t Since, std::uint64_t UpTo) {
  if (!Known || Since > Version || UpTo <= Version)
    return;
  bool Changed = false;
  for (const platform_object &Object : Changes)
    Changed |= applyObject(Object);
  Version = UpTo;
  if (Changed)
    Hooks.OnBatch();
}

void object_feed::noteAnswer(const std::string &Reason) {
  if (Availability.noteAnswer(Timers.now()))
    Hooks.OnAvailability(true, Reason);
}

void object_feed::retry(const platform_reply &Reply, instant RequestedAt,
                        step Step) {
  if (Availability.noteFailure(RequestedAt, Timers.now()))
    Hooks.OnAvailability(false, Reply.Reason);
  const duration Most = Known ? Hooks.MaxRetryInterval : MaxStartRetryInterval;
  Timers.after(Availability.retryWait(Most), [this, Alive = Alive, Step] {
    if (*Alive)
      (this->*Step)();
  });
}

} // namespace marjoramrail::internal
