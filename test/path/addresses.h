//===- addresses.h - Addresses in the path simulation -----------*- C++ -*-===//
///
/// \file
/// Maps numbers of hosts, balancers and callers to addresses.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_PATH_ADDRESSES_H
#define MARJORAMRAIL_TEST_PATH_ADDRESSES_H

#include "marjoramrail/base.h"

namespace marjoramrail::test {

inline constexpr endpoint ServiceAddress{0x0a640001, 443};
inline constexpr std::uint32_t FirstCaller = 0x0a030000;
inline constexpr std::uint32_t PortsPerCaller = 20000;
inline constexpr std::uint16_t FirstPort = 10000;

inline endpoint agentOf(std::uint32_t Host) {
  return {0x0a010000 + Host, 7000};
}

inline endpoint balancerOf(std::uint32_t Number) {
  return {0x0a020000 + Number, 4000};
}

inline flow_key keyOf(std::uint32_t Number) {
  return {{FirstCaller + Number / PortsPerCaller,
           static_cast<std::uint16_t>(FirstPort + Number % PortsPerCaller)},
          ServiceAddress};
}

inline std::uint32_t numberOf(const flow_key &Flow) {
  return (Flow.Caller.Address - FirstCaller) * PortsPerCaller +
         Flow.Caller.Port - FirstPort;
}

} // namespace marjoramrail::test

#endif // MARJORAMRAIL_TEST_PATH_ADDRESSES_H
