#include "marjoramrail/resource.h"
#include "mutated_json.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

// Objects come from files that are edited by hand, and from a platform to which
// other programs write too. A text that crashes the parser would stop all
// balancers at once, since all of them read the same object.

static constexpr int Texts = 4000;

/// Passes mutations of \p Original to a parser. Each must be accepted, or
/// rejected with the object's name.
template <typename Parser>
static void check(const std::string &Original, Parser Parse) {
  mutated_json Mutations(Original, 1);
  int Taken = 0;
  for (int I = 0; I < Texts; ++I) {
    const std::string Text = Mutations.next();
    const auto Failure = failureOf([&]() -> result<void> {
      auto Parsed = Parse(Text);
      if (!Parsed)
        return Parsed.error();
      return {};
    });
    Taken += !Failure;
    if (!Failure)
      continue;
    CHECK(Failure->Step == step::ValidateObject);
    CHECK(!Failure->Peer.empty());
    CHECK(!Failure->Reason.empty());
  }
  // If most mutations were valid, the test would prove nothing.
  CHECK(Taken < Texts / 2);
}

TEST_CASE("mutated services are accepted or rejected with their name") {
  check(R"({"number":1,"address":"10.77.0.1:443","protocol":"http2",
            "zones":["oostende","brugge"],"slots_per_target":4,
            "max_share_percent":105,"cold_start_seconds":10})",
        [](const std::string &Text) { return parseService(Text, "ledger"); });
}

TEST_CASE(
    "mutated zones, drains and statuses are accepted or rejected by name") {
  check(R"({"number":1,"region":"be-west"})",
        [](const std::string &Text) { return parseZone(Text, "brugge"); });
  check(R"({"reason":"new kernel"})",
        [](const std::string &Text) { return parseDrain(Text, "ledger-3"); });
  check(R"({"host":"ledger-3","flows":3,"requests":1,"safe_to_stop":false})",
        [](const std::string &Text) {
          return parseDrainStatus(Text, "ledger-3");
        });
  check(R"({"accepted_version":4,"view_version":5,"in_force_on":2,"nodes":3,
            "lagging":["balancer-3"],"targets_ready":6,"targets_draining":1,
            "conditions":[{"type":"Serving","holds":true,"since_ms":1}]})",
        [](const std::string &Text) {
          return parseServiceStatus(Text, "ledger");
        });
}

TEST_CASE("mutated object files are accepted or rejected with their name") {
  check(R"([{"kind":"zone","name":"brugge",
             "spec":{"number":1,"region":"be-west"}},
            {"kind":"service","name":"ledger",
             "spec":{"number":1,"address":"10.77.0.1:443",
                     "zones":["brugge"]}}])",
        [](const std::string &Text) { return parseObjectFile(Text, "file"); });
}

TEST_CASE("a megabyte of brackets is rejected without exhausting the stack") {
  // The JSON library prints values recursively, and an error message contains
  // the invalid value. One such object in the platform would end every process
  // that reads it, again after each restart.
  const std::string Deep = std::string(500000, '[') + std::string(500000, ']');

  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_CHECK(parseService("{\"address\":" + Deep + "}", "ledger"));
    return {};
  });

  REQUIRE(Failure);
  CHECK(Failure->Reason == "nested deeper than 32");
}
