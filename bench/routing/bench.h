//===- bench.h - Routing benchmarks -----------------------------*- C++ -*-===//
///
/// \file
/// Benchmarks of routing. Each function prints its lines as `bench: NAME VALUE
/// UNIT`.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_ROUTING_BENCH_H
#define MARJORAMRAIL_BENCH_ROUTING_BENCH_H

#include "marjoramrail/routing.h"

#include <string>

namespace marjoramrail::bench {

void print(const std::string &Name, double Value, const std::string &Unit);

/// A view of \p Hosts ready hosts with \p Generations generations. Each older
/// generation lacks one more host of the newest.
service_view viewOf(std::uint32_t Hosts, std::uint32_t Generations);

/// A distinct caller's flow for each number.
flow_key flowOf(std::uint32_t Number);

/// Measures the time of a routing decision and how it grows with targets and
/// generations.
void measureRouteCost();

/// Measures time and memory of Maglev tables for the same work.
void measureMaglev();

/// Measures the flows moved beyond the possible minimum when one of 100 hosts
/// joins or leaves.
void measureRemap();

/// Measures the memory of the routers of 46,000 services with 130,000 hosts.
void measureViewBytes();

/// Measures max/mean of flows per host at the users' sizes, compared with a
/// plain hash.
void measureImbalance();

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_ROUTING_BENCH_H
