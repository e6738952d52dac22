//===- measure.h - Memory, processor time and output ------------*- C++ -*-===//
///
/// \file
/// What both parts of the bench use.
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

/// Bytes that the allocator has given out and not got back.
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
