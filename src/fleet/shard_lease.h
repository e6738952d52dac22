//===- shard_lease.h - The lease of one shard -------------------*- C++ -*-===//
///
/// \file
/// The lease of one shard, stored in the platform as the object
/// `lease/shard-N`.
///
/// Clocks of two nodes are never compared. The holder counts the lease from
/// just before it sent the write, so by its clock the lease ends no later than
/// any other node assumes. An observer counts from when it first saw the
/// current version of the object, so it takes over no earlier than the holder
/// has stopped acting. Neither rule covers a holder that is paused between
/// checking its clock and acting; for this, every write of the lease holder
/// carries the term.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_SHARD_LEASE_H
#define MARJORAMRAIL_FLEET_SHARD_LEASE_H

#include "fleet/platform_writer.h"

namespace marjoramrail::internal {

struct shard_lease_settings {
  std::uint32_t Shard = 0;
  std::string Name;
  endpoint Control = {};
  duration Length = std::chrono::seconds(6);
};

/// The content of the lease object.
struct lease_record {
  std::string Holder;
  std::uint64_t Term = 0;
  /// Incremented with each renewal, so that an observer sees that the holder is
  /// alive.
  std::uint64_t Renewals = 0;
  endpoint Control = {};
};

std::string toBody(const lease_record &Record);
result<lease_record> parseLease(const std::string &Body);

class shard_lease {
public:
  struct hooks {
    std::function<void(std::uint64_t Term)> OnHeld = nullptr;
    std::function<void()> OnLost = nullptr;
    /// Called with the lease record that was last read or written.
    std::function<void(const lease_record &)> OnSeen = nullptr;
  };

  shard_lease(timer_service &Timers, platform_writer &Writer,
              shard_lease_settings Settings, hooks Hooks);

  /// Sets whether this node competes for the lease.
  void setCandidate(bool Wanted) { Candidate = Wanted; }

  /// Renews, observes or takes over the lease; call it a few times per lease.
  void tick();

  /// True only while the lease is valid by this node's own clock.
  bool holds() const;
  std::uint64_t term() const { return OwnRecord.Term; }
  /// The store version at which the lease was last written.
  std::uint64_t version() const { return Version; }

  /// Releases the lease, so that the next holder need not wait until it
  /// expires.
  void release();

private:
  void observe();
  void observed(const platform_reply &Reply);
  void claim(std::uint64_t Term, std::uint64_t Expected);
  void renew();
  void send(lease_record Record, std::uint64_t Expected);
  void writeFinished(const lease_record &Record, instant SentAt,
                     const write_result &Result);
  void markLost();

  timer_service &Timers;
  platform_writer &Writer;
  shard_lease_settings Settings;
  hooks Hooks;
  bool Candidate = false;
  bool Busy = false;
  bool Held = false;
  lease_record OwnRecord;
  instant Expiry;
  instant RenewedAt;
  std::optional<instant> ObservedAt;
  std::uint64_t Version = 0;
  /// As an observer: the version seen and when it was seen first.
  std::optional<std::uint64_t> SeenVersion;
  instant SeenSince;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_SHARD_LEASE_H
