//===- view_store.h - The newest view of each service -----------*- C++ -*-===//
///
/// \file
/// Keeps the highest version of each view that was ever received; older
/// versions offered by the platform or a peer are ignored. Digests by bucket
/// let two nodes find their differences in a few hundred bytes.
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
  /// 64 digests fit one datagram; with 46,000 services a bucket holds about 720
  /// versions.
  static constexpr std::size_t Buckets = 64;

  /// Stores \p Members if it is newer than the stored version.
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

  /// Returns the last change of a service as a delta, if it builds on \p Base.
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
