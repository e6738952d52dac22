#include "marjoramrail/runtime.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

static settings_reader read(std::string_view Text) {
  auto Reader = settings_reader::fromText(Text, "test.json");
  REQUIRE(Reader);
  return std::move(Reader.value());
}

static std::string finish(settings_reader &Reader) {
  const auto Failure = failureOf([&] { return Reader.finish(); });
  return Failure ? toText(*Failure) : "";
}

TEST_CASE("settings_reader accepts JSON with comments") {
  auto Reader = read("{ // how long a drain may take\n \"drain\": 30 }");

  CHECK(Reader.number("drain", std::nullopt, 1, 60) == 30);
  CHECK(finish(Reader) == "");
}

TEST_CASE(
    "settings_reader reports file, field and range of an invalid number") {
  auto Reader = read("{\"drain\": 90}");

  Reader.number("drain", std::nullopt, 1, 60);

  CHECK(finish(Reader) ==
        "parse-settings test.json: line 1: field drain: 90 is not a "
        "whole number from 1 to 60");
}

TEST_CASE("settings_reader rejects an unknown field") {
  auto Reader = read("{\"drian\": 30}");

  Reader.number("drain", 30, 1, 60);

  CHECK(finish(Reader) ==
        "parse-settings test.json: line 1: field drian: is not known here");
}

TEST_CASE("settings_reader reports errors in nested objects") {
  auto Reader = read("{\"peers\": [{\"at\": \"nowhere\"}]}");

  for (auto &Peer : Reader.objects("peers", true))
    Peer.address("at");

  CHECK(finish(Reader) ==
        "parse-settings test.json: line 1: field peers[0].at: "
        "\"nowhere\": expected ADDRESS:PORT");
}

TEST_CASE("settings_reader reports the line of a JSON syntax error") {
  const auto Failure = failureOf(
      [] { return settings_reader::fromText("{\n\"a\": ]}", "test.json"); });

  REQUIRE(Failure);
  CHECK(toText(*Failure) == "parse-settings test.json: line 2: not JSON");
}

TEST_CASE("settings_reader reports the line of an invalid field") {
  auto Reader = read("{\n  \"name\": \"a\", // said twice below\n  \"drain\": "
                     "90\n}");

  Reader.text("name");
  Reader.number("drain", std::nullopt, 1, 60);

  CHECK(finish(Reader) == "parse-settings test.json: line 3: field drain: 90 "
                          "is not a whole number from 1 to 60");
}

// An operator copies a block of settings and changes the first copy. A JSON
// parser uses the last one, so the change would have no effect and give no
// error.
TEST_CASE("settings_reader rejects a field that is given twice") {
  auto Reader = read("{\n\"drain\": 30,\n\"drain\": 40\n}");

  Reader.number("drain", std::nullopt, 1, 60);

  CHECK(finish(Reader) == "parse-settings test.json: line 3: field drain: was "
                          "given before, on line 2");
}

TEST_CASE("settings_reader rejects a nested field that is given twice") {
  auto Reader = read("{\"peers\": [{\"at\": \"1.2.3.4:5\"},\n{\"at\": "
                     "\"1.2.3.4:6\",\n\"at\": \"1.2.3.4:7\"}]}");

  for (auto &Peer : Reader.objects("peers", true))
    Peer.address("at");

  CHECK(finish(Reader) == "parse-settings test.json: line 3: field "
                          "peers[1].at: was given before, on line 2");
}

TEST_CASE("settings_reader accepts the same field name in different objects") {
  auto Reader = read("{\"peers\": [{\"at\": \"1.2.3.4:5\"}, {\"at\": "
                     "\"1.2.3.4:6\"}], \"at\": \"1.2.3.4:7\"}");

  for (auto &Peer : Reader.objects("peers", true))
    Peer.address("at");
  Reader.address("at");

  CHECK(finish(Reader) == "");
}
