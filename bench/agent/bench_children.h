//===- bench_children.h - The agent and its target, to measure --*- C++ -*-===//

#ifndef MARJORAMRAIL_BENCH_AGENT_BENCH_CHILDREN_H
#define MARJORAMRAIL_BENCH_AGENT_BENCH_CHILDREN_H

#include "agent_settings.h"
#include "marjoramrail/fleet.h"

#include <sys/types.h>

namespace marjoramrail::bench {

/// Loopback addresses and ports of this bench alone.
inline constexpr std::uint32_t Loopback = 0x7f620001;
inline constexpr endpoint AgentRouted{Loopback, 4200};
inline constexpr endpoint AgentRelay{Loopback, 4201};
inline constexpr endpoint AgentStatus{Loopback, 4202};
inline constexpr endpoint TargetListen{Loopback, 4203};
inline constexpr endpoint FabricReturn{Loopback, 4204};
inline constexpr endpoint ServiceAddress{0x0a620001, 443};

/// A target sends back what it receives; asked for bytes ("send N\n"), it sends
/// N of them.
pid_t startTarget();

/// An agent with a view of itself alone.
pid_t startAgent(service_protocol Protocol);

void stop(pid_t Child);

/// Processor time used so far.
duration cpuOf(pid_t Child);

/// Resident bytes.
std::size_t memoryOf(pid_t Child);

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_AGENT_BENCH_CHILDREN_H
