//===- bench_children.h - Processes of the agent benchmark ------*- C++ -*-===//
///
/// \file
/// Starts and measures the agent and its target as child processes.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_AGENT_BENCH_CHILDREN_H
#define MARJORAMRAIL_BENCH_AGENT_BENCH_CHILDREN_H

#include "agent_settings.h"
#include "marjoramrail/fleet.h"

#include <sys/types.h>

namespace marjoramrail::bench {

/// Loopback addresses and ports that only this benchmark uses.
inline constexpr std::uint32_t Loopback = 0x7f620001;
inline constexpr endpoint AgentRouted{Loopback, 4200};
inline constexpr endpoint AgentRelay{Loopback, 4201};
inline constexpr endpoint AgentStatus{Loopback, 4202};
inline constexpr endpoint TargetListen{Loopback, 4203};
inline constexpr endpoint FabricReturn{Loopback, 4204};
inline constexpr endpoint ServiceAddress{0x0a620001, 443};

/// Starts a target that echoes what it receives. On "send N" it sends N bytes
/// instead.
pid_t startTarget();

/// Starts an agent whose view contains only itself.
pid_t startAgent(service_protocol Protocol);

void stop(pid_t Child);

/// CPU time used so far.
duration cpuOf(pid_t Child);

/// Resident memory in bytes.
std::size_t memoryOf(pid_t Child);

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_AGENT_BENCH_CHILDREN_H
