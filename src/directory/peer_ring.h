//===- peer_ring.h - The other balancers, as far as heard -------*- C++ -*-===//
///
/// \file
/// Whom a balancer greets next. Greeting everyone would cost a fleet of
/// thousands its control budget; a few at random reach all of them within some
/// rounds. Those that answer come first, but one turn in each round goes to a
/// peer that does not: it may have come back.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_PEER_RING_H
#define MARJORAMRAIL_DIRECTORY_PEER_RING_H

#include "marjoramrail/base.h"

#include <random>

namespace marjoramrail::internal {

class peer_ring {
public:
  /// Peers greeted in one round.
  static constexpr std::size_t Fanout = 3;
  /// A peer that was not heard for longer does not count as live: some rounds
  /// of greetings, so that lost datagrams do not matter.
  static constexpr duration LiveFor = std::chrono::seconds(3);

  peer_ring(const endpoint &Self, std::uint64_t Seed)
      : Self(Self), Random(Seed) {}

  /// \p Peer may be a balancer: from the settings or from the store.
  void know(const endpoint &Peer);
  void heard(const endpoint &Peer, instant Now);
  std::size_t live(instant Now) const;
  /// The number of live peers whose address is below this balancer's: an order
  /// in which duties are taken without asking anyone.
  std::size_t rank(instant Now) const;
  /// Whom to greet in this round.
  std::vector<endpoint> round(instant Now);

private:
  bool isLive(const std::optional<instant> &Heard, instant Now) const;

  endpoint Self;
  std::map<endpoint, std::optional<instant>> Peers;
  std::mt19937_64 Random;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_PEER_RING_H
