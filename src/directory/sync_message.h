//===- sync_message.h - What balancers tell each other ---------*- C++ -*-===//
///
/// \file
/// A datagram of some 100 bytes in which a balancer says how much of the store
/// it knows, and in a reply, what has changed since the version that the asker
/// knows: a changed object costs its bytes once a balancer, not a call to the
/// store by each. What does not fit follows on the next question. It is a
/// question as well as an answer: the reply carries the question's own time, so
/// that what the peer knew is dated by the clock of the one who asked, whatever
/// the network did to the datagrams meanwhile.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_SYNC_MESSAGE_H
#define MARJORAMRAIL_DIRECTORY_SYNC_MESSAGE_H

#include "marjoramrail/platform.h"

#include <optional>
#include <span>
#include <vector>

namespace marjoramrail::internal {

/// How much of one kind a balancer knows.
struct sync_state {
  /// Every change up to this version of the store is known.
  std::uint64_t Version = 0;
  /// Version of the newest change known; 0 = nothing is known yet.
  std::uint64_t LastChange = 0;
  /// Microseconds since the moment before which nothing is missing; negative
  /// if there is none.
  std::int64_t AgeUs = -1;
};

struct sync_message {
  endpoint Self;
  /// A number for the balancer's zone, equal for all in it.
  std::uint32_t Zone = 0;
  bool IsReply = false;
  /// The store answers this balancer.
  bool IsServed = true;
  /// The asker's clock when it asked, microseconds; unchanged in the reply.
  std::int64_t AskedUs = 0;
  sync_state Routes;
  sync_state Site;
  /// In a reply: the asker's Site.Version, and all changes of that kind from
  /// there up to ChangesUpTo, in order of version.
  std::uint64_t ChangesSince = 0;
  std::uint64_t ChangesUpTo = 0;
  std::optional<std::vector<platform_object>> Changes;
};

/// What a link carries in one piece, with room for its own heads.
inline constexpr std::size_t MaxSyncMessageBytes = 1300;

/// Sorts the changes and leaves out the newest until the greeting fits; lowers
/// ChangesUpTo to what is left. The asker goes on from there. Without changes
/// if not even the oldest fit.
void fitChanges(sync_message &Message);

std::vector<std::uint8_t> encodeSyncMessage(const sync_message &Message);
bool isSyncMessage(std::span<const std::uint8_t> Bytes);
std::optional<sync_message>
decodeSyncMessage(std::span<const std::uint8_t> Bytes);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_SYNC_MESSAGE_H
