//===- pending_lookups.h - Packets of owner lookups -------------*- C++ -*-===//
///
/// \file
/// Keeps the packets of owner lookups that may have to be repeated. An owner
/// lookup is one packet that goes from agent to agent, and ends unnoticed at
/// the first one that is down. If only the caller's next copy started another
/// lookup, packets of an open flow would be kept from its target for seconds
/// while agents are restarted: callers double the time between their copies,
/// and each copy may end at another agent that is down at that moment.
///
/// Soft state of bounded size: without it, the caller's next copy starts a
/// lookup.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_PENDING_LOOKUPS_H
#define MARJORAMRAIL_FORWARD_PENDING_LOOKUPS_H

#include "marjoramrail/wire.h"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace marjoramrail::internal {

/// An owner lookup that has not found the owner yet, as far as known.
struct pending_lookup {
  flow_key Flow;
  /// The caller's packet, and when it arrived.
  std::vector<std::uint8_t> Packet;
  instant ArrivedAt;
  /// When the last lookup with it began.
  instant BeganAt;
};

class pending_lookups {
public:
  /// A packet is not sent again later than this after its arrival: the caller
  /// sends another copy by then.
  static constexpr duration MaxAge = std::chrono::milliseconds(1600);
  /// Bounds memory and the time for reviews.
  static constexpr std::size_t MaxLookups = 128;

  /// Keeps \p Lookup until \p DueAt, in place of an earlier one of the flow.
  /// Without effect if too many lookups are pending.
  void add(pending_lookup Lookup, instant DueAt) {
    const flow_key Flow = Lookup.Flow;
    if (!Lookups.contains(Flow) && Lookups.size() >= MaxLookups)
      return;
    Lookups[Flow] = {std::move(Lookup), DueAt};
    Schedule.emplace(DueAt, Flow);
  }

  /// The owner is known.
  void remove(const flow_key &Flow) { Lookups.erase(Flow); }

  /// Removes and returns a lookup that is due; nothing if none is.
  std::optional<pending_lookup> takeDue(instant Now) {
    while (!Schedule.empty() && Schedule.begin()->first <= Now) {
      const auto [DueAt, Flow] = *Schedule.begin();
      Schedule.erase(Schedule.begin());
      const auto Found = Lookups.find(Flow);
      // The lookup may have been replaced by one that is due later.
      if (Found == Lookups.end() || Found->second.DueAt != DueAt)
        continue;
      pending_lookup Due = std::move(Found->second.Lookup);
      Lookups.erase(Found);
      return Due;
    }
    return std::nullopt;
  }

  /// When takeDue() has to be called next, if at all.
  std::optional<instant> nextDue() const {
    if (Schedule.empty())
      return std::nullopt;
    return Schedule.begin()->first;
  }

private:
  struct entry {
    pending_lookup Lookup;
    instant DueAt;
  };

  std::unordered_map<flow_key, entry, flow_key_hash> Lookups;
  std::multimap<instant, flow_key> Schedule;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_PENDING_LOOKUPS_H
