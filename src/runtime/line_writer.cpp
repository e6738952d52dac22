#include "marjoramrail/runtime.h"

#include <fcntl.h>
#include <unistd.h>

namespace marjoramrail {

/// Lines are buffered for this time, so that a busy process makes few system
/// calls.
static constexpr duration FlushDelay = std::chrono::milliseconds(50);

line_writer::line_writer(event_loop &Loop, int Descriptor)
    : Loop(Loop), Descriptor(Descriptor) {
  const int Flags = fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

line_writer::~line_writer() {
  *Alive = false;
  flush();
}

void line_writer::write(std::string_view Line) {
  if (Buffer.size() + Line.size() + 1 > BufferBytes) {
    ++DroppedLines;
    return;
  }
  Buffer += Line;
  Buffer += '\n';
  if (std::exchange(FlushScheduled, true))
    return;
  Loop.timers().after(FlushDelay, [this, Alive = Alive] {
    if (!*Alive)
      return;
    FlushScheduled = false;
    flush();
  });
}

/// If the descriptor accepts no bytes, they stay in the buffer until the next
/// flush.
void line_writer::flush() {
  if (Buffer.empty())
    return;
  const ssize_t Written = ::write(Descriptor, Buffer.data(), Buffer.size());
  if (Written > 0)
    Buffer.erase(0, static_cast<std::size_t>(Written));
}

} // namespace marjoramrail
