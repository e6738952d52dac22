#include "directory/route_record.h"
#include "directory/site_store.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE("a record gains the services of a new configuration") {
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["ledger"]})");
  const auto Body = Record.update(tableOf(2, {"archive"}), instant());

  REQUIRE(Body);
  route_record Written(60s);
  Written.load(*Body);
  CHECK(Written.holds(FirstAddress, "ledger"));
  CHECK(Written.holds(FirstAddress, "archive"));
}

TEST_CASE("a complete record needs no write") {
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["ledger"]})");

  CHECK_FALSE(Record.update(tableOf(2, {"ledger"}), instant()));
}

TEST_CASE("a previous service stays on record for the lifetime of a flow") {
  // A route moved; earlier flows exist at the previous service for up to a
  // minute. If the service were dropped from the record earlier, a balancer
  // that starts then would not look for owners there, and a broker's open
  // session would be lost.
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["archive", "ledger"]})");
  const route_table Moved = tableOf(2, {"archive"});

  CHECK_FALSE(Record.update(Moved, instant(1s)));
  CHECK_FALSE(Record.update(Moved, instant(60s)));
  const auto Body = Record.update(Moved, instant(72s));
  REQUIRE(Body);
  CHECK(Body->find("ledger") == std::string::npos);
}

TEST_CASE("a service that is configured again is not removed") {
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["archive", "ledger"]})");
  Record.update(tableOf(2, {"archive"}), instant(1s));
  Record.update(tableOf(3, {"archive", "ledger"}), instant(30s));

  CHECK_FALSE(Record.update(tableOf(4, {"archive"}), instant(72s)));
}

TEST_CASE("a malformed record is rewritten") {
  route_record Record(60s);
  for (const char *Broken : {"", "[]", "7", R"({"a": 1})", R"({"a": [1]})"}) {
    Record.load(Broken);
    CHECK(Record.servicesOf(FirstAddress).empty());
    CHECK(Record.update(tableOf(1, {"ledger"}), instant()).has_value());
  }
}
