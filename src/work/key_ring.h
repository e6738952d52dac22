//===- key_ring.h - Which hosts keep the record of a key --------*- C++ -*-===//
///
/// \file
/// The two keepers of a key under each generation, by rendezvous hash, the same
/// at every agent with the same view. A digest of the view goes with each
/// message: a claim counts only at keepers that see the same hosts as its
/// runner. Else two runners with different views could each be granted the key
/// by keepers that the other never asked, and it would run twice.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_KEY_RING_H
#define MARJORAMRAIL_SRC_WORK_KEY_RING_H

#include "marjoramrail/work.h"

#include <set>

namespace marjoramrail::internal {

inline constexpr std::size_t ReplicasPerGeneration = 2;

/// The keepers of \p Key under one generation.
std::vector<host_id> replicasUnder(const key_generation &Generation,
                                   const std::string &Key);

bool contains(const std::vector<host_id> &Hosts, host_id Host);

class key_ring {
public:
  key_ring() = default;
  explicit key_ring(key_view View);

  std::uint64_t digest() const { return Digest; }
  const key_view &view() const { return View; }
  /// The host's entry, or none if the view does not hold it.
  const key_member *member(host_id Host) const;
  bool up(host_id Host) const;
  /// Keepers under all generations, in the order in which they are asked. All
  /// runners ask in this order, so that of two the first asked decides and
  /// neither waits for the other.
  std::vector<host_id> replicas(const std::string &Key) const;
  /// Those of keepers() that are not down.
  std::vector<host_id> liveReplicas(const std::string &Key) const;

private:
  key_view View;
  std::uint64_t Digest = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_KEY_RING_H
