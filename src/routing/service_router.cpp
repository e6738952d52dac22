#include "marjoramrail/routing.h"
#include "routing/rendezvous_score.h"

#include <algorithm>
#include <unordered_map>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace marjoramrail {

using namespace internal;

/// Differs from 0, the seed with which flow_key_hash hashes flows for the
/// agents' tables.
static constexpr std::uint64_t RoutingSeed = 0x6d6172726f757465;

static std::uint64_t hostHash(std::uint64_t FlowHash, host_id Host) {
  return XXH3_64bits_withSeed(&Host, sizeof(Host), FlowHash);
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

void owner_list::moveToFront(std::size_t Index) {
  std::rotate(Items.begin(), Items.begin() + Index, Items.begin() + Index + 1);
}

void owner_list::moveToBack(std::size_t Index) {
  std::rotate(Items.begin() + Index, Items.begin() + Index + 1,
              Items.begin() + Count);
}

//===----------------------------------------------------------------------===//
// service_router
//===----------------------------------------------------------------------===//

static std::size_t generationCount(const service_view &View) {
  return std::min(View.Generations.size(), MaxGenerations);
}

service_router::service_router(const service_view &View)
    : Id(View.Id), Version(View.Version),
      RowSize(std::bit_ceil(generationCount(View))),
      Targets(View.Targets.begin(),
              View.Targets.begin() + static_cast<std::ptrdiff_t>(std::min(
                                         View.Targets.size(), MaxTargets))),
      Weights(Targets.size() * RowSize) {
  std::unordered_map<host_id, std::size_t> PositionOf;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    PositionOf.emplace(Targets[I].Id, I);
  for (std::size_t G = 0; G < generationCount(View); ++G)
    for (const member &Member : View.Generations[G].Members)
      if (const auto Found = PositionOf.find(Member.Host);
          Found != PositionOf.end())
        Weights[Found->second * RowSize + G] =
            std::min(Member.Weight, MaxWeight);
  collectLiveTargets(View);
}

/// Sorts by host id, so that routers of one view agree whatever the order of
/// its targets.
void service_router::collectLiveTargets(const service_view &View) {
  HasDroppedGeneration =
      !View.Generations.empty() && View.Generations.back().Number > 1;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    if (Targets[I].State != target_state::Down)
      Live.push_back(static_cast<std::uint16_t>(I));
  std::sort(Live.begin(), Live.end(), [&](std::uint16_t A, std::uint16_t B) {
    return Targets[A].Id < Targets[B].Id;
  });
}

bool service_router::listsEveryTarget() const {
  return Live.size() <= owner_list::Capacity;
}

owner_list service_router::choices(const flow_key &Flow) const {
  owner_list Choices;
  const std::uint64_t FlowHash = hashOf(Flow, RoutingSeed);
  best_keys<1> Best;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const std::uint16_t Weight = Weights[I * RowSize];
    if (Weight != 0)
      Best.add({scoreKey(negativeLog(hostHash(FlowHash, Targets[I].Id)), Weight,
                         static_cast<std::uint16_t>(I))});
  }
  for (const auto &[Key] : Best.Ranks) {
    if (Key == NoKey)
      break;
    const target_state State = Targets[positionOf(Key)].State;
    if (State == target_state::Cold || State == target_state::Ready)
      Choices.add(positionOf(Key));
  }
  preferZoneOfFirst(Choices);
  return Choices;
}

void service_router::preferZoneOfFirst(owner_list &Choices) const {
  if (Choices.empty())
    return;
  const zone_id Zone = Targets[Choices[0]].Zone;
  std::size_t Place = 1;
  for (std::size_t Left = Choices.size() - 1; Left > 0; --Left) {
    if (Targets[Choices[Place]].Zone == Zone)
      ++Place;
    else
      Choices.moveToBack(Place);
  }
}

static const std::vector<std::uint16_t> NoTargets;

/// Owners that are not down, without repeats: each generation's first choice
/// before any second choice.
///
/// After the choices, all targets in \p Rest follow as far as the list has
/// room, because a flow may live longer than the generation that contained its
/// owner.
template <std::size_t Generations>
static owner_list mergeRanks(const best_keys<Generations> &Best,
                             const std::vector<target> &Targets,
                             const std::vector<std::uint16_t> &Rest) {
  owner_list Owners;
  // The generations mostly contain the same few hosts. One bit for each of the
  // first 64 positions avoids searching the list.
  std::uint64_t Seen = 0;
  for (const auto &Rank : Best.Ranks)
    for (const score_key Key : Rank) {
      const std::uint16_t Position = positionOf(Key);
      const std::uint64_t Bit =
          Position < 64 ? std::uint64_t(1) << Position : 0;
      if ((Seen & Bit) != 0 || Key == NoKey)
        continue;
      Seen |= Bit;
      if (Targets[Position].State != target_state::Down)
        Owners.add(Position);
    }
  for (const std::uint16_t Position : Rest) {
    if (Owners.size() == owner_list::Capacity)
      break;
    const bool IsListed = Position < 64
                              ? (Seen & std::uint64_t(1) << Position) != 0
                              : Owners.contains(Position);
    if (!IsListed)
      Owners.add(Position);
  }
  return Owners;
}

template <std::size_t Generations>
owner_list service_router::ownersOver(const flow_key &Flow) const {
  const std::uint64_t FlowHash = hashOf(Flow, RoutingSeed);
  best_keys<Generations> Best;
  const std::uint16_t *Weight = Weights.data();
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const std::uint64_t Log = negativeLog(hostHash(FlowHash, Targets[I].Id));
    typename best_keys<Generations>::row Keys;
    for (score_key &Key : Keys) {
      const score_key Scored =
          scoreKey(Log, *Weight, static_cast<std::uint16_t>(I));
      Key = *Weight++ != 0 ? Scored : NoKey;
    }
    Best.add(Keys);
  }
  return mergeRanks(Best, Targets, HasDroppedGeneration ? Live : NoTargets);
}

owner_list service_router::owners(const flow_key &Flow) const {
  switch (RowSize) {
  case 1:
    return ownersOver<1>(Flow);
  case 2:
    return ownersOver<2>(Flow);
  case 4:
    return ownersOver<4>(Flow);
  default:
    return ownersOver<MaxGenerations>(Flow);
  }
}

const target *service_router::findAgent(const endpoint &Agent) const {
  const auto Found =
      std::find_if(Targets.begin(), Targets.end(),
                   [&](const target &Target) { return Target.Agent == Agent; });
  return Found == Targets.end() ? nullptr : &*Found;
}

std::size_t service_router::bytes() const {
  return sizeof(*this) + Targets.capacity() * sizeof(target) +
         (Weights.capacity() + Live.capacity()) * sizeof(std::uint16_t);
}

} // namespace marjoramrail
