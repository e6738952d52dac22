#include "marjoramrail/agent_messages.h"

#include <array>
#include <doctest/doctest.h>

using namespace marjoramrail;

static flow_policy sample() {
  return {service_id(17), 1ULL << 40, true, 12, 2500};
}

TEST_CASE("a flow policy is decoded as it was encoded") {
  std::array<std::uint8_t, FlowPolicyBytes> Buffer{};
  REQUIRE(encodeFlowPolicy(sample(), Buffer) == FlowPolicyBytes);

  CHECK(decodeFlowPolicy(Buffer) == sample());
}

TEST_CASE("a flow policy of another length is refused") {
  std::array<std::uint8_t, FlowPolicyBytes> Buffer{};
  encodeFlowPolicy(sample(), Buffer);

  CHECK_FALSE(decodeFlowPolicy(bytes_view(Buffer).first(FlowPolicyBytes - 1)));
  CHECK(encodeFlowPolicy(sample(), std::span(Buffer).first(8)) == 0);
}

TEST_CASE("a policy differs from a report that states something else") {
  load_report Report;
  Report.Evacuated = true;
  Report.WarmupRate = 2500;
  CHECK_FALSE(differsFrom(sample(), Report));

  Report.Evacuated = false;
  CHECK(differsFrom(sample(), Report));

  Report.Evacuated = true;
  Report.WarmupRate = UnknownWarmupRate;
  CHECK(differsFrom(sample(), Report));
}

TEST_CASE("a balancer that knows nothing has no difference to report") {
  load_report Report;
  Report.Evacuated = true;
  Report.WarmupRate = 2500;

  CHECK_FALSE(differsFrom(flow_policy(), Report));
}
