#include "marjoramrail/runtime.h"

#include <ctime>

namespace marjoramrail {

static duration readClock(clockid_t Clock) {
  timespec Time{};
  clock_gettime(Clock, &Time);
  return std::chrono::duration_cast<duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

/// Whether the processor time of this kind is measured. Reading the clock is a
/// system call, which is too expensive for each batch of packets.
static bool countsProcessor(callback_kind What) {
  return What != callback_kind::CallerPackets &&
         What != callback_kind::PeerPackets &&
         What != callback_kind::TargetPackets;
}

callback_timer::callback_timer(const callback_hook &Hook, callback_kind What,
                               std::size_t Items)
    : Hook(Hook) {
  if (!Hook)
    return;
  Done.What = What;
  Done.Items = Items;
  StartedAt = readClock(CLOCK_MONOTONIC);
  if (countsProcessor(What))
    ProcessorBefore = readClock(CLOCK_THREAD_CPUTIME_ID);
}

callback_timer::~callback_timer() {
  if (!Hook)
    return;
  Done.Took = readClock(CLOCK_MONOTONIC) - StartedAt;
  if (countsProcessor(Done.What))
    Done.Processor = readClock(CLOCK_THREAD_CPUTIME_ID) - ProcessorBefore;
  Hook(Done);
}

} // namespace marjoramrail
