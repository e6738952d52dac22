#include "work/key_ring.h"

#include <algorithm>
#include <xxhash.h>

namespace marjoramrail::internal {

namespace {

std::uint64_t scoreOf(const std::string &Key, host_id Host) {
  return XXH3_64bits_withSeed(Key.data(), Key.size(), std::uint64_t(Host));
}

void add(std::uint64_t &Digest, std::uint64_t Value) {
  Digest = XXH3_64bits_withSeed(&Value, sizeof(Value), Digest);
}

std::uint64_t digestOf(const key_view &View) {
  std::uint64_t Digest = 0;
  for (const key_member &Member : View.Hosts) {
    add(Digest, std::uint64_t(Member.Host));
    add(Digest, Member.Incarnation * 2ULL + (Member.Down ? 1 : 0));
  }
  for (const key_generation &Generation : View.Generations) {
    add(Digest, Generation.Number);
    for (const host_id Host : Generation.Members)
      add(Digest, std::uint64_t(Host));
  }
  return Digest;
}

} // namespace

std::vector<host_id> replicasUnder(const key_generation &Generation,
                                   const std::string &Key) {
  std::vector<host_id> Hosts = Generation.Members;
  const std::size_t Count = std::min(Hosts.size(), ReplicasPerGeneration);
  std::partial_sort(Hosts.begin(), Hosts.begin() + std::ptrdiff_t(Count),
                    Hosts.end(), [&](host_id Left, host_id Right) {
                      return std::pair(scoreOf(Key, Left), Left) >
                             std::pair(scoreOf(Key, Right), Right);
                    });
  Hosts.resize(Count);
  return Hosts;
}

bool contains(const std::vector<host_id> &Hosts, host_id Host) {
  return std::find(Hosts.begin(), Hosts.end(), Host) != Hosts.end();
}

key_ring::key_ring(key_view Given)
    : View(std::move(Given)), Digest(digestOf(View)) {}

const key_member *key_ring::member(host_id Host) const {
  for (const key_member &Member : View.Hosts)
    if (Member.Host == Host)
      return &Member;
  return nullptr;
}

bool key_ring::up(host_id Host) const {
  const key_member *Member = member(Host);
  return Member && !Member->Down;
}

std::vector<host_id> key_ring::replicas(const std::string &Key) const {
  std::set<host_id> All;
  for (const key_generation &Generation : View.Generations)
    for (const host_id Host : replicasUnder(Generation, Key))
      All.insert(Host);
  return {All.begin(), All.end()};
}

std::vector<host_id> key_ring::liveReplicas(const std::string &Key) const {
  std::vector<host_id> Live = replicas(Key);
  std::erase_if(Live, [&](host_id Host) { return !up(Host); });
  return Live;
}

} // namespace marjoramrail::internal
