//===- maglev_table.h - The weighed alternative to rendezvous ---*- C++ -*-===//
///
/// \file
/// A Maglev table (Eisenbud and others, NSDI 2016), as the measure that the
/// choice of rendezvous hashing is held against: constant time a look-up, a
/// table per generation, and flows moved beyond the least on a change.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_ROUTING_MAGLEV_TABLE_H
#define MARJORAMRAIL_BENCH_ROUTING_MAGLEV_TABLE_H

#include "marjoramrail/routing.h"

namespace marjoramrail::bench {

class maglev_table {
public:
  /// \p Size is a prime, a hundred or more times the number of members.
  maglev_table(const generation &Generation, std::uint32_t Size);

  /// The position of the flow's owner in the generation's members.
  std::uint16_t ownerOf(std::uint64_t FlowHash) const {
    return Slots[FlowHash % Slots.size()];
  }

  std::size_t bytes() const { return Slots.size() * sizeof(std::uint16_t); }

private:
  std::vector<std::uint16_t> Slots;
};

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_ROUTING_MAGLEV_TABLE_H
