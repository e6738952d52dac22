#include "balancer/owner_cache.h"

#include <bit>

namespace marjoramrail::internal {

/// A separate seed, so that slots do not correlate with the hosts' scores.
static constexpr std::uint64_t CacheSeed = 0x6361636865;

owner_cache::owner_cache(std::size_t Slots) : Slots(std::bit_ceil(Slots)) {}

void owner_cache::store(const flow_key &Flow, host_id Owner) {
  const std::uint64_t Hash = hashOf(Flow, CacheSeed);
  Slots[Hash & (Slots.size() - 1)] = {Hash, Owner, true};
}

std::optional<host_id> owner_cache::find(const flow_key &Flow) const {
  const std::uint64_t Hash = hashOf(Flow, CacheSeed);
  const slot &Slot = Slots[Hash & (Slots.size() - 1)];
  if (!Slot.Used || Slot.FlowHash != Hash)
    return std::nullopt;
  return Slot.Owner;
}

} // namespace marjoramrail::internal
