#include "fleet/view_store.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

std::uint64_t hashOfVersion(const std::string &Service, std::uint64_t Version) {
  return hashOfName(Service, Version);
}

} // namespace

std::uint32_t view_store::bucketOf(const std::string &Service) {
  return static_cast<std::uint32_t>(hashOfName(Service) >> 32) % Buckets;
}

offer view_store::take(const membership &Members) {
  const std::string &Name = Members.View.Name;
  const std::uint64_t Current = versionOf(Name);
  if (Members.View.Version == Current)
    return offer::Same;
  if (Members.View.Version < Current)
    return offer::Older;
  std::uint64_t &Digest = Digests[bucketOf(Name)];
  if (Current != 0) {
    Digest ^= hashOfVersion(Name, Current);
    Deltas.push_back(makeDelta(Views[Name], Members));
    if (Deltas.size() > MaxDeltas)
      Deltas.pop_front();
  }
  Digest ^= hashOfVersion(Name, Members.View.Version);
  Views[Name] = Members;
  return offer::Newer;
}

const membership *view_store::find(const std::string &Service) const {
  const auto Found = Views.find(Service);
  return Found == Views.end() ? nullptr : &Found->second;
}

std::uint64_t view_store::versionOf(const std::string &Service) const {
  const membership *Found = find(Service);
  return Found == nullptr ? 0 : Found->View.Version;
}

std::vector<std::string> view_store::names() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Members] : Views)
    Names.push_back(Name);
  return Names;
}

std::uint64_t view_store::digest() const {
  std::uint64_t Combined = 0;
  // Each digest is rotated by its index, since two buckets with equal
  // differences would cancel out otherwise.
  for (std::size_t I = 0; I < Buckets; ++I)
    Combined ^= Digests[I] << I | (I == 0 ? 0 : Digests[I] >> (Buckets - I));
  return Combined;
}

std::vector<view_version> view_store::versionsIn(std::uint32_t Bucket) const {
  std::vector<view_version> Versions;
  for (const auto &[Name, Members] : Views)
    if (bucketOf(Name) == Bucket)
      Versions.push_back({Name, Members.View.Version});
  return Versions;
}

const view_delta *view_store::deltaFrom(const std::string &Service,
                                        std::uint64_t Base) const {
  const std::uint64_t Newest = versionOf(Service);
  const auto Found = std::find_if(
      Deltas.rbegin(), Deltas.rend(), [&](const view_delta &Delta) {
        return Delta.Changed.View.Name == Service && Delta.Base == Base &&
               Delta.Changed.View.Version == Newest;
      });
  return Found == Deltas.rend() ? nullptr : &*Found;
}

} // namespace marjoramrail::internal
