//===- key_ring.h - Replicas of key records ---------------------*- C++ -*-===//
///
/// \file
/// Selects the two replicas of a key's record under each generation by
/// rendezvous hash. All agents with the same view select the same replicas.
/// Each message carries a digest of the sender's view, and a claim counts only
/// at replicas whose view is the same as the runner's. Otherwise two runners
/// with different views could each get the key granted by replicas that the
/// other never asked, and the request would run twice.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_KEY_RING_H
#define MARJORAMRAIL_SRC_WORK_KEY_RING_H

#include "marjoramrail/work.h"

#include <set>

namespace marjoramrail::internal {

inline constexpr std::size_t ReplicasPerGeneration = 2;

/// The replicas of \p Key under one generation.
std::vector<host_id> replicasUnder(const key_generation &Generation,
                                   const std::string &Key);

bool contains(const std::vector<host_id> &Hosts, host_id Host);

class key_ring {
public:
  key_ring() = default;
  explicit key_ring(key_view View);

  std::uint64_t digest() const { return Digest; }
  const key_view &view() const { return View; }
  /// The host's entry, or null if the view does not contain it.
  const key_member *member(host_id Host) const;
  bool up(host_id Host) const;
  /// Replicas under all generations in the order in which they are asked. All
  /// runners use this order, so the first replica decides between two runners
  /// and neither waits for the other.
  std::vector<host_id> replicas(const std::string &Key) const;
  /// The replicas() that are not down.
  std::vector<host_id> liveReplicas(const std::string &Key) const;

private:
  key_view View;
  std::uint64_t Digest = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_KEY_RING_H
