#include "callback_log.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::daemons;
using std::chrono::milliseconds;

namespace {

struct callback_fixture {
  event_loop Loop;
  event_log Log{Loop, "balancer-1"};
  metrics Metrics;
  callback_log Callbacks{Log, Metrics};

  bool logged(const std::string &Text) const {
    return Log.recent().find(Text) != std::string::npos;
  }
};

platform_call_end callOf(std::size_t Bytes, duration Took,
                         platform_outcome Outcome) {
  platform_call_end End;
  End.Verb = platform_verb::Watch;
  End.Key.Kind = "config";
  End.Server = {0x0a000001, 80};
  End.Outcome = Outcome;
  End.Bytes = Bytes;
  End.Took = Took;
  return End;
}

} // namespace

TEST_CASE_FIXTURE(callback_fixture,
                  "a turn that holds packets up gets a line") {
  Callbacks.take(
      {turn_kind::DecodeRoutes, 4200, milliseconds(300), milliseconds(12)});

  CHECK(logged("\"long-turn\""));
  CHECK(logged("decode_routes of 4200, processor 12000 us"));
  CHECK(logged("\"took_ms\":300"));
}

TEST_CASE_FIXTURE(callback_fixture, "a short turn is only counted") {
  Callbacks.take({turn_kind::CallerPackets, 3, milliseconds(1), {}});

  CHECK(Log.recent().empty());
  CHECK(
      Metrics.page().find("marjoramrail_turn_seconds_caller_packets_count 1") !=
      std::string::npos);
}

TEST_CASE_FIXTURE(callback_fixture,
                  "a transfer that was given up gets a line") {
  // A large answer comes in part and is asked for anew, again and again.
  // Without a line a balancer that never gets the newest configuration looks
  // well.
  Callbacks.take(
      callOf(966580, milliseconds(2400), platform_outcome::Unavailable));

  CHECK(logged("\"call-ended\""));
  CHECK(logged("watch config : unavailable"));
  CHECK(logged("966580"));
}

TEST_CASE_FIXTURE(callback_fixture, "a usual call gets no line") {
  Callbacks.take(callOf(300, milliseconds(4), platform_outcome::Ok));

  CHECK(Log.recent().empty());
}
