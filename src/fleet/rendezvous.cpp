#include "fleet/rendezvous.h"

#include <algorithm>
#include <xxhash.h>

namespace marjoramrail::internal {

std::uint64_t hashOfName(std::string_view Name, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Seed);
}

std::vector<std::size_t> pick(std::string_view Key,
                              const std::vector<balancer_info> &Balancers,
                              std::size_t Count) {
  const std::uint64_t Seed = hashOfName(Key);
  std::vector<std::pair<std::uint64_t, std::size_t>> Ranked;
  Ranked.reserve(Balancers.size());
  for (std::size_t I = 0; I < Balancers.size(); ++I)
    Ranked.emplace_back(hashOfName(Balancers[I].Name, Seed), I);
  Count = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(), Ranked.begin() + Count, Ranked.end(),
                    std::greater<>());
  std::vector<std::size_t> Picked;
  for (std::size_t I = 0; I < Count; ++I)
    Picked.push_back(Ranked[I].second);
  return Picked;
}

std::uint32_t shardOf(std::string_view Service, std::uint32_t Shards) {
  return static_cast<std::uint32_t>(hashOfName(Service) %
                                    std::max<std::uint32_t>(1, Shards));
}

std::uint32_t hashOfEndpoints(const std::vector<endpoint> &Endpoints) {
  std::uint64_t Hash = 0;
  for (const endpoint &Endpoint : Endpoints) {
    const std::uint64_t Word =
        std::uint64_t{Endpoint.Address} << 16 | Endpoint.Port;
    Hash = XXH3_64bits_withSeed(&Word, sizeof(Word), Hash);
  }
  return static_cast<std::uint32_t>(Hash);
}

} // namespace marjoramrail::internal
