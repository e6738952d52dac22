//===- bench.h - Figures of the routing bench -------------------*- C++ -*-===//
///
/// \file
/// Each function prints its lines `bench: NAME VALUE UNIT`.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_ROUTING_BENCH_H
#define MARJORAMRAIL_BENCH_ROUTING_BENCH_H

#include "marjoramrail/routing.h"

#include <string>

namespace marjoramrail::bench {

void print(const std::string &Name, double Value, const std::string &Unit);

/// A view of \p Hosts ready hosts with \p Generations generations; each older
/// one lacks one host more of the newest.
service_view viewOf(std::uint32_t Hosts, std::uint32_t Generations);

/// A caller's flow, one for each number.
flow_key flowOf(std::uint32_t Number);

/// Time of a decision, and how it grows with targets and generations.
void measureRouteCost();

/// Time and memory of Maglev tables for the same work.
void measureMaglev();

/// Flows moved over the least possible when one of 100 hosts comes or goes.
void measureRemap();

/// Bytes of the routers of 46,000 services with 130,000 hosts.
void measureViewBytes();

/// max/mean of flows per host at the users' sizes, beside a plain hash.
void measureImbalance();

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_ROUTING_BENCH_H
