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

TEST_CASE("changes that do not fit follow later") {
  // All agents of a site start; a balancer that copied everything for each
  // batch would move megabytes between zones.
  peer_greeting Greeting = sample();
  Greeting.Changes->clear();
  for (std::uint64_t Version = 60; Version > 0; --Version) {
    platform_object Object;
    Object.Key.Name = "target." + std::to_string(Version);
    Object.Version = Version;
    Object.Body = std::string(100, 'x');
    Greeting.Changes->push_back(Object);
  }
  Greeting.ChangesUpTo = 99;
  fitChanges(Greeting);
  const auto Bytes = encodeGreeting(Greeting);

  CHECK(Bytes.size() <= MaxGreetingBytes);
  REQUIRE(Greeting.Changes);
  CHECK(Greeting.Changes->size() > 5);
  CHECK(Greeting.Changes->front().Version == 1);
  CHECK(Greeting.ChangesUpTo == Greeting.Changes->back().Version);
}

TEST_CASE("changes of one version are kept together or left out") {
  // Deletions that a list has shown bear the list's version. Half of them taken
  // for all would keep the others for ever.
  peer_greeting Greeting = sample();
  Greeting.Changes->clear();
  for (int Index = 0; Index < 200; ++Index) {
    platform_object Object;
    Object.Key.Name = "target.number-" + std::to_string(Index);
    Object.Version = 8;
    Object.Deleted = true;
    Greeting.Changes->push_back(Object);
  }
  fitChanges(Greeting);

  CHECK_FALSE(Greeting.Changes);
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
