#include "fleet/view_delta.h"

#include <algorithm>
#include <map>
#include <set>

namespace marjoramrail::internal {

namespace {

struct host_entry {
  target Target;
  target_info Info;

  bool operator==(const host_entry &) const = default;
};

std::map<host_id, host_entry> hostsOf(const membership &Members) {
  std::map<host_id, host_entry> Hosts;
  for (std::size_t I = 0; I < Members.View.Targets.size(); ++I)
    Hosts[Members.View.Targets[I].Id] = {Members.View.Targets[I],
                                         Members.Info[I]};
  return Hosts;
}

void setHosts(membership &Members, const std::map<host_id, host_entry> &Hosts) {
  Members.View.Targets.clear();
  Members.Info.clear();
  for (const auto &[Id, Entry] : Hosts) {
    Members.View.Targets.push_back(Entry.Target);
    Members.Info.push_back(Entry.Info);
  }
}

std::map<std::uint64_t, generation, std::greater<>>
generationsOf(const membership &Members) {
  std::map<std::uint64_t, generation, std::greater<>> Known;
  for (const generation &Generation : Members.View.Generations)
    Known[Generation.Number] = Generation;
  return Known;
}

/// Returns the membership without hosts and generations.
membership headOf(const membership &Members) {
  membership Head = Members;
  Head.View.Targets.clear();
  Head.View.Generations.clear();
  Head.Info.clear();
  return Head;
}

} // namespace

void sortMembership(membership &Members) {
  setHosts(Members, hostsOf(Members));
  std::sort(Members.View.Generations.begin(), Members.View.Generations.end(),
            [](const generation &A, const generation &B) {
              return A.Number > B.Number;
            });
}

view_delta makeDelta(const membership &From, const membership &To) {
  view_delta Delta;
  Delta.Base = From.View.Version;
  Delta.Changed = headOf(To);
  const auto Before = hostsOf(From);
  auto After = hostsOf(To);
  for (const auto &[Id, Entry] : Before) {
    const auto Found = After.find(Id);
    if (Found == After.end())
      Delta.RemovedHosts.push_back(static_cast<std::uint32_t>(Id));
    else if (Found->second == Entry)
      After.erase(Found);
  }
  setHosts(Delta.Changed, After);
  const auto OldGenerations = generationsOf(From);
  const auto NewGenerations = generationsOf(To);
  for (const auto &[Number, Generation] : OldGenerations)
    if (!NewGenerations.contains(Number))
      Delta.RemovedGenerations.push_back(Number);
  for (const auto &[Number, Generation] : NewGenerations) {
    const auto Found = OldGenerations.find(Number);
    if (Found == OldGenerations.end() || Found->second != Generation)
      Delta.Changed.View.Generations.push_back(Generation);
  }
  return Delta;
}

std::optional<membership> applyDelta(const membership &From,
                                     const view_delta &Delta) {
  if (From.View.Version != Delta.Base ||
      From.View.Name != Delta.Changed.View.Name)
    return std::nullopt;
  membership To = headOf(Delta.Changed);
  auto Hosts = hostsOf(From);
  for (const std::uint32_t Removed : Delta.RemovedHosts)
    Hosts.erase(host_id{Removed});
  for (const auto &[Id, Entry] : hostsOf(Delta.Changed))
    Hosts[Id] = Entry;
  setHosts(To, Hosts);
  auto Generations = generationsOf(From);
  for (const std::uint64_t Removed : Delta.RemovedGenerations)
    Generations.erase(Removed);
  for (const auto &[Number, Generation] : generationsOf(Delta.Changed))
    Generations[Number] = Generation;
  for (const auto &[Number, Generation] : Generations)
    To.View.Generations.push_back(Generation);
  return To;
}

} // namespace marjoramrail::internal
