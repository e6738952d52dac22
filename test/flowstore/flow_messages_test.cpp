#include "flowstore/flow_zone.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;

TEST_CASE_FIXTURE(checkpoint_fixture, "an invalid checkpoint is rejected") {
  const object_key Key = checkpointKey("brugge");
  for (const char *Body :
       {"", "null", "{}", "[]", R"({"targets":[]})", R"({"targets":{"a":1}})",
        R"({"targets":{"a":{"run":1,"born":1,"flows":{}}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":[]}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":{"x":""}}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":{"1.2.3.4:5":1}}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":{"1.2.3.4:5":"0"}}}})",
        R"({"targets":{"a":{"run":"r","born":1,"flows":
           {"1.2.3.4:5":"0a0000010fffx0000007"}}}})"}) {
    CAPTURE(Body);
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_CHECK(decodeCheckpoint(Key, Body));
      return {};
    });
    REQUIRE(Failure);
    CHECK(Failure->Step == step::ValidateObject);
    CHECK(Failure->Peer == Key.Name);
  }
}

TEST_CASE("a checkpoint decodes to what was encoded") {
  zone_checkpoint Zone;
  Zone["target.a"] = {{"r", -5}, manyFlows(3), 77};
  Zone["target.b"] = {{"s", 1}, {}, UINT64_MAX};
  const auto Read =
      decodeCheckpoint(checkpointKey("brugge"), encodeCheckpoint(Zone));

  REQUIRE(Read);
  CHECK(*Read == Zone);
}

TEST_CASE("a flow report decodes to what was encoded") {
  const flow_report Report{"target.a", {"r", -5}, 77, 1, 2, manyFlows(64)};
  const auto Bytes = encodeFlowReport(Report);
  const auto Read = decodeFlowReport(Bytes);

  CHECK(Bytes.size() <= 1300);
  REQUIRE(Read);
  CHECK(*Read == Report);
}

TEST_CASE("a truncated or forged flow report is rejected") {
  const auto Complete =
      encodeFlowReport({"target.a", {"r", 5}, 77, 0, 1, manyFlows(2)});
  const std::size_t FlowBytes = 16;
  for (std::size_t Size = 0; Size < Complete.size(); ++Size) {
    CAPTURE(Size);
    const bool EndsAtFlow = Size >= Complete.size() - 2 * FlowBytes &&
                            (Complete.size() - Size) % FlowBytes == 0;
    CHECK(decodeFlowReport({Complete.data(), Size}).has_value() == EndsAtFlow);
  }
  auto Forged = Complete;
  constexpr std::size_t PartsAt = 4;
  Forged[PartsAt] = 255;
  CHECK(!decodeFlowReport(Forged));
  CHECK(!decodeFlowReportRequest(Complete));
}
