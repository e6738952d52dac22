#include "directory/site_snapshot.h"

#include "directory/balancer_entry.h"
#include "directory/site_store.h"
#include "directory/snapshot_store.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

platform_object objectOf(const std::string &Kind, const std::string &Name,
                         std::uint64_t Version, std::string Body) {
  platform_object Object;
  Object.Key = {Kind, Name};
  Object.Version = Version;
  Object.Body = std::move(Body);
  return Object;
}

site_snapshot sample() {
  target_entry First{"target.web-1", "ledger", {0x0a000301, 700}, "brugge", 4};
  target_entry Second{"target.web-2", "archive", {0x0a000302, 700},
                      "oostende",     2,         true};
  Second.ByPeer = true;
  site_snapshot Snapshot;
  Snapshot.Routes = {41, {objectOf("config", "main", 40, "{\"version\":7}")}};
  Snapshot.Site = {50,
                   {objectOf("site", "target.web-1", 12, encodeTarget(First)),
                    objectOf("site", "target.web-2", 49, encodeTarget(Second)),
                    objectOf("site", "balancer.edge-1", 3,
                             encodeBalancer({{0x0a000201, 7000}, "brugge"})),
                    objectOf("site", "routes", 44, "{\"443\":[]}")}};
  return Snapshot;
}

std::optional<site_snapshot> decoded(const std::string &Body) {
  std::optional<site_snapshot> Snapshot;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_ASSIGN(Snapshot,
                      decodeSnapshot(objectOf("snapshot", "site", 1, Body),
                                     "config", "site"));
    return {};
  });
  return Failure ? std::nullopt : Snapshot;
}

struct snapshot_fixture {
  timer_service Timers;
  fake_platform Store{Timers};
  store_faults Faults;
  std::vector<std::string> Refused;
  std::vector<platform_reply> Replies;
  snapshot_reader Reader{
      siteStore(Store, Faults, "config"),
      siteStore(Store, Faults, "site"),
      "config",
      "site",
      {[this](const std::string &Reason) { Refused.push_back(Reason); }}};
  snapshot_writer Writer{Timers, siteStore(Store, Faults, SnapshotKind)};

  void pass(duration Time) { Timers.advance(Timers.now() + Time); }

  void listSite() {
    Reader.listSite(
        [this](const platform_reply &Reply) { Replies.push_back(Reply); });
    pass(20ms);
  }

  void saveFor(duration Time, std::uint64_t Change, std::uint64_t Version) {
    for (duration Passed{}; Passed < Time; Passed += 1s) {
      Writer.save(Change, [Version] {
        site_snapshot Snapshot = sample();
        Snapshot.Site.Version = Version;
        return Snapshot;
      });
      pass(1s);
    }
  }

  std::string saved() const {
    return Store.get(SnapshotKind, SnapshotName).Body;
  }
};

} // namespace

TEST_CASE("a snapshot is encoded and decoded unchanged") {
  const auto Snapshot = decoded(encodeSnapshot(sample()));
  REQUIRE(Snapshot);

  CHECK(Snapshot->Routes.Version == 41);
  CHECK(Snapshot->Routes.Objects == sample().Routes.Objects);
  CHECK(Snapshot->Site.Version == 50);
  CHECK(Snapshot->Site.Objects == sample().Site.Objects);
}

TEST_CASE("an entry that cannot be decoded is kept as it is") {
  site_snapshot Snapshot = sample();
  Snapshot.Site.Objects = {objectOf("site", "target.odd", 9, "{\"slots\":-1}")};
  const auto Decoded = decoded(encodeSnapshot(Snapshot));
  REQUIRE(Decoded);

  CHECK(Decoded->Site.Objects == Snapshot.Site.Objects);
}

TEST_CASE("malformed snapshots are rejected") {
  CHECK_FALSE(decoded("null"));
  CHECK_FALSE(decoded("{\"format\":2}"));
  const std::string Whole = encodeSnapshot(sample());
  for (const char *Part : {"\"version\":50", "\"brugge\"", "12,"}) {
    std::string Text = Whole;
    Text.replace(Text.find(Part), std::string(Part).size(),
                 Part[0] == '1' ? "-1," : "\"version\":null");
    CHECK_FALSE(decoded(Text));
  }
}

TEST_CASE_FIXTURE(snapshot_fixture, "without a snapshot the store is listed") {
  Store.put("site", "a", "1");
  listSite();

  REQUIRE(Replies.size() == 1);
  CHECK(Replies.front().Objects.size() == 1);
  CHECK_FALSE(Replies.front().IsUndated);
}

TEST_CASE_FIXTURE(snapshot_fixture, "one read of the snapshot serves both") {
  Store.put(SnapshotKind, SnapshotName, encodeSnapshot(sample()));
  Reader.listRoutes(
      [this](const platform_reply &Reply) { Replies.push_back(Reply); });
  listSite();

  REQUIRE(Replies.size() == 2);
  CHECK(Replies.back().StoreVersion == 50);
  CHECK(Replies.back().IsUndated);
  CHECK(Store.Calls == 1);
}

TEST_CASE_FIXTURE(snapshot_fixture, "an invalid snapshot is not used") {
  Store.put(SnapshotKind, SnapshotName, "{}");
  Store.put("site", "a", "1");
  listSite();

  CHECK(Refused.size() == 1);
  REQUIRE(Replies.size() == 1);
  CHECK(Replies.front().Objects.size() == 1);
}

TEST_CASE_FIXTURE(snapshot_fixture, "an outage is reported, not hidden") {
  Store.Down = true;
  listSite();

  REQUIRE(Replies.size() == 1);
  CHECK(Replies.front().Outcome == platform_outcome::Unavailable);
}

TEST_CASE_FIXTURE(snapshot_fixture, "changes in a row share a write") {
  for (std::uint64_t Change = 1; Change <= 20; ++Change)
    saveFor(1s, Change, 50 + Change);

  CHECK(Store.Writes <= 5);
  CHECK(decoded(saved())->Site.Version >= 65);
}

TEST_CASE_FIXTURE(snapshot_fixture, "a newer snapshot is not replaced") {
  // A balancer that was cut off for long still ranks itself first.
  site_snapshot Newer = sample();
  Newer.Site.Version = 90;
  Store.put(SnapshotKind, SnapshotName, encodeSnapshot(Newer));
  saveFor(10s, 50, 50);

  CHECK(decoded(saved())->Site.Version == 90);
}
