//===- object_store.h - Objects with versions -------------------*- C++ -*-===//
///
/// \file
/// What the platform keeps: objects whose versions come from one counter, with
/// conditional changes. Pure: no network, no clock.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_OBJECT_STORE_H
#define MARJORAMRAIL_STANDINS_PLATFORM_OBJECT_STORE_H

#include "marjoramrail/platform.h"

#include <deque>
#include <map>
#include <optional>

namespace marjoramrail::standins {

class object_store {
public:
  /// Versions of one object kept for answers from the past.
  static constexpr std::size_t VersionsKept = 8;

  std::uint64_t version() const { return Version; }

  /// Answers reads, lists and watches as of store version \p Horizon, as a
  /// replica that has fallen behind does. Changes see the present.
  void serveOldVersion(std::optional<std::uint64_t> MaxVisibleVersion) {
    this->MaxVisibleVersion = MaxVisibleVersion;
  }

  platform_reply read(const object_key &Key) const;
  platform_reply list(const std::string &Kind) const;
  /// Everything last changed after \p Since, deletions among it.
  platform_reply changes(std::uint64_t Since) const;

  /// Changes an object if \p Expected is the version that stands.
  platform_reply write(const platform_object &Object, std::uint64_t Expected);
  platform_reply remove(const platform_object &Object, std::uint64_t Expected);

private:
  using history = std::deque<platform_object>;

  const platform_object *currentObject(const object_key &Key) const;
  const platform_object *visible(const history &Versions) const;
  std::uint64_t visibleVersion() const;
  platform_reply change(const platform_object &Object, std::uint64_t Expected);

  std::map<object_key, history> Objects;
  /// The key last changed at each version, for watches.
  std::map<std::uint64_t, object_key> KeysByVersion;
  std::uint64_t Version = 0;
  std::optional<std::uint64_t> MaxVisibleVersion;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_PLATFORM_OBJECT_STORE_H
