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

namespace {

std::shared_ptr<const route_services> servicesOf(const route_table &Table) {
  return std::make_shared<const route_services>(Table);
}

} // namespace

TEST_CASE("the services of a replaced configuration are added too") {
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["ledger"]})");
  Record.noteConfigured(servicesOf(tableOf(1, {"ledger"})), instant(1s));
  Record.noteConfigured(servicesOf(tableOf(2, {"archive"})), instant(2s));
  Record.noteConfigured(servicesOf(tableOf(3, {"ledger"})), instant(2100ms));

  CHECK(Record.missingSince() == instant(2s));
  const auto Body = Record.update(tableOf(3, {"ledger"}), instant(3s));
  REQUIRE(Body);
  Record.load(*Body);
  CHECK(Record.holds(FirstAddress, "archive"));
  CHECK_FALSE(Record.missingSince());
}

TEST_CASE("a missing service is among the owners and not on record") {
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["ledger"]})");
  Record.noteConfigured(servicesOf(tableOf(2, {"archive"})), instant(1s));

  const route_service Archive{FirstAddress, serviceNumber("archive")};
  CHECK(Record.owners().contains(Archive));
  CHECK(Record.owners().contains({FirstAddress, serviceNumber("ledger")}));
  CHECK(Record.owners().nameOf(Archive.Service) == "archive");
  CHECK_FALSE(Record.holds(Archive));
}

TEST_CASE("the time on record begins anew if a service is used between two "
          "comparisons") {
  // Guards against a service that is removed although a version that was soon
  // replaced has opened newer flows at it.
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["archive", "ledger"]})");
  const route_table Moved = tableOf(2, {"archive"});
  Record.noteConfigured(servicesOf(Moved), instant(1s));
  CHECK_FALSE(Record.update(Moved, instant(1s)));
  Record.noteConfigured(servicesOf(tableOf(3, {"ledger"})), instant(50s));
  Record.noteConfigured(servicesOf(tableOf(4, {"archive"})), instant(50200ms));

  CHECK_FALSE(Record.update(tableOf(4, {"archive"}), instant(100s)));
  CHECK(Record.update(tableOf(4, {"archive"}), instant(121s)));
}

TEST_CASE("a service that another balancer has removed too early is put back") {
  // The other one has not heard of the version that used the service last.
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["archive", "ledger"]})");
  Record.noteConfigured(servicesOf(tableOf(1, {"ledger"})), instant(1s));
  Record.noteConfigured(servicesOf(tableOf(2, {"archive"})), instant(2s));
  Record.load(R"({"10.0.0.1:443": ["archive"]})");
  const auto Body = Record.update(tableOf(2, {"archive"}), instant(40s));

  REQUIRE(Body);
  CHECK(Body->find("ledger") != std::string::npos);
}

TEST_CASE("a service whose time is over is not put back") {
  // Guards against balancers that remove and add a service in turns for ever,
  // since each begins to count at another moment.
  route_record Record(60s);
  Record.load(R"({"10.0.0.1:443": ["archive", "ledger"]})");
  Record.noteConfigured(servicesOf(tableOf(1, {"ledger"})), instant(1s));
  Record.noteConfigured(servicesOf(tableOf(2, {"archive"})), instant(2s));
  Record.load(R"({"10.0.0.1:443": ["archive"]})");

  CHECK_FALSE(Record.update(tableOf(2, {"archive"}), instant(63s)));
}
