//===- recent_lookups.h - Flows that are being looked for ---------*- C++
//-*-===//
///
/// \file
/// After a loss of power thousands of flows belong to nobody, and each of their
/// callers sends again every few hundred milliseconds. A walk through all
/// targets of a large service takes longer than that. Were every copy to walk
/// for itself, the walks would keep agents and the links between zones busy,
/// and callers would be told the later. So one walk at a time goes through all
/// zones for a flow; other packets are only shown to the targets of the own
/// zone, where an owner most likely is.
///
/// How long that is depends on how many are asked. A walk through a few targets
/// is over before the caller sends again; if it does, the walk has lost its
/// packet, and the copy has to walk as well, or its request is given up.
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
  /// Longer than callers wait between their first copies of a packet.
  static constexpr duration RetentionTime = std::chrono::seconds(2);
  /// No walk is waited for longer.
  static constexpr duration MaxLookupTimeout = std::chrono::milliseconds(500);

  /// A walk through so many targets that has not ended by then has lost its
  /// packet at one of its hops.
  static constexpr duration lookupTimeout(std::size_t Targets) {
    constexpr duration BaseTime = std::chrono::milliseconds(100);
    constexpr duration TimePerTarget = std::chrono::microseconds(2500);
    return std::min(BaseTime +
                        TimePerTarget * static_cast<duration::rep>(Targets),
                    MaxLookupTimeout);
  }

  /// True if no walk for \p Flow, through so many targets, is under way; then
  /// one begins.
  bool begin(const flow_key &Flow, std::size_t Targets, instant Now) {
    const auto [Place, IsNew] =
        Lookups.try_emplace(Flow, lookup{Now, std::nullopt});
    lookup &Lookup = Place->second;
    if (IsNew || Now - Lookup.BeganAt < lookupTimeout(Targets))
      return IsNew;
    Lookup = {Now, Lookup.BeganAt};
    return true;
  }

  /// When the walk before this one for \p Flow began. It found nothing: it may
  /// have ended at a VM that is gone.
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
