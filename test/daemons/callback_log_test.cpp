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

TEST_CASE_FIXTURE(callback_fixture, "a long callback is logged") {
  Callbacks.take(
      {callback_kind::DecodeRoutes, 4200, milliseconds(300), milliseconds(12)});

  CHECK(logged("\"long-turn\""));
  CHECK(logged("decode_routes of 4200, processor 12000 us"));
  CHECK(logged("\"took_ms\":300"));
}

TEST_CASE_FIXTURE(callback_fixture,
                  "a short callback is counted but not logged") {
  Callbacks.take({callback_kind::CallerPackets, 3, milliseconds(1), {}});

  CHECK(Log.recent().empty());
  CHECK(
      Metrics.page().find("marjoramrail_turn_seconds_caller_packets_count 1") !=
      std::string::npos);
}

TEST_CASE_FIXTURE(callback_fixture, "an aborted transfer is logged") {
  // A large answer arrives only in part and is requested repeatedly. If this
  // were not logged, a balancer that never gets the newest configuration would
  // look healthy.
  Callbacks.take(
      callOf(966580, milliseconds(2400), platform_outcome::Unavailable));

  CHECK(logged("\"call-ended\""));
  CHECK(logged("watch config : unavailable"));
  CHECK(logged("966580"));
}

TEST_CASE_FIXTURE(callback_fixture, "an ordinary call is not logged") {
  Callbacks.take(callOf(300, milliseconds(4), platform_outcome::Ok));

  CHECK(Log.recent().empty());
}
