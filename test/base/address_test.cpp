#include "marjoramrail/base.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

TEST_CASE("parseEndpoint reads what toText writes") {
  const endpoint Written{0x7f000001, 4000};

  const auto Read = parseEndpoint(toText(Written));

  REQUIRE(Read);
  CHECK(Read.value() == Written);
}

TEST_CASE("parseEndpoint reports the step and the rejected text") {
  const auto Failure = failureOf([] { return parseEndpoint("127.0.0.1:x"); });

  REQUIRE(Failure);
  CHECK(toText(*Failure) == "parse-address 127.0.0.1:x: expected a port from "
                            "0 to 65535");
}

TEST_CASE("hashOf returns the same value in every version of the program") {
  const flow_key Flow{{0x0a000001, 1234}, {0x0a0000ff, 443}};

  // Balancers of two versions run side by side during an upgrade. With
  // different hashes they would route the same flow to different targets.
  CHECK(hashOf(Flow, 7) == 0x12bcd80a016a5eaaULL);
  CHECK(hashOf(Flow, 7) != hashOf(Flow, 8));
}
