//===- level_bench.h - Orders of waiting requests ---------------*- C++ -*-===//
///
/// \file
/// Compares orders of waiting requests under overload, and measures the cost of
/// a request through a busy scheduler.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_WORK_LEVEL_BENCH_H
#define MARJORAMRAIL_BENCH_WORK_LEVEL_BENCH_H

#include <cstdint>

void benchLevels(std::uint64_t Seed);

#endif // MARJORAMRAIL_BENCH_WORK_LEVEL_BENCH_H
