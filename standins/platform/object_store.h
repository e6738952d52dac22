//===- object_store.h - Versioned object store ------------------*- C++ -*-===//
///
/// \file
/// The objects of the platform stand-in. All versions come from one counter,
/// and changes are conditional on the version. Uses no network and no clock.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_OBJECT_STORE_H
#define MARJORAMRAIL_STANDINS_PLATFORM_OBJECT_STORE_H

#include "marjoramrail/platform.h"

#include <deque>
#include <map>
#include <optional>

namespace marjoramrail::standins {

/// Stores objects with a short history of versions.
class object_store {
public:
  /// Number of versions kept per object, for serveOldVersion().
  static constexpr std::size_t VersionsKept = 8;

  std::uint64_t version() const { return Version; }

  /// Answers reads, lists and watches as of store version
  /// \p MaxVisibleVersion, like a replica that has fallen behind. Changes use
  /// the current version.
  void serveOldVersion(std::optional<std::uint64_t> MaxVisibleVersion) {
    this->MaxVisibleVersion = MaxVisibleVersion;
  }

  platform_reply read(const object_key &Key) const;
  platform_reply list(const std::string &Kind) const;
  /// Returns the objects last changed after \p Since, including deleted ones.
  platform_reply changes(std::uint64_t Since) const;

  /// Changes an object if \p Expected is its current version (0 if it does not
  /// exist).
  platform_reply write(const platform_object &Object, std::uint64_t Expected);
  platform_reply remove(const platform_object &Object, std::uint64_t Expected);

private:
  using history = std::deque<platform_object>;

  const platform_object *currentObject(const object_key &Key) const;
  const platform_object *visible(const history &Versions) const;
  std::uint64_t visibleVersion() const;
  platform_reply change(const platform_object &Object, std::uint64_t Expected);

  std::map<object_key, history> Objects;
  /// The key of the object last changed at each version, for watches.
  std::map<std::uint64_t, object_key> KeysByVersion;
  std::uint64_t Version = 0;
  std::optional<std::uint64_t> MaxVisibleVersion;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_PLATFORM_OBJECT_STORE_H
