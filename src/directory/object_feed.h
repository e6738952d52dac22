//===- object_feed.h - Objects of one kind, and as of when ------*- C++ -*-===//
///
/// \file
/// Lists one kind of the platform's objects and follows its changes. Beside the
/// objects it knows the moment up to which nothing was missed: whoever
/// concludes from the absence of an object (nobody else can hold this flow)
/// needs that moment, not the time since the last event.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_OBJECT_FEED_H
#define MARJORAMRAIL_DIRECTORY_OBJECT_FEED_H

#include "marjoramrail/platform.h"

#include <algorithm>
#include <map>
#include <optional>

namespace marjoramrail::internal {

class object_feed {
public:
  struct hooks {
    /// New, changed or, with Deleted, gone.
    std::function<void(const platform_object &)> OnObject;
    /// After a batch of objects.
    std::function<void()> OnBatch;
    /// How long the next watch may wait; nothing while peers' news are enough.
    std::function<std::optional<duration>()> Wait;
    /// The store stopped or began to answer.
    std::function<void(bool Answers, const std::string &Reason)> OnAvailability;
  };

  object_feed(timer_service &Timers, platform_api Store, std::string Kind,
              hooks Hooks);
  ~object_feed();
  object_feed(const object_feed &) = delete;
  object_feed &operator=(const object_feed &) = delete;

  void start();

  /// True once a whole list was seen, from the store or from a peer.
  bool known() const { return Known; }
  /// Every change up to this version of the store is known.
  std::uint64_t version() const { return Version; }
  /// Nothing accepted before this moment is missing.
  std::optional<instant> asOf() const { return AsOf; }
  /// The store answered the last call.
  bool answering() const { return Answering; }
  /// When it last did not.
  std::optional<instant> failedAt() const { return FailedAt; }
  const std::map<std::string, platform_object> &objects() const {
    return Objects;
  }

  /// The version of the newest change of this kind; the store's own version
  /// also grows with other kinds' changes. Never above version().
  std::uint64_t lastChange() const { return std::min(LastChange, Version); }

  /// What changed after \p Since; nothing if that is not known any more.
  std::optional<std::vector<platform_object>>
  changesSince(std::uint64_t Since) const;

  /// A peer, whose newest change is \p PeerChange, missed nothing before
  /// \p Moment.
  void confirm(std::uint64_t PeerChange, instant Moment);
  /// A peer's word on everything that changed between \p Since and \p UpTo.
  void applyChanges(const std::vector<platform_object> &Changes,
                    std::uint64_t Since, std::uint64_t UpTo);
  /// Keeps a shorter body in the place of the one that \p Object came with,
  /// unless a newer one has come since.
  void replaceBody(const platform_object &Object, std::string Body);
  /// A peer's copy of the whole kind.
  void applyPeerList(const platform_reply &List);

private:
  void list();
  void listed(const platform_reply &Reply, instant Asked);
  void follow();
  void watch(duration Wait);
  void watched(const platform_reply &Reply, instant Asked, duration Wait);
  void applyList(const platform_reply &Reply);
  bool applyObject(platform_object Object);
  void advance(std::uint64_t NewVersion, instant Moment);
  void retry(const platform_reply &Reply, void (object_feed::*Step)());
  void setAnswering(bool Answers, const std::string &Reason);
  platform_callback guarded(platform_callback Task);

  timer_service &Timers;
  platform_api Store;
  std::string Kind;
  hooks Hooks;
  std::map<std::string, platform_object> Objects;
  /// Versions at which objects went, for peers that ask for changes and
  /// against late news; complete from DeletionsSince on.
  std::map<std::string, std::uint64_t> Deletions;
  std::uint64_t DeletionsSince = 0;
  bool Known = false;
  bool Answering = true;
  std::optional<instant> FailedAt;
  int Failures = 0;
  std::uint64_t Version = 0;
  std::uint64_t LastChange = 0;
  std::optional<instant> AsOf;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_OBJECT_FEED_H
