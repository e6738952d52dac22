//===- wall_clock.h - Milliseconds since 1970 -------------------*- C++ -*-===//
///
/// \file
/// The wall clock for timestamps of events and for incarnation numbers. No
/// decision depends on it.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_WALL_CLOCK_H
#define MARJORAMRAIL_DAEMONS_WALL_CLOCK_H

#include <chrono>
#include <cstdint>

namespace marjoramrail::daemons {

inline std::int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_WALL_CLOCK_H
