#include "marjoramrail/routing.h"
#include "routing/rendezvous_score.h"

#include <algorithm>
#include <unordered_map>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace marjoramrail {

using namespace internal;

/// A seed of its own: the agents' tables hash flows with seed 0.
static constexpr std::uint64_t RoutingSeed = 0x6d6172726f757465;

static std::uint64_t hostHash(std::uint64_t FlowHash, host_id Host) {
  return XXH3_64bits_withSeed(&Host, sizeof(Host), FlowHash);
}

static std::uint16_t positionOf(std::uint64_t Key) {
  return static_cast<std::uint16_t>(Key);
}

//===----------------------------------------------------------------------===//
// owner_list
//===----------------------------------------------------------------------===//

bool owner_list::contains(std::uint16_t Item) const {
  return std::find(begin(), end(), Item) != end();
}

void owner_list::add(std::uint16_t Item) {
  if (Count < Capacity && !contains(Item))
    Items[Count++] = Item;
}

//===----------------------------------------------------------------------===//
// service_router
//===----------------------------------------------------------------------===//

service_router::service_router(const service_view &View)
    : Id(View.Id), Version(View.Version),
      GenerationCount(std::min(View.Generations.size(), MaxGenerations)),
      Targets(View.Targets.begin(),
              View.Targets.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         View.Targets.size(), MaxTargets))),
      Weights(Targets.size() * GenerationCount) {
  std::unordered_map<host_id, std::size_t> PositionOf;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    PositionOf.emplace(Targets[I].Id, I);
  for (std::size_t G = 0; G < GenerationCount; ++G)
    for (const member &Member : View.Generations[G].Members)
      if (const auto Found = PositionOf.find(Member.Host);
          Found != PositionOf.end())
        Weights[Found->second * GenerationCount + G] =
            std::min(Member.Weight, MaxWeight);
}

owner_list service_router::choices(const flow_key &Flow) const {
  owner_list Choices;
  if (GenerationCount == 0)
    return Choices;
  const std::uint64_t FlowHash = hashOf(Flow, RoutingSeed);
  best_keys Best;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const std::uint16_t Weight = Weights[I * GenerationCount];
    if (Weight != 0)
      Best.add(scoreKey(negativeLog(hostHash(FlowHash, Targets[I].Id)), Weight,
                        static_cast<std::uint16_t>(I)));
  }
  for (const std::uint64_t Key : Best.Keys) {
    if (Key == NoKey)
      break;
    const target_state State = Targets[positionOf(Key)].State;
    if (State == target_state::Cold || State == target_state::Ready)
      Choices.add(positionOf(Key));
  }
  return Choices;
}

owner_list service_router::owners(const flow_key &Flow) const {
  const std::uint64_t FlowHash = hashOf(Flow, RoutingSeed);
  std::array<best_keys, MaxGenerations> Best;
  const std::uint16_t *Weight = Weights.data();
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const std::uint64_t Log = negativeLog(hostHash(FlowHash, Targets[I].Id));
    for (std::size_t G = 0; G < GenerationCount; ++G, ++Weight)
      if (*Weight != 0)
        Best[G].add(scoreKey(Log, *Weight, static_cast<std::uint16_t>(I)));
  }
  owner_list Owners;
  for (std::size_t Rank = 0; Rank < ChoicesPerGeneration; ++Rank)
    for (std::size_t G = 0; G < GenerationCount; ++G) {
      const std::uint64_t Key = Best[G].Keys[Rank];
      if (Key != NoKey && Targets[positionOf(Key)].State != target_state::Down)
        Owners.add(positionOf(Key));
    }
  return Owners;
}

std::size_t service_router::bytes() const {
  return sizeof(*this) + Targets.capacity() * sizeof(target) +
         Weights.capacity() * sizeof(std::uint16_t);
}

} // namespace marjoramrail
