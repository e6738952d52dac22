//===- limits.h - Ranges allowed in objects ---------------------*- C++ -*-===//
///
/// \file
/// The ranges that parsing enforces and refusals name.
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

/// A target that runs more than this at once is no single host.
inline constexpr std::int64_t MaxSlots = 100'000;

/// Below 100 no agent could keep its mean share; above 1000 the rule would
/// never hand a flow on.
inline constexpr std::int64_t MinSharePercent = 100;
inline constexpr std::int64_t MaxSharePercent = 1000;

inline constexpr std::int64_t MaxColdStartSeconds = 3600;

/// A shorter bound would close flows for one lost keepalive.
inline constexpr std::int64_t MinSilentFlowSeconds = 5;
inline constexpr std::int64_t MaxSilentFlowSeconds = 86'400;

inline constexpr std::int64_t MaxCount = 0xffffffff;

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_RESOURCE_LIMITS_H
