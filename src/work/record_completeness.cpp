#include "work/record_completeness.h"

#include <algorithm>

namespace marjoramrail::internal {

/// Claims made under a generation that existed before this agent started are
/// known only to the generation's other replicas. There is one exception: a
/// generation that contains a host which never ran before was created after
/// that host's agent had started, so no key that it stores was claimed there
/// without it. Without this exception, hosts that join together would wait for
/// each other's confirmation until the lifetime has passed, and every key
/// stored by two of them would be refused in the meantime.
record_completeness::generation_records
record_completeness::startTracking(const key_generation &Generation,
                                   instant Now) const {
  const bool Continuous = !FirstView || History == replica_history::NewService;
  const bool AskedInAll = History == replica_history::NeverRan &&
                          contains(Generation.Members, Self);
  return {Generation, Now, Continuous || AskedInAll, Continuous, {}};
}

void record_completeness::take(const key_view &View, instant Now) {
  bool HasNewGeneration = false;
  for (const key_generation &Generation : View.Generations) {
    if (Generations.contains(Generation.Number))
      continue;
    Generations[Generation.Number] = startTracking(Generation, Now);
    HasNewGeneration = true;
  }
  if (View.Generations.empty())
    return;
  const std::uint64_t Newest = View.Generations.front().Number;
  const bool MayBeNewReplica = HasNewGeneration && !FirstView;
  if (FirstView && History == replica_history::MayHaveRun)
    resetRecords(Now);
  FirstView = false;
  for (auto &[Number, Each] : Generations) {
    if (Number >= Newest || !MayBeNewReplica)
      continue;
    // Under the newest generation this agent stores keys that it did not store
    // before; the replicas of the older generations have their records.
    Each.SawAllClaims = Each.SawAllClaims || complete(Each, Now);
    Each.Complete = false;
    Each.Since = Now;
    Each.SyncedHosts.clear();
    checkComplete(Each);
  }
  std::erase_if(Generations, [&](const auto &Entry) {
    const auto Same = [&](const key_generation &Generation) {
      return Generation.Number == Entry.first;
    };
    const bool Held =
        std::any_of(View.Generations.begin(), View.Generations.end(), Same);
    return !Held && complete(Entry.second, Now);
  });
}

void record_completeness::resetRecords(instant Now) {
  FirstView = true;
  History = replica_history::MayHaveRun;
  for (auto &[Number, Each] : Generations) {
    Each.SawAllClaims = false;
    Each.Complete = false;
    Each.Since = Now;
    Each.SyncedHosts.clear();
  }
}

void record_completeness::recordsReceived(
    host_id Host, const std::vector<std::uint64_t> &Numbers) {
  for (const std::uint64_t Number : Numbers) {
    const auto Found = Generations.find(Number);
    if (Found == Generations.end())
      continue;
    Found->second.SyncedHosts.insert(Host);
    checkComplete(Found->second);
  }
}

/// Each key has two replicas. One host that has not sent its records may
/// therefore be missing, as long as it is never the only other replica of a key
/// that this agent stores.
void record_completeness::checkComplete(generation_records &Each) const {
  std::size_t Missing = 0;
  for (const host_id Host : Each.Generation.Members)
    Missing += Host != Self && !Each.SyncedHosts.contains(Host) ? 1 : 0;
  const std::size_t Allowed = Each.SawAllClaims ? 1 : 0;
  if (Missing > Allowed)
    return;
  Each.Complete = true;
  Each.SawAllClaims = true;
}

bool record_completeness::complete(const generation_records &Each,
                                   instant Now) const {
  return Each.Complete || Now - Each.Since > Lifetime;
}

bool record_completeness::isCompleteFor(const std::string &Key,
                                        instant Now) const {
  for (const auto &Entry : Generations) {
    const generation_records &Each = Entry.second;
    if (complete(Each, Now))
      continue;
    const std::vector<host_id> Replicas = replicasUnder(Each.Generation, Key);
    const bool Known =
        (Each.SawAllClaims && contains(Replicas, Self)) ||
        std::any_of(Replicas.begin(), Replicas.end(), [&](host_id Host) {
          return Each.SyncedHosts.contains(Host);
        });
    if (!Known)
      return false;
  }
  return !Generations.empty();
}

bool record_completeness::needsRecordsFrom(host_id Host, instant Now) const {
  return std::any_of(
      Generations.begin(), Generations.end(), [&](const auto &Entry) {
        const generation_records &Each = Entry.second;
        return !complete(Each, Now) && !Each.SyncedHosts.contains(Host) &&
               contains(Each.Generation.Members, Host);
      });
}

bool record_completeness::settled(instant Now) const {
  return std::all_of(
      Generations.begin(), Generations.end(),
      [&](const auto &Entry) { return complete(Entry.second, Now); });
}

std::vector<std::uint64_t>
record_completeness::completeGenerations(instant Now) const {
  std::vector<std::uint64_t> Numbers;
  for (const auto &[Number, Each] : Generations) {
    if (Each.SawAllClaims || complete(Each, Now))
      Numbers.push_back(Number);
    // A replica of a later generation may lack claims made before that
    // generation.
    if (!complete(Each, Now))
      break;
  }
  return Numbers;
}

} // namespace marjoramrail::internal
