#include "sent_bytes.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::daemons;

TEST_CASE("bytes are counted by message and zone") {
  // Links between zones are charged for. When their traffic rises, an operator
  // must see which messages cross them.
  event_loop Loop;
  event_log Log{Loop, "balancer-1"};
  metrics Metrics;
  sent_bytes Sent{Loop, Log, Metrics};
  Sent.add(message_kind::Sync, message_range::OwnZone, 100);
  Sent.add(message_kind::Sync, message_range::OtherZone, 200);
  Sent.add(message_kind::Sync, message_range::OtherZone, 200);

  CHECK(Sent.text() == "sync own 1 128, sync other 2 456");
  CHECK(Metrics.page().find("message=\"sync\",zone=\"other\"} 456") !=
        std::string::npos);
}
