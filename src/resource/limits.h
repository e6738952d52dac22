//===- limits.h - Ranges allowed in objects ---------------------*- C++ -*-===//
///
/// \file
/// The ranges that the parsers enforce and that their errors state.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_RESOURCE_LIMITS_H
#define MARJORAMRAIL_RESOURCE_LIMITS_H

#include <cstddef>
#include <cstdint>

namespace marjoramrail::internal {

inline constexpr std::size_t MaxNameLength = 63;
inline constexpr std::size_t MaxZonesPerService = 64;
inline constexpr std::size_t MaxReasonLength = 1000;

inline constexpr std::int64_t MaxServiceNumber = 0xffffffff;
inline constexpr std::int64_t MaxZoneNumber = 0xffff;

/// No single host runs more requests at once.
inline constexpr std::int64_t MaxSlots = 100'000;

/// Below 100, agents could not even take their mean share. Above 1000, no flow
/// would ever be passed to another agent.
inline constexpr std::int64_t MinSharePercent = 100;
inline constexpr std::int64_t MaxSharePercent = 1000;

inline constexpr std::int64_t MaxColdStartSeconds = 3600;

/// With a shorter limit, one lost keepalive would close a flow.
inline constexpr std::int64_t MinSilentFlowSeconds = 5;
inline constexpr std::int64_t MaxSilentFlowSeconds = 86'400;

inline constexpr std::int64_t MaxCount = 0xffffffff;

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_RESOURCE_LIMITS_H
