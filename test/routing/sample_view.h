//===- sample_view.h - Service views for tests ------------------*- C++ -*-===//
///
/// \file
/// Service views for tests, with a given number of ready hosts of equal weight.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_ROUTING_SAMPLE_VIEW_H
#define MARJORAMRAIL_TEST_ROUTING_SAMPLE_VIEW_H

#include "marjoramrail/routing.h"

namespace marjoramrail::test {

inline constexpr std::uint16_t FullWeight = 100;

inline target sampleTarget(std::uint32_t Number) {
  return {host_id(Number),
          {0x0a010000 + Number, 7000},
          zone_id(static_cast<std::uint16_t>(Number % 3)),
          target_state::Ready,
          1};
}

/// A generation of the hosts \p First to \p First + \p Count - 1.
inline generation sampleGeneration(std::uint64_t Number, std::uint32_t First,
                                   std::uint32_t Count) {
  generation Generation{Number, {}};
  for (std::uint32_t I = 0; I < Count; ++I)
    Generation.Members.push_back({host_id(First + I), FullWeight});
  return Generation;
}

inline service_view sampleView(std::uint32_t Hosts) {
  service_view View;
  View.Id = service_id(1);
  View.Name = "ledger";
  View.Address = {0x0a640001, 443};
  View.Version = 1;
  for (std::uint32_t I = 0; I < Hosts; ++I)
    View.Targets.push_back(sampleTarget(I));
  View.Generations = {sampleGeneration(1, 0, Hosts)};
  return View;
}

inline flow_key sampleFlow(std::uint32_t Number) {
  return {{0x0a000000 + Number / 50000,
           static_cast<std::uint16_t>(10000 + Number % 50000)},
          {0x0a640001, 443}};
}

} // namespace marjoramrail::test

#endif // MARJORAMRAIL_TEST_ROUTING_SAMPLE_VIEW_H
