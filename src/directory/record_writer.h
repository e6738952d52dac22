//===- record_writer.h - Keeps the stored record complete -------*- C++ -*-===//
///
/// \file
/// Writes the record of services (route_record) to the store when it lacks a
/// service or when a previous one is due for removal. All balancers of a site
/// know what has to be written, so each leaves the write to those ahead of it
/// for a while.
///
/// The need for a write ends only when the stored object is known to name the
/// service. The answer to a write does not end it: the write may have been
/// refused or lost, another balancer's may have come first, and configurations
/// may have arrived since it was sent. If a service were forgotten here, its
/// flows would have no owner once the balancers that know its configuration
/// have been replaced.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_RECORD_WRITER_H
#define MARJORAMRAIL_DIRECTORY_RECORD_WRITER_H

#include "directory/route_record.h"

namespace marjoramrail::internal {

class record_writer {
public:
  struct hooks {
    /// The services of the newest configuration; null until one is known.
    std::function<std::shared_ptr<const route_services>()> Configured;
    /// How long this balancer waits for others to write.
    std::function<duration(instant Now)> WaitForOthers;
    /// How long it waits after a write of its own has failed.
    std::function<duration(instant Now)> RetryDelay;
    std::function<void(const platform_write &, platform_callback)> Write;
    /// The stored record has changed and has been loaded.
    std::function<void()> OnRecord;
    /// A write has been answered or has failed, \p Took after it was sent.
    std::function<void(const platform_reply &Reply, duration Took)> OnWritten;
    callback_hook OnCallback;
  };

  /// \p Key: the stored object of \p Record.
  record_writer(timer_service &Timers, route_record &Record, object_key Key,
                hooks Hooks);
  ~record_writer() { *Alive = false; }
  record_writer(const record_writer &) = delete;
  record_writer &operator=(const record_writer &) = delete;

  /// The stored object, from the store or from a peer; an older one is ignored.
  void take(const platform_object &Object);
  /// The configuration has changed: the record has to be compared with it.
  void requestUpdate();
  /// The same, and the wait for others begins anew. Services that are missing
  /// already do not wait longer.
  void restartUpdate();
  /// Called periodically: writes what others have not written in time.
  void check();

  /// Why services are not on record yet, for the log.
  std::string status() const;

private:
  std::optional<instant> neededSince() const;
  void update(const route_services &Current);
  std::optional<std::string> compare(const route_services &Current);
  void write(const std::string &Body);
  void onAnswer(const platform_reply &Reply, const std::string &Body,
                instant SentAt);
  bool load(std::uint64_t Version, const std::string &Body);

  timer_service &Timers;
  route_record &Record;
  object_key Key;
  hooks Hooks;
  /// The newest version that has been loaded, and the one that the store holds,
  /// which is 0 after a removal.
  std::uint64_t LoadedVersion = 0;
  std::uint64_t StoredVersion = 0;
  bool IsWriting = false;
  /// Why the last write failed; empty if it did not.
  std::string LastFailure;
  instant NextWriteAt;
  /// A comparison is due, for a reason other than a missing service.
  std::optional<instant> RequestedAt;
  /// When the next previous service is due for removal.
  std::optional<instant> NextExpiryAt;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_RECORD_WRITER_H
