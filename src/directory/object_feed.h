//===- object_feed.h - Follows the objects of one kind ----------*- C++ -*-===//
///
/// \file
/// Lists the platform's objects of one kind and follows their changes. Also
/// tracks the moment up to which no change was missed. Code that draws
/// conclusions from the absence of an object (for example, that no other target
/// can own a flow) needs that moment, not the time since the last event.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_OBJECT_FEED_H
#define MARJORAMRAIL_DIRECTORY_OBJECT_FEED_H

#include "directory/store_availability.h"
#include "marjoramrail/platform.h"

#include <algorithm>
#include <map>
#include <optional>

namespace marjoramrail::internal {

class object_feed {
public:
  struct hooks {
    /// An object is new, has changed or, if Deleted is set, was removed.
    std::function<void(const platform_object &)> OnObject;
    /// Called after a batch of objects.
    std::function<void()> OnBatch;
    /// How long the next watch may wait; nothing while the updates of peers are
    /// sufficient.
    std::function<std::optional<duration>()> Wait;
    /// The store has started or stopped answering.
    std::function<void(bool Answers, const std::string &Reason)> OnAvailability;
    /// Longest wait between a failed call and the next one, once a list is
    /// known.
    duration MaxRetryInterval = std::chrono::milliseconds(800);
    /// Requests the first list; if empty, it is requested from the store.
    std::function<void(platform_callback)> FirstList = {};
  };

  object_feed(timer_service &Timers, platform_api Store, std::string Kind,
              hooks Hooks);
  ~object_feed();
  object_feed(const object_feed &) = delete;
  object_feed &operator=(const object_feed &) = delete;

  void start();
  /// Starts without a list; the first one is requested when hooks::Wait first
  /// returns a value.
  void startOnDemand();

  /// True once a complete list was received, from the store or from a peer.
  bool known() const { return Known; }
  /// Every change up to this store version is known.
  std::uint64_t version() const { return Version; }
  /// Every change accepted before this moment is known.
  std::optional<instant> asOf() const { return AsOf; }
  /// What the calls of this feed say about the store.
  const store_availability &availability() const { return Availability; }

  /// Decides at once about the next watch, if that waits for its turn.
  void reconsider();
  /// Replaces a pending watch: its connection may have gone silent, which only
  /// the end of the watch would show.
  void renewWatch();
  const std::map<std::string, platform_object> &objects() const {
    return Objects;
  }

  /// The version of the newest known change of this kind. The version of the
  /// store also increases with changes of other kinds. Never greater than
  /// version().
  std::uint64_t lastChange() const { return std::min(LastChange, Version); }

  /// All changes after \p Since; nothing if that history is no longer
  /// available.
  std::optional<std::vector<platform_object>>
  changesSince(std::uint64_t Since) const;

  /// Requests the changes after \p Since from the store, so that changesSince()
  /// can return the deletions among them. Has no effect if they are known or a
  /// request is pending, and if the store no longer has that history.
  void requestHistory(std::uint64_t Since);

  /// Advances asOf() to \p Moment if this feed has all changes that the peer
  /// has. A peer whose newest change is \p PeerChange had every change up to \p
  /// Moment.
  void confirm(std::uint64_t PeerChange, instant Moment);
  /// Applies changes from a peer, which are complete from \p Since to \p UpTo.
  void applyChanges(const std::vector<platform_object> &Changes,
                    std::uint64_t Since, std::uint64_t UpTo);
  /// Replaces the body of \p Object by a shorter one, unless a newer version
  /// has been received.
  void replaceBody(const platform_object &Object, std::string Body);
  /// Applies a peer's complete list of this kind.
  void applyPeerList(const platform_reply &List);

private:
  using step = void (object_feed::*)();

  /// Requests lists until the objects are known, from here or from a peer.
  void listFirst();
  void list();
  /// Handles the answer to a list; \p Again repeats a failed one.
  void listed(const platform_reply &Reply, instant RequestedAt, step Again);
  void follow();
  struct pending_watch {
    std::uint64_t Number = 0;
    instant RequestedAt;
    duration Wait;
  };

  void watch(duration Wait);
  void watched(const platform_reply &Reply, const pending_watch &Watch);
  void reconsiderLater(const pending_watch &Watch);
  /// Applies the changes that a watch has returned; true if there were any.
  bool applyEvents(const platform_reply &Reply, const pending_watch &Watch);
  void applyList(const platform_reply &Reply);
  bool applyObject(platform_object Object);
  void advance(std::uint64_t NewVersion, instant Moment);
  void retry(const platform_reply &Reply, instant RequestedAt, step Step);
  void noteAnswer(const std::string &Reason);
  platform_callback guarded(platform_callback Task);

  timer_service &Timers;
  platform_api Store;
  std::string Kind;
  hooks Hooks;
  std::map<std::string, platform_object> Objects;
  /// Versions at which objects were deleted, complete from DeletionsSince on.
  /// Sent to peers that request changes, and used to ignore outdated updates.
  std::map<std::string, std::uint64_t> Deletions;
  std::uint64_t DeletionsSince = 0;
  /// The version that was known when the objects were last listed again. All
  /// deletions after it are known too, as they are missing from that list.
  std::optional<std::uint64_t> VersionBeforeList;
  bool HistoryRequested = false;
  bool Known = false;
  /// Lists are only requested while hooks::Wait returns a value.
  bool ListsOnDemand = false;
  store_availability Availability;
  /// Number of the pause in which no watch is pending or due; earlier ones have
  /// ended.
  std::uint64_t LastPause = 0;
  bool IsPaused = false;
  /// Number of the current watch; earlier ones have ended or were replaced.
  std::uint64_t LastWatch = 0;
  bool IsWatching = false;
  std::uint64_t Version = 0;
  std::uint64_t LastChange = 0;
  std::optional<instant> AsOf;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_OBJECT_FEED_H
