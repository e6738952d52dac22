#include "marjoramrail/runtime.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <set>
#include <sstream>
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

TEST_CASE("lines of processes that share a pipe are not mixed") {
  // The reader is slower than the writers, and the pipe is nearly full most of
  // the time. Guards against lines that begin in one place of the record and go
  // on behind lines of other processes.
  int Pipe[2];
  REQUIRE(pipe(Pipe) == 0);
  fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
  event_loop Loop;
  std::string Read;
  const auto ReadSome = [&](std::size_t Bytes) {
    std::string Part(Bytes, ' ');
    const ssize_t Got = read(Pipe[0], Part.data(), Part.size());
    Read.append(Part, 0, Got > 0 ? static_cast<std::size_t>(Got) : 0);
    return Got > 0;
  };
  std::set<std::string> Lines;
  {
    line_writer First(Loop, Pipe[1]);
    line_writer Second(Loop, Pipe[1]);
    for (int Round = 0; Round < 400; ++Round) {
      for (line_writer *Writer : {&First, &Second}) {
        const std::string Line =
            std::to_string(Round) + (Writer == &First ? " a " : " b ") +
            std::string(static_cast<std::size_t>(300 + Round % 500), 'x');
        Lines.insert(Line);
        Writer->write(Line);
        Writer->flush();
      }
      ReadSome(900);
    }
    while (ReadSome(4096)) {
      First.flush();
      Second.flush();
    }
  }
  std::istringstream Record(Read);
  std::size_t Whole = 0;
  for (std::string Line; std::getline(Record, Line); ++Whole)
    REQUIRE(Lines.contains(Line));
  CHECK(Whole == Lines.size());
  close(Pipe[0]);
  close(Pipe[1]);
}
