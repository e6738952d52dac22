//===- measure.h - Memory, CPU time and output ------------------*- C++ -*-===//
///
/// \file
/// Helpers shared by the parts of the fleet benchmark.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_FLEET_MEASURE_H
#define MARJORAMRAIL_BENCH_FLEET_MEASURE_H

#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>

namespace marjoramrail::bench {

inline double cpuSeconds() {
  timespec Spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Spent);
  return static_cast<double>(Spent.tv_sec) +
         static_cast<double>(Spent.tv_nsec) * 1e-9;
}

/// Returns the bytes that are allocated on the heap.
inline double heapBytes() {
  const struct mallinfo2 Heap = mallinfo2();
  return static_cast<double>(Heap.uordblks) + static_cast<double>(Heap.hblkhd);
}

inline void print(const std::string &Name, double Value, const char *Unit) {
  std::printf("bench: %s %.6g %s\n", Name.c_str(), Value, Unit);
  std::fflush(stdout);
}

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_FLEET_MEASURE_H
