#include "marjoramrail/resource.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

static const std::string Ledger = R"({
  // Sessions with customs brokers.
  "number": 1, "address": "10.77.0.1:443", "protocol": "http2",
  "zones": ["oostende", "brugge"], "slots_per_target": 4})";

static std::string reasonOf(const std::string &Json,
                            const std::string &Name = "ledger") {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_CHECK(parseService(Json, Name));
    return {};
  });
  return Failure ? toText(*Failure) : "";
}

static std::string withReplaced(const std::string &From,
                                const std::string &To) {
  std::string Text = Ledger;
  return Text.replace(Text.find(From), From.size(), To);
}

TEST_CASE("parseService reads an object with comments and fills in defaults") {
  const auto Spec = parseService(Ledger, "ledger");

  REQUIRE(Spec);
  CHECK(Spec->Name == "ledger");
  CHECK(Spec->Number == service_id(1));
  CHECK(toText(Spec->Address) == "10.77.0.1:443");
  CHECK(Spec->Zones.size() == 2);
  CHECK(Spec->MaxSharePercent == 105);
}

TEST_CASE("a service is unchanged after conversion to JSON and back") {
  const auto Spec = parseService(Ledger, "ledger");
  REQUIRE(Spec);

  const auto Back = parseService(toJson(*Spec), "ledger");

  REQUIRE(Back);
  CHECK(*Back == *Spec);
}

TEST_CASE("parseService reports object, field, reason and range") {
  CHECK(reasonOf(withReplaced("\"number\": 1", "\"number\": 0")) ==
        "validate-object service/ledger: field number: 0 is not a whole number "
        "from 1 to 4294967295");
  CHECK(reasonOf(
            withReplaced("\"protocol\": \"http2\"", "\"protocol\": \"udp\"")) ==
        "validate-object service/ledger: field protocol: expected \"tcp\" or "
        "\"http2\"");
  CHECK(reasonOf(withReplaced(":443", ":0")).find("a port from 1 to 65535") !=
        std::string::npos);
  CHECK(reasonOf(withReplaced("\"brugge\"", "\"oostende\""))
            .find("oostende twice") != std::string::npos);
  CHECK(reasonOf(Ledger, "Ledger!").find("field name") != std::string::npos);
  CHECK(reasonOf("{\n\n\"number\": }").find("line 3") != std::string::npos);
}

TEST_CASE("parseService rejects a misspelt field") {
  // An operator writes "slot_per_target". If it were ignored, the default would
  // stay in effect on VMs that no one logs in to.
  CHECK(reasonOf(withReplaced("slots_per_target", "slot_per_target")) ==
        "validate-object service/ledger: field slot_per_target: is not known "
        "here");
}

TEST_CASE("parseService rejects a number that is too large for JSON") {
  // For 1e999 the JSON library throws another exception than for a syntax
  // error. When it was not caught, it ended the process that read the object.
  CHECK(reasonOf(withReplaced("\"number\": 1", "\"number\": 1e999"))
            .find("too large") != std::string::npos);
}

TEST_CASE("checkAgainst rejects a number or address of another service") {
  // With the same number for two services, an agent of archive would accept
  // packets for ledger.
  const auto Spec = parseService(Ledger, "ledger");
  REQUIRE(Spec);
  service_spec SameNumber = *Spec;
  SameNumber.Name = "archive";
  SameNumber.Address.Port = 444;
  service_spec SameAddress = *Spec;
  SameAddress.Name = "archive";
  SameAddress.Number = service_id(2);
  service_spec Renumbered = *Spec;
  Renumbered.Number = service_id(3);

  CHECK(failureOf([&] { return checkAgainst(SameNumber, {*Spec}); }));
  CHECK(failureOf([&] { return checkAgainst(SameAddress, {*Spec}); }));
  CHECK(failureOf([&] { return checkAgainst(Renumbered, {*Spec}); }));
  CHECK(!failureOf([&] { return checkAgainst(*Spec, {*Spec}); }));
}

TEST_CASE("zones, drains and statuses are unchanged after conversion to JSON "
          "and back") {
  const zone_spec Zone{"brugge", zone_id(2), "be-west"};
  const drain_spec Drain{"ledger-3", "new kernel"};
  const drain_status Progress{"ledger-3", 12, 1, false, 1700000000000};
  service_status Status;
  Status.Name = "ledger";
  Status.AppliedOn = 2;
  Status.Nodes = 3;
  Status.Lagging = {"balancer-3"};
  Status.Conditions = {{"ready", true, "7 targets", 1700000000000}};

  CHECK(parseZone(toJson(Zone), "brugge").value() == Zone);
  CHECK(parseDrain(toJson(Drain), "ledger-3").value() == Drain);
  CHECK(parseDrainStatus(toJson(Progress), "ledger-3").value() == Progress);
  CHECK(parseServiceStatus(toJson(Status), "ledger").value() == Status);
}
