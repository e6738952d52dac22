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

TEST_CASE("settings_reader takes JSON with comments") {
  auto Reader = read("{ // how long a drain may take\n \"drain\": 30 }");

  CHECK(Reader.number("drain", std::nullopt, 1, 60) == 30);
  CHECK(finish(Reader) == "");
}

TEST_CASE("settings_reader names file, field and range of a bad number") {
  auto Reader = read("{\"drain\": 90}");

  Reader.number("drain", std::nullopt, 1, 60);

  CHECK(finish(Reader) == "parse-settings test.json: field drain: 90 is not a "
                          "whole number from 1 to 60");
}

TEST_CASE("settings_reader refuses a field that nothing reads") {
  auto Reader = read("{\"drian\": 30}");

  Reader.number("drain", 30, 1, 60);

  CHECK(finish(Reader) ==
        "parse-settings test.json: field drian: is not known here");
}

TEST_CASE("settings_reader tells the faults of nested objects") {
  auto Reader = read("{\"peers\": [{\"at\": \"nowhere\"}]}");

  for (auto &Peer : Reader.objects("peers", true))
    Peer.address("at");

  CHECK(finish(Reader) == "parse-settings test.json: field peers[0].at: "
                          "\"nowhere\": expected ADDRESS:PORT");
}

TEST_CASE("settings_reader names the line where the text is not JSON") {
  const auto Failure = failureOf(
      [] { return settings_reader::fromText("{\n\"a\": ]}", "test.json"); });

  REQUIRE(Failure);
  CHECK(toText(*Failure) == "parse-settings test.json: line 2: not JSON");
}
