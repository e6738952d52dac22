#include "marjoramrail/timeline.h"
#include "mutated_json.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

TEST_CASE("mutated event lines are decoded or rejected with a reason") {
  // A process is killed while it writes a line, or two processes write to one
  // log.
  mutated_json Mutations(
      R"({"clock":7,"wall_ms":1700000000000,"process":"balancer-1",)"
      R"("event":"view-taken","service":"ledger","why":"view 7"})",
      1);
  for (int I = 0; I < 4000; ++I) {
    const std::string Text = Mutations.next();
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_CHECK(parseJsonLine(Text));
      return {};
    });
    if (Failure)
      CHECK(!Failure->Reason.empty());
  }
}
