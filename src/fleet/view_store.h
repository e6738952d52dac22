//===- view_store.h - The newest view of each service -----------*- C++ -*-===//
///
/// \file
/// Versions never go back: whatever the platform or a peer offers, the highest
/// version that was ever seen stays. Digests by bucket let two nodes find what
/// differs in a few hundred bytes.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_VIEW_STORE_H
#define MARJORAMRAIL_FLEET_VIEW_STORE_H

#include "fleet/view_delta.h"

#include <deque>
#include <map>

namespace marjoramrail::internal {

enum class offer { Newer, Same, Older };

class view_store {
public:
  /// 64 digests fit one datagram; at 46,000 services a bucket's versions are
  /// about 720 entries.
  static constexpr std::size_t Buckets = 64;

  /// Takes \p Members if it is newer than what stands.
  offer take(const membership &Members);

  const membership *find(const std::string &Service) const;
  std::uint64_t versionOf(const std::string &Service) const;
  std::vector<std::string> names() const;
  std::size_t size() const { return Views.size(); }

  std::uint64_t digest() const;
  const std::array<std::uint64_t, Buckets> &bucketDigests() const {
    return Digests;
  }
  std::vector<view_version> versionsIn(std::uint32_t Bucket) const;

  /// The last change of a service as a delta, if it started at \p Base.
  const view_delta *deltaFrom(const std::string &Service,
                              std::uint64_t Base) const;

  const std::map<std::string, membership> &all() const { return Views; }

private:
  static std::uint32_t bucketOf(const std::string &Service);

  /// Enough for the changes of some seconds.
  static constexpr std::size_t MaxDeltas = 128;

  std::map<std::string, membership> Views;
  std::array<std::uint64_t, Buckets> Digests{};
  std::deque<view_delta> Deltas;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_VIEW_STORE_H
