//===- target_size.h - State at the target size -----------------*- C++ -*-===//
///
/// \file
/// Fills one node's data structures as they are at the target size and prints
/// their memory and the time of the operations that grow with them.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BENCH_FLEET_TARGET_SIZE_H
#define MARJORAMRAIL_BENCH_FLEET_TARGET_SIZE_H

namespace marjoramrail::bench {

void measureTargetSize();

} // namespace marjoramrail::bench

#endif // MARJORAMRAIL_BENCH_FLEET_TARGET_SIZE_H
