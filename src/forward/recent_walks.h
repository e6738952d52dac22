//===- recent_walks.h - Flows that are being looked for ---------*- C++ -*-===//
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
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_RECENT_WALKS_H
#define MARJORAMRAIL_FORWARD_RECENT_WALKS_H

#include "marjoramrail/base.h"

#include <unordered_map>

namespace marjoramrail::internal {

class recent_walks {
public:
  /// A walk that has not ended by then has lost its packet at one of its many
  /// hops.
  static constexpr duration Spacing = std::chrono::milliseconds(600);

  /// True if no walk for \p Flow has begun within Spacing; then one begins.
  bool begin(const flow_key &Flow, instant Now) {
    const auto [Place, IsNew] = BeganAt.try_emplace(Flow, Now);
    if (IsNew || Now - Place->second < Spacing)
      return IsNew;
    Place->second = Now;
    return true;
  }

  void forgetOld(instant Now) {
    std::erase_if(BeganAt, [&](const auto &Item) {
      return Now - Item.second >= Spacing;
    });
  }

private:
  std::unordered_map<flow_key, instant, flow_key_hash> BeganAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_RECENT_WALKS_H
