//===- recent_lookups.h - Owner lookups in progress -------------*- C++ -*-===//
///
/// \file
/// Limits the owner lookups for each flow. After a power failure thousands of
/// flows have no owner, and each caller retransmits every few hundred
/// milliseconds. A lookup through all targets of a large service takes longer
/// than that. If every retransmitted packet started a lookup, the lookups would
/// overload agents and the links between zones, and callers would get their
/// resets later. So only one lookup at a time goes through all zones for a
/// flow; other packets of the flow are only offered to the targets of the own
/// zone, where an owner is most likely.
///
/// The time-out of a lookup depends on the number of targets. A lookup through
/// a few targets ends before the caller retransmits. If the caller does
/// retransmit, the packet of the lookup was lost, and the retransmitted one has
/// to start a new lookup, or the request would time out.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_RECENT_LOOKUPS_H
#define MARJORAMRAIL_FORWARD_RECENT_LOOKUPS_H

#include "marjoramrail/base.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace marjoramrail::internal {

class recent_lookups {
public:
  /// Longer than the time between a caller's first retransmissions.
  static constexpr duration RetentionTime = std::chrono::seconds(2);
  /// Upper bound of lookupTimeout.
  static constexpr duration MaxLookupTimeout = std::chrono::milliseconds(500);

  /// Returns the time after which a lookup through \p Targets targets that has
  /// not ended must have lost its packet at one of them.
  static constexpr duration lookupTimeout(std::size_t Targets) {
    constexpr duration BaseTime = std::chrono::milliseconds(100);
    constexpr duration TimePerTarget = std::chrono::microseconds(2500);
    return std::min(BaseTime +
                        TimePerTarget * static_cast<duration::rep>(Targets),
                    MaxLookupTimeout);
  }

  /// Returns true, and begins a lookup, if none is in progress for \p Flow. \p
  /// Targets is the number of targets that it goes through.
  bool begin(const flow_key &Flow, std::size_t Targets, instant Now) {
    const auto [Place, IsNew] =
        Lookups.try_emplace(Flow, lookup{Now, std::nullopt});
    lookup &Lookup = Place->second;
    if (IsNew || Now - Lookup.BeganAt < lookupTimeout(Targets))
      return IsNew;
    Lookup = {Now, Lookup.BeganAt};
    return true;
  }

  /// Returns when the previous lookup for \p Flow began, if there was one. It
  /// found no owner; its packet may have been lost at a failed VM.
  std::optional<instant> previous(const flow_key &Flow) const {
    const auto Found = Lookups.find(Flow);
    return Found == Lookups.end() ? std::nullopt : Found->second.PreviousAt;
  }

  void removeExpired(instant Now) {
    std::erase_if(Lookups, [&](const auto &Item) {
      return Now - Item.second.BeganAt >= RetentionTime;
    });
  }

private:
  struct lookup {
    instant BeganAt;
    std::optional<instant> PreviousAt;
  };

  std::unordered_map<flow_key, lookup, flow_key_hash> Lookups;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_RECENT_LOOKUPS_H
