#include "marjoramrail/work.h"

#include <doctest/doctest.h>
#include <optional>

using namespace marjoramrail;
using std::chrono::seconds;

namespace {

const instant Start(seconds(100));

flow_key flowOf(std::uint16_t Port) {
  return {{0x0a000001, Port}, {0x0a0000ff, 443}};
}

struct seen {
  int Pings = 0;
  std::optional<instant> ClosedAt;
};

/// Ticks four times a second for \p For; PINGs are answered if \p Answers.
seen watch(silent_flows &Flows, duration For, bool Answers) {
  seen Seen;
  for (instant Now = Start; Now < Start + For;
       Now += std::chrono::milliseconds(250))
    for (const silent_action &Action : Flows.tick(Now)) {
      if (Action.Step == silent_step::Close)
        Seen.ClosedAt = Now;
      else
        ++Seen.Pings;
      if (Answers)
        Flows.received(Action.Flow, Now);
    }
  return Seen;
}

} // namespace

TEST_CASE("silent_flows closes a flow without answers at its bound") {
  // A device between caller and agent has lost the flow's state. The caller
  // waits for alerts that cannot reach it.
  silent_flows Flows({.Bound = seconds(60)});
  Flows.opened(flowOf(1), Start);

  const seen Seen = watch(Flows, seconds(120), false);

  CHECK(Seen.Pings == 2);
  REQUIRE(Seen.ClosedAt);
  CHECK(*Seen.ClosedAt >= Start + seconds(60));
  CHECK(*Seen.ClosedAt <= Start + seconds(61));
}

TEST_CASE("silent_flows keeps a quiet flow that answers its probes") {
  silent_flows Flows({.Bound = seconds(60)});
  Flows.opened(flowOf(1), Start);

  const seen Seen = watch(Flows, seconds(3600), true);

  CHECK_FALSE(Seen.ClosedAt);
  CHECK(Seen.Pings <= 80);
}

TEST_CASE("silent_flows does not probe an active flow") {
  silent_flows Flows({.Bound = seconds(60)});
  Flows.opened(flowOf(1), Start);
  int Actions = 0;

  for (int Second = 0; Second < 600; ++Second) {
    Flows.received(flowOf(1), Start + seconds(Second));
    Actions += int(Flows.tick(Start + seconds(Second)).size());
  }

  CHECK(Actions == 0);
}

TEST_CASE("silent_flows probes 2,000 quiet flows within the control budget") {
  silent_flows Flows({.Bound = seconds(60), .BytesPerSecond = 2048});
  for (std::uint16_t Port = 0; Port < 2000; ++Port)
    Flows.opened(flowOf(Port), Start);

  const seen Seen = watch(Flows, seconds(600), true);

  CHECK_FALSE(Seen.ClosedAt);
  CHECK(Flows.probeBytes() <= 600 * 2048);
}
