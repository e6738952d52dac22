#include "directory/sync_message.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::internal;

static sync_message sample() {
  sync_message Message;
  Message.Self = {0x0a000001, 7000};
  Message.Zone = 17;
  Message.IsReply = true;
  Message.RequestedAtUs = 123456789;
  Message.Routes = {5, 4, 1000, 2500};
  Message.Site = {9, 8, -1, -1};
  Message.Evacuations = {9, {"brugge"}};
  Message.ChangesSince = 6;
  platform_object Object;
  Object.Key = {"site", "target.one"};
  Object.Version = 8;
  Object.Body = "{}";
  Message.Changes = {Object};
  return Message;
}

TEST_CASE("a sync message is decoded unchanged") {
  const auto Back = decodeSyncMessage(encodeSyncMessage(sample()));

  REQUIRE(Back);
  CHECK(Back->Self == sample().Self);
  CHECK(Back->Zone == 17);
  CHECK(Back->IsReply);
  CHECK(Back->RequestedAtUs == 123456789);
  CHECK(Back->Routes.Version == 5);
  CHECK(Back->Site.AgeUs == -1);
  CHECK(Back->Routes.FirstKnownAgeUs == 2500);
  CHECK(Back->Site.FirstKnownAgeUs == -1);
  CHECK(Back->Evacuations == sample().Evacuations);
  CHECK(Back->ChangesSince == 6);
  REQUIRE(Back->Changes);
  CHECK(Back->Changes->front().Key.Name == "target.one");
}

TEST_CASE("changes that do not fit are left for the next message") {
  // All agents of a site start at once. If a balancer copied the complete list
  // for each batch of changes, megabytes would cross the links between zones.
  sync_message Message = sample();
  Message.Changes->clear();
  for (std::uint64_t Version = 60; Version > 0; --Version) {
    platform_object Object;
    Object.Key.Name = "target." + std::to_string(Version);
    Object.Version = Version;
    Object.Body = std::string(100, 'x');
    Message.Changes->push_back(Object);
  }
  Message.ChangesUpTo = 99;
  fitChanges(Message);
  const auto Bytes = encodeSyncMessage(Message);

  CHECK(Bytes.size() <= MaxSyncMessageBytes);
  REQUIRE(Message.Changes);
  CHECK(Message.Changes->size() > 5);
  CHECK(Message.Changes->front().Version == 1);
  CHECK(Message.ChangesUpTo == Message.Changes->back().Version);
}

TEST_CASE("changes of one version are sent together or not at all") {
  // Deletions that a complete list has revealed carry the version of the list.
  // If a part of them counted as complete, the other deleted objects would be
  // kept forever.
  sync_message Message = sample();
  Message.Changes->clear();
  for (int Index = 0; Index < 200; ++Index) {
    platform_object Object;
    Object.Key.Name = "target.number-" + std::to_string(Index);
    Object.Version = 8;
    Object.Deleted = true;
    Message.Changes->push_back(Object);
  }
  fitChanges(Message);

  CHECK_FALSE(Message.Changes);
}

TEST_CASE("decoding mutated sync messages does not crash") {
  std::minstd_rand Random(7);
  const std::vector<std::uint8_t> Good = encodeSyncMessage(sample());
  for (int Round = 0; Round < 20000; ++Round) {
    std::vector<std::uint8_t> Bytes = Good;
    Bytes.resize(Random() % (Good.size() + 1));
    for (int Flip = 0; Flip < 3 && !Bytes.empty(); ++Flip)
      Bytes[Random() % Bytes.size()] = static_cast<std::uint8_t>(Random());
    decodeSyncMessage(Bytes);
  }
  CHECK(decodeSyncMessage(Good).has_value());
}
