#include "marjoramrail/resource.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

static const std::string TwoServices = R"([
  // The two services of the site.
  {"kind": "service", "name": "ledger", "spec": {
    "number": 1, "address": "10.77.0.1:443", "zones": ["brugge"]}},
  {"kind": "service", "name": "archive", "spec": {
    "number": 2, "address": "10.77.0.2:443", "zones": ["brugge"]}}])";

static std::string reasonOf(const std::string &Text) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_CHECK(parseObjectFile(Text, "site.json"));
    return {};
  });
  return Failure ? toText(*Failure) : "";
}

static std::string withReplaced(const std::string &From,
                                const std::string &To) {
  std::string Text = TwoServices;
  return Text.replace(Text.find(From), From.size(), To);
}

TEST_CASE("parseObjectFile reads a list of objects with comments") {
  const auto Objects = parseObjectFile(TwoServices, "site.json");

  REQUIRE(Objects);
  REQUIRE(Objects->size() == 2);
  CHECK((*Objects)[1].Name == "archive");
}

TEST_CASE("parseObjectFile reads a single object") {
  const auto Objects = parseObjectFile(
      R"({"kind": "drain", "name": "ledger-3", "spec": {}})", "drain.json");

  REQUIRE(Objects);
  CHECK(Objects->at(0).Kind == resource_kind::Drain);
}

TEST_CASE("parseObjectFile reports every error with file, object and field") {
  std::string Text = withReplaced("\"number\": 1", "\"number\": 0");
  Text.replace(Text.find("10.77.0.2:443"), 13, "10.77.0.2");

  const std::string Reason = reasonOf(Text);

  CHECK(Reason.find("validate-object site.json: ") == 0);
  CHECK(Reason.find("service/ledger: field number: 0 is not a whole number "
                    "from 1") != std::string::npos);
  CHECK(Reason.find("service/archive: field address") != std::string::npos);
}

TEST_CASE("parseObjectFile checks the objects of a file against each other") {
  CHECK(reasonOf(withReplaced("\"number\": 2", "\"number\": 1"))
            .find("is that of service ledger") != std::string::npos);
  CHECK(reasonOf(withReplaced("\"archive\"", "\"ledger\""))
            .find("is defined twice") != std::string::npos);
}

TEST_CASE(
    "parseObjectFile reports the line of a syntax error and invalid objects") {
  CHECK(reasonOf("[\n{,").find("site.json: line 2") != std::string::npos);
  CHECK(reasonOf("[7]").find("object 1: expected") != std::string::npos);
  CHECK(reasonOf("[]").find("contains no object") != std::string::npos);
  CHECK(reasonOf(withReplaced("\"kind\": \"service\"", "\"kind\": \"servis\""))
            .find("object 1: field kind") != std::string::npos);
  CHECK(reasonOf(withReplaced("\"spec\"", "\"specs\"")).find("field specs") !=
        std::string::npos);
}
