//===- peer_greeting.h - What balancers tell each other ---------*- C++ -*-===//
///
/// \file
/// A datagram of some 100 bytes in which a balancer says how much of the store
/// it knows. It is a question as well as an answer: the reply carries the
/// question's own time, so that what the peer knew is dated by the clock of
/// the one who asked, whatever the network did to the datagrams meanwhile.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_PEER_GREETING_H
#define MARJORAMRAIL_DIRECTORY_PEER_GREETING_H

#include "marjoramrail/base.h"

#include <array>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marjoramrail::internal {

/// How much of one kind a balancer knows.
struct kind_knowledge {
  /// Version of the newest change known; 0 = nothing is known yet.
  std::uint64_t LastChange = 0;
  /// Microseconds since the moment before which nothing is missing; negative
  /// if there is none.
  std::int64_t AgeUs = -1;
};

struct peer_greeting {
  std::string Name;
  endpoint Self;
  bool IsReply = false;
  /// The asker's clock when it asked, microseconds; unchanged in the reply.
  std::int64_t AskedUs = 0;
  kind_knowledge Routes;
  kind_knowledge Site;
};

std::vector<std::uint8_t> encodeGreeting(const peer_greeting &Greeting);
bool isGreeting(std::span<const std::uint8_t> Bytes);
std::optional<peer_greeting>
decodeGreeting(std::span<const std::uint8_t> Bytes);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_PEER_GREETING_H
