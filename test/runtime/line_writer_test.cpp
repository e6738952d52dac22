#include "marjoramrail/runtime.h"

#include <doctest/doctest.h>
#include <unistd.h>

using namespace marjoramrail;
using namespace std::chrono_literals;

TEST_CASE("line_writer neither blocks nor grows if its reader stops") {
  // The process that reads the log hangs, and the pipe fills up. A process that
  // blocked on writing would stop forwarding packets.
  int Pipe[2];
  REQUIRE(pipe(Pipe) == 0);
  event_loop Loop;
  const auto Start = std::chrono::steady_clock::now();
  {
    line_writer Writer(Loop, Pipe[1]);
    const std::string Line(200, 'x');
    for (int I = 0; I < 100'000; ++I) {
      Writer.write(Line);
      if (I % 100 == 0)
        Writer.flush();
    }
    CHECK(Writer.droppedLines() > 90'000);
  }
  CHECK(std::chrono::steady_clock::now() - Start < 5s);
  close(Pipe[0]);
  close(Pipe[1]);
}

TEST_CASE("line_writer writes complete lines in order") {
  int Pipe[2];
  REQUIRE(pipe(Pipe) == 0);
  event_loop Loop;
  {
    line_writer Writer(Loop, Pipe[1]);
    Writer.write("one");
    Writer.write("two");
  }
  char Text[16] = {};
  CHECK(read(Pipe[0], Text, sizeof(Text)) == 8);
  CHECK(std::string(Text, 8) == "one\ntwo\n");
  close(Pipe[0]);
  close(Pipe[1]);
}
