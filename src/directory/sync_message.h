//===- sync_message.h - Datagrams between balancers -------------*- C++ -*-===//
///
/// \file
/// A datagram of about 100 bytes in which a balancer states up to which version
/// it knows the store's objects, and which zones are evacuated. A reply also
/// contains the changes since the version that the requester knows. A changed
/// object thus costs its own size once per balancer, instead of one store call
/// by each. Changes that do not fit are sent in reply to the next request. The
/// reply returns the request's own timestamp, so that the age of the peer's
/// data is determined by the requester's clock and network delays only make it
/// look older.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_SYNC_MESSAGE_H
#define MARJORAMRAIL_DIRECTORY_SYNC_MESSAGE_H

#include "marjoramrail/places.h"
#include "marjoramrail/platform.h"

#include <optional>
#include <span>
#include <vector>

namespace marjoramrail::internal {

/// Up to which version a balancer knows the objects of one kind.
struct replication_state {
  /// Every change up to this store version is known.
  std::uint64_t Version = 0;
  /// Version of the newest known change; 0 if nothing is known yet.
  std::uint64_t LastChange = 0;
  /// Age in microseconds of the moment up to which all changes are known;
  /// negative if there is none.
  std::int64_t AgeUs = -1;
  /// How long ago, in microseconds, the first balancer knew LastChange, as far
  /// as the sender knows; negative if it is not stated.
  std::int64_t FirstKnownAgeUs = -1;
};

struct sync_message {
  endpoint Self;
  /// Numeric id of the balancer's zone.
  std::uint32_t Zone = 0;
  bool IsReply = false;
  /// The store answers this balancer's calls, and it is not about to stop; it
  /// can do tasks for others.
  bool IsServed = true;
  /// The requester's clock when it sent the request, in microseconds; unchanged
  /// in the reply.
  std::int64_t RequestedAtUs = 0;
  replication_state Routes;
  replication_state Site;
  /// The evacuated zones, complete in every message: they are few and have to
  /// be known everywhere within seconds.
  evacuations Evacuations;
  /// In a reply: the requester's Site.Version, and all changes of that kind
  /// from there up to ChangesUpTo, ordered by version.
  std::uint64_t ChangesSince = 0;
  std::uint64_t ChangesUpTo = 0;
  std::optional<std::vector<platform_object>> Changes;
};

/// Fits an unfragmented datagram, with room for lower-layer headers.
inline constexpr std::size_t MaxSyncMessageBytes = 1300;

/// Sorts the changes by version and drops the newest until the message fits;
/// lowers ChangesUpTo accordingly. The requester continues from there. Removes
/// Changes if not even the oldest fit.
void fitChanges(sync_message &Message);

std::vector<std::uint8_t> encodeSyncMessage(const sync_message &Message);
bool isSyncMessage(std::span<const std::uint8_t> Bytes);
std::optional<sync_message>
decodeSyncMessage(std::span<const std::uint8_t> Bytes);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_SYNC_MESSAGE_H
