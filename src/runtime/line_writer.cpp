#include "marjoramrail/runtime.h"

#include <climits>
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

/// The end of the last line that begins at \p From and ends within PIPE_BUF
/// bytes, or of the first line if that is longer.
static std::size_t endOfLines(std::string_view Text, std::size_t From) {
  const std::size_t Last = Text.rfind('\n', From + PIPE_BUF - 1);
  if (Last != std::string_view::npos && Last >= From)
    return Last + 1;
  const std::size_t First = Text.find('\n', From);
  return First == std::string_view::npos ? Text.size() : First + 1;
}

/// A pipe that is nearly full accepts a part of a larger write, and lines of
/// other processes on the same pipe would then stand within a line. It accepts
/// writes of up to PIPE_BUF bytes as a whole or not at all. Bytes that are not
/// accepted stay in the buffer until the next flush.
void line_writer::flush() {
  std::size_t Done = 0;
  while (Done < Buffer.size()) {
    const std::size_t Size = endOfLines(Buffer, Done) - Done;
    const ssize_t Written = ::write(Descriptor, Buffer.data() + Done, Size);
    if (Written > 0)
      Done += static_cast<std::size_t>(Written);
    if (Written != static_cast<ssize_t>(Size))
      break;
  }
  Buffer.erase(0, Done);
}

} // namespace marjoramrail
