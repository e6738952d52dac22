//===- owner_cache.h - Flow owners reported by agents -----------*- C++ -*-===//
///
/// \file
/// A bounded cache of flow owners. Without it, each packet of a flow that its
/// first choice passed to another agent would make a detour through that first
/// choice, for hours. An entry is only a hint: the balancer moves a host to the
/// front only if it is in the list of owner candidates. A lost, outdated or
/// forged entry costs at most a detour.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BALANCER_OWNER_CACHE_H
#define MARJORAMRAIL_BALANCER_OWNER_CACHE_H

#include "marjoramrail/base.h"

#include <optional>
#include <vector>

namespace marjoramrail::internal {

/// A direct-mapped cache: a newer flow replaces an older one in the same slot.
/// Flows are identified by a 64-bit hash; two flows with the same hash would
/// share a hint.
class owner_cache {
public:
  explicit owner_cache(std::size_t Slots);

  void store(const flow_key &Flow, host_id Owner);
  std::optional<host_id> find(const flow_key &Flow) const;

  std::size_t bytes() const { return Slots.capacity() * sizeof(slot); }

private:
  struct slot {
    std::uint64_t FlowHash = 0;
    host_id Owner{};
    bool Used = false;
  };

  std::vector<slot> Slots;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_BALANCER_OWNER_CACHE_H
