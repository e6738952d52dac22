//===- routes_progress_log.h - Steps of configurations ----------*- C++ -*-===//
///
/// \file
/// Records when each configuration arrived, was read and came into effect on
/// this balancer. Without these times a late configuration cannot be traced to
/// the step that delayed it: the copy, the reading or the wait of its services.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTES_PROGRESS_LOG_H
#define MARJORAMRAIL_DIRECTORY_ROUTES_PROGRESS_LOG_H

#include "marjoramrail/directory.h"

namespace marjoramrail::internal {

class routes_progress_log {
public:
  /// The object with the store version \p ObjectVersion has arrived from
  /// \p Source.
  void noteArrival(std::uint64_t ObjectVersion, std::string Source,
                   instant Now);
  /// The table \p Version was read from that object. Returns its progress.
  routes_progress noteKnown(std::uint64_t ObjectVersion, std::uint64_t Version,
                            instant FirstKnownAt, instant Now);
  /// The table \p Version is in effect. Returns its progress at the first call
  /// for each version.
  std::optional<routes_progress> noteActive(std::uint64_t Version, instant Now);

private:
  struct arrival {
    std::string Source;
    instant At;
  };

  /// Objects that have not been read yet, by store version.
  std::map<std::uint64_t, arrival> Arrivals;
  /// Tables that are not in effect yet, by version.
  std::map<std::uint64_t, routes_progress> Known;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTES_PROGRESS_LOG_H
