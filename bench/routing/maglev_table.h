//===- maglev_table.h - Maglev hashing for comparison -----------*- C++ -*-===//
///
/// \file
/// A Maglev table (Eisenbud and others, NSDI 2016), the alternative with which
/// rendezvous hashing is compared. A look-up takes constant time, but each
/// generation needs a table, and a change moves more flows than necessary.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_ROUTING_MAGLEV_TABLE_H
#define MARJORAMRAIL_BENCH_ROUTING_MAGLEV_TABLE_H

#include "marjoramrail/routing.h"

namespace marjoramrail::bench {

class maglev_table {
public:
  /// \p Size is a prime at least a hundred times the number of members.
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
