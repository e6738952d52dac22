#include "directory/object_feed.h"
#include "directory/site_store.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

struct feed_fixture {
  timer_service Timers;
  fake_platform Store{Timers};
  store_faults Faults;
  std::vector<platform_object> Updates;
  std::optional<duration> Wait = 1s;
  object_feed Feed{
      Timers,
      siteStore(Store, Faults, "site"),
      "site",
      {[this](const platform_object &Object) { Updates.push_back(Object); },
       [] {}, [this] { return Wait; }, [](bool, const std::string &) {}}};

  void pass(duration Time) { Timers.advance(Timers.now() + Time); }
};

} // namespace

TEST_CASE_FIXTURE(feed_fixture, "a feed follows changes and deletions") {
  Store.put("site", "a", "1");
  Feed.start();
  pass(100ms);
  Store.put("site", "b", "2");
  Store.erase("site", "a");
  pass(200ms);

  CHECK(Feed.objects().size() == 1);
  CHECK(Feed.objects().contains("b"));
  REQUIRE(Updates.size() == 3);
  CHECK(Updates.back().Deleted);
}

TEST_CASE_FIXTURE(feed_fixture,
                  "a feed lists all objects again after the history was lost") {
  // The store drops its history while an object is deleted. A feed that only
  // continued its watch would keep the object forever, and flows would be sent
  // to a host that no longer exists.
  Store.put("site", "a", "1");
  Store.put("site", "b", "1");
  Feed.start();
  pass(100ms);
  Faults.HistoryGone = true;
  Store.erase("site", "a");
  pass(300ms);

  CHECK_FALSE(Feed.objects().contains("a"));
  CHECK(Feed.objects().contains("b"));
}

TEST_CASE_FIXTURE(feed_fixture, "asOf follows the responses of the store") {
  Feed.start();
  pass(10ms);
  const auto Listed = Feed.asOf();
  REQUIRE(Listed);
  CHECK(Timers.now() - *Listed <= 10ms);

  pass(1500ms);
  const auto Watched = Feed.asOf();
  CHECK(Timers.now() - *Watched <= 600ms);
}

TEST_CASE_FIXTURE(feed_fixture,
                  "a watch without a response does not advance asOf") {
  // A connection stops responding, which looks like a time without changes. If
  // that counted as confirmation, flows of new targets would be treated as
  // lost.
  Feed.start();
  pass(10ms);
  Faults.WatchesHang = true;
  pass(5s);

  CHECK(Timers.now() - *Feed.asOf() >= 3s);
}

TEST_CASE_FIXTURE(feed_fixture,
                  "a peer confirms asOf only if no change is missing") {
  Store.put("site", "a", "1");
  Feed.start();
  pass(10ms);
  Faults.WatchesHang = true;
  pass(5s);
  const instant Moment = Timers.now() - 100ms;

  Feed.confirm(Feed.version() + 1, Moment);
  CHECK(*Feed.asOf() < Moment);
  Feed.confirm(Feed.version(), Moment);
  CHECK(*Feed.asOf() == Moment);
}

TEST_CASE_FIXTURE(feed_fixture,
                  "changes from a peer do not restore older versions") {
  // Two peers answer in the wrong order: the older answer must not restore an
  // object that has been deleted since.
  Store.put("site", "a", "1");
  Feed.start();
  pass(100ms);
  const std::uint64_t Before = Feed.version();
  const platform_object Old = Feed.objects().at("a");
  Store.erase("site", "a");
  pass(200ms);
  Feed.applyChanges({Old}, 0, Feed.version() + 1);

  CHECK_FALSE(Feed.objects().contains("a"));
  CHECK(Feed.version() > Before);
}

TEST_CASE_FIXTURE(feed_fixture, "changesSince includes deletions") {
  Store.put("site", "a", "1");
  Store.put("site", "b", "1");
  Feed.start();
  pass(100ms);
  const std::uint64_t Since = Feed.version();
  Store.erase("site", "a");
  Store.put("site", "c", "1");
  pass(200ms);

  const auto Changes = Feed.changesSince(Since);
  REQUIRE(Changes);
  REQUIRE(Changes->size() == 2);
  CHECK((*Changes)[0].Key.Name == "c");
  CHECK((*Changes)[1].Deleted);
}

TEST_CASE_FIXTURE(
    feed_fixture,
    "changesSince has no result for versions before the first list") {
  // Deletions before the first list are unknown. A peer that got an empty list
  // of changes would keep a host that no longer exists.
  Store.put("site", "a", "1");
  Store.erase("site", "a");
  Feed.start();
  pass(100ms);

  CHECK_FALSE(Feed.changesSince(1).has_value());
  CHECK(Feed.changesSince(Feed.version()).has_value());
}

TEST_CASE_FIXTURE(feed_fixture,
                  "a feed with current data from peers does not watch") {
  Wait.reset();
  Feed.start();
  pass(3s);

  CHECK(Feed.known());
  CHECK(Faults.Watches == 0);
}

