#include "bench/routing/bench.h"
#include "bench/routing/maglev_table.h"

#include <algorithm>

namespace marjoramrail::bench {

static constexpr std::uint32_t Hosts = 100;
static constexpr std::uint32_t Flows = 200000;

namespace {

/// The number of flows whose owner changed, and of those that had to change:
/// the flows of the host that left, or those that the new host owns.
struct remap_count {
  std::uint32_t Moved = 0;
  std::uint32_t Least = 0;

  void add(std::uint16_t Before, std::uint16_t After, std::uint16_t Changed) {
    Moved += Before != After;
    Least += Before == Changed || After == Changed;
  }
  double excess() const { return double(Moved) / Least; }
};

} // namespace

/// A view of \p Count hosts whose targets are at the positions of their
/// numbers.
static service_view plainView(std::uint32_t Count) { return viewOf(Count, 1); }

void measureRemap() {
  constexpr std::uint32_t TableSize = 10007;
  constexpr std::uint16_t Changed = Hosts - 1;
  const service_router With(plainView(Hosts));
  const service_router Without(plainView(Hosts - 1));
  const maglev_table TableWith(plainView(Hosts).Generations[0], TableSize);
  const maglev_table TableWithout(plainView(Hosts - 1).Generations[0],
                                  TableSize);
  remap_count Added;
  remap_count Removed;
  remap_count Maglev;
  remap_count Modulo;
  for (std::uint32_t I = 0; I < Flows; ++I) {
    const flow_key Flow = flowOf(I);
    const std::uint64_t Hash = hashOf(Flow, 0);
    const std::uint16_t Many = With.choices(Flow)[0];
    const std::uint16_t Few = Without.choices(Flow)[0];
    Added.add(Few, Many, Changed);
    Removed.add(Many, Few, Changed);
    Maglev.add(TableWith.ownerOf(Hash), TableWithout.ownerOf(Hash), Changed);
    Modulo.add(static_cast<std::uint16_t>(Hash % Hosts),
               static_cast<std::uint16_t>(Hash % (Hosts - 1)), Changed);
  }
  print("remap_excess", std::max(Added.excess(), Removed.excess()), "ratio");
  print("remap_excess_maglev", Maglev.excess(), "ratio");
  print("remap_excess_modulo", Modulo.excess(), "ratio");
}

} // namespace marjoramrail::bench
