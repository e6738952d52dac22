//===- owner_cache.h - Owners that agents have named ------------*- C++ -*-===//
///
/// \file
/// A bounded memory of the owners of flows. Without it each packet of a flow
/// that its first choice handed on would pass that agent for hours. It is a
/// hint alone: the balancer only moves a host forward that is in the list of
/// owners anyway, so a lost, old or forged entry costs a detour at most.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BALANCER_OWNER_CACHE_H
#define MARJORAMRAIL_BALANCER_OWNER_CACHE_H

#include "marjoramrail/base.h"

#include <optional>
#include <vector>

namespace marjoramrail::internal {

/// One slot for each hash; a newer flow takes the slot of an older one. Flows
/// are told apart by 64 bits of hash: two alike would share a hint.
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