TEST_CASE_FIXTURE(feed_fixture, "changes with a gap before them are ignored") {
  Store.put("site", "a", "1");
  Feed.start();
  pass(100ms);
  const std::uint64_t Version = Feed.version();
  platform_object Later;
  Later.Key = {"site", "z"};
  Later.Version = Version + 9;
  Feed.applyChanges({Later}, Version + 5, Version + 9);

  CHECK(Feed.version() == Version);
  CHECK_FALSE(Feed.objects().contains("z"));
}

TEST_CASE_FIXTURE(feed_fixture,
                  "a feed with a list limits its retries to the store") {
  // A balancer with an old list still forwards packets; thousands of balancers
  // that retry quickly would overload a store that is failing already.
  Feed.start();
  pass(100ms);
  Store.Down = true;
  pass(5s);
  const std::uint64_t Before = Faults.Watches;
  pass(8s);
  CHECK(Faults.Watches - Before <= 11);
}

TEST_CASE_FIXTURE(feed_fixture, "a shorter watch replaces a long one") {
  // This balancer waits for changes only, until the one that confirms the age
  // of the data for all fails. If the long watch had to end first, the data of
  // all balancers would become too old meanwhile.
  Wait = 20s;
  Feed.start();
  pass(2s);
  Wait = 500ms;
  pass(1s);

  REQUIRE(Feed.asOf());
  CHECK(Timers.now() - *Feed.asOf() < 600ms);
}

TEST_CASE_FIXTURE(feed_fixture, "a replaced watch does not start others") {
  // Its answer arrives when the shorter watches have long taken over.
  Wait = 20s;
  Feed.start();
  pass(2s);
  Wait = 1s;
  pass(30s);
  Faults.Watches = 0;
  pass(10s);

  CHECK(Faults.Watches <= 10);
}

TEST_CASE_FIXTURE(feed_fixture, "a change in a replaced watch is not lost") {
  Wait = 20s;
  Feed.start();
  pass(2s);
  Wait = 1s;
  pass(300ms);
  Faults.WatchesHang = true;
  Store.put("site", "a", "1");
  pass(300ms);

  CHECK(Feed.objects().contains("a"));
}

TEST_CASE_FIXTURE(feed_fixture, "a long watch is not replaced by a long one") {
  Wait = 20s;
  Feed.start();
  pass(15s);

  CHECK(Faults.Watches == 1);
}

TEST_CASE_FIXTURE(
    feed_fixture,
    "deletions before the own list are requested from the store") {
  // A peer has listed the objects earlier and asks for all changes since. The
  // own list does not show what was deleted in between.
  Store.put("site", "a", "1");
  Store.put("site", "b", "1");
  Store.erase("site", "a");
  Feed.start();
  pass(10ms);
  CHECK_FALSE(Feed.changesSince(1));
  Feed.requestHistory(1);
  pass(10ms);

  const auto Changes = Feed.changesSince(1);
  REQUIRE(Changes);
  CHECK(std::any_of(Changes->begin(), Changes->end(), [](const auto &Object) {
    return Object.Key.Name == "a" && Object.Deleted;
  }));
}

TEST_CASE_FIXTURE(feed_fixture,
                  "a second list shows what was deleted since the first") {
  // All balancers of a site start from the same snapshot. The first one lists
  // the objects again, as the store has dropped its history.
  Store.put("site", "a", "1");
  Store.put("site", "b", "1");
  Feed.start();
  pass(10ms);
  const std::uint64_t Snapshot = Feed.version();
  Faults.HistoryGone = true;
  Store.erase("site", "a");
  pass(300ms);

  const auto Changes = Feed.changesSince(Snapshot);
  REQUIRE(Changes);
  REQUIRE(Changes->size() == 1);
  CHECK(Changes->front().Key.Name == "a");
  CHECK(Changes->front().Deleted);
}

TEST_CASE_FIXTURE(feed_fixture, "a watch that the store closes is renewed") {
  // The store drops its history and closes all watches. Guards against a feed
  // that takes this for an outage, while its next watch is left to others.
  std::vector<bool> Availability;
  object_feed Closed{Timers,
                     siteStore(Store, Faults, "site"),
                     "site",
                     {[](const platform_object &) {}, [] {},
                      [this] { return Wait; },
                      [&](bool Answers, const std::string &) {
                        Availability.push_back(Answers);
                      }}};
  Wait = 20s;
  Store.put("site", "a", "1");
  Closed.start();
  pass(100ms);
  Wait.reset();
  Store.WatchesAreSilent = true;
  Store.put("site", "b", "1");
  pass(100ms);
  Store.WatchesAreSilent = false;
  Store.dropHistory();
  pass(100ms);

  CHECK(Closed.objects().contains("b"));
  CHECK(Availability.empty());
}

TEST_CASE_FIXTURE(feed_fixture, "a renewed watch that fails is an outage") {
  Wait = 20s;
  Feed.start();
  pass(100ms);
  Store.dropHistory();
  Store.Down = true;
  pass(100ms);

  CHECK_FALSE(Feed.availability().answering());
}
