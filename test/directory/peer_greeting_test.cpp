#include "directory/peer_greeting.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::internal;

static peer_greeting sample() {
  peer_greeting Greeting;
  Greeting.Self = {0x0a000001, 7000};
  Greeting.Zone = 17;
  Greeting.IsReply = true;
  Greeting.AskedUs = 123456789;
  Greeting.Routes = {5, 4, 1000};
  Greeting.Site = {9, 8, -1};
  Greeting.ChangesSince = 6;
  platform_object Object;
  Object.Key = {"site", "target.one"};
  Object.Version = 8;
  Object.Body = "{}";
  Greeting.Changes = {Object};
  return Greeting;
}

TEST_CASE("a greeting keeps what it says") {
  const auto Back = decodeGreeting(encodeGreeting(sample()));

  REQUIRE(Back);
  CHECK(Back->Self == sample().Self);
  CHECK(Back->Zone == 17);
  CHECK(Back->IsReply);
  CHECK(Back->AskedUs == 123456789);
  CHECK(Back->Routes.Version == 5);
  CHECK(Back->Site.AgeUs == -1);
  CHECK(Back->ChangesSince == 6);
  REQUIRE(Back->Changes);
  CHECK(Back->Changes->front().Key.Name == "target.one");
}

TEST_CASE("changes that do not fit are left out") {
  peer_greeting Greeting = sample();
  Greeting.Changes->front().Body = std::string(MaxGreetingBytes, 'x');
  const auto Back = decodeGreeting(encodeGreeting(Greeting));

  REQUIRE(Back);
  CHECK_FALSE(Back->Changes);
}

TEST_CASE("mutated greetings are refused or read, never worse") {
  std::minstd_rand Random(7);
  const std::vector<std::uint8_t> Good = encodeGreeting(sample());
  for (int Round = 0; Round < 20000; ++Round) {
    std::vector<std::uint8_t> Bytes = Good;
    Bytes.resize(Random() % (Good.size() + 1));
    for (int Flip = 0; Flip < 3 && !Bytes.empty(); ++Flip)
      Bytes[Random() % Bytes.size()] = static_cast<std::uint8_t>(Random());
    decodeGreeting(Bytes);
  }
  CHECK(decodeGreeting(Good).has_value());
}
