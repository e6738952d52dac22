#include "directory/site_store.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

struct registrar_fixture {
  timer_service Timers;
  fake_platform Store{Timers};
  store_faults Faults;
  std::vector<bool> Stored;
  std::vector<target_entry> Found;
  std::vector<target_entry> Asked;
  int Missing = 0;
  target_entry Entry{"target.one", "ledger", {0x0a000101, 700},
                     "brugge",     4,        false};
  target_registrar Registrar{
      Timers,
      siteStore(Store, Faults, "site"),
      "site",
      {[this](bool Existed) { Stored.push_back(Existed); },
       [this] { ++Missing; },
       [this](const target_entry &Entry) { Found.push_back(Entry); },
       [](const std::string &) {},
       [this](const target_entry &Entry) { Asked.push_back(Entry); }}};

  void pass(duration Time) { Timers.advance(Timers.now() + Time); }

  std::optional<target_entry> held() {
    const platform_object Object = Store.get("site", Entry.Name);
    if (Object.Version == 0 || Object.Deleted)
      return std::nullopt;
    return decodeTarget(Entry.Name, Object.Body).value();
  }
};

} // namespace

TEST_CASE_FIXTURE(registrar_fixture,
                  "an entry is written and OnStored is called") {
  Registrar.set(Entry);
  pass(100ms);

  CHECK(held() == Entry);
  CHECK(Stored == std::vector<bool>{false});
  CHECK(Registrar.settled());
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "an entry of a previous process is found") {
  // An agent restarts. Its target's entry is known to all processes, so that
  // the target can get new flows at once.
  Store.put("site", Entry.Name, encodeTarget(Entry));
  Registrar.readExisting(Entry.Name);
  pass(100ms);

  REQUIRE(Found.size() == 1);
  CHECK(Found.front() == Entry);
  CHECK(Store.Writes == 0);
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "the entry is read back after a lost answer") {
  // The write takes effect but its answer is lost. A blind repetition could
  // overwrite a newer state.
  Store.LoseAnswers = 1;
  Registrar.set(Entry);
  pass(2s);

  CHECK(held() == Entry);
  CHECK(Registrar.settled());
  CHECK(Store.Writes == 1);
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "the newest state is written after an outage") {
  Registrar.set(Entry);
  pass(100ms);
  Store.Down = true;
  Entry.Draining = true;
  Registrar.set(Entry);
  pass(3s);
  Store.Down = false;
  pass(3s);

  REQUIRE(held());
  CHECK(held()->Draining);
}

TEST_CASE_FIXTURE(registrar_fixture, "a withdrawn entry is removed") {
  Registrar.set(Entry);
  pass(100ms);
  Registrar.withdraw();
  pass(100ms);

  CHECK_FALSE(held());
  CHECK(Registrar.settled());
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "an entry that another process removed is written again") {
  // An agent was cut off for longer than flows live, and a balancer removed its
  // entry as that of a dead VM. Without a rewrite the target would stay idle
  // forever.
  Registrar.set(Entry);
  pass(100ms);
  Missing = 0;
  Store.erase("site", Entry.Name);
  Registrar.recheck();
  pass(500ms);

  CHECK(Missing == 1);
  CHECK(held() == Entry);
  CHECK(Stored.back() == false);
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "peers are asked to register a target if the store refuses") {
  // The store refuses some VMs and serves the others. A target that has just
  // started next to a refused agent would stay idle until the store serves it.
  Store.Down = true;
  Registrar.set(Entry);
  pass(2s);

  REQUIRE_FALSE(Asked.empty());
  CHECK(Asked.front() == Entry);
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "an entry written by a peer counts as new") {
  // A balancer has written the entry. When the store serves this agent again,
  // other processes may have learned of the entry only a moment ago.
  Store.Down = true;
  Registrar.set(Entry);
  pass(2s);
  target_entry ByPeer = Entry;
  ByPeer.ByPeer = true;
  Store.put("site", Entry.Name, encodeTarget(ByPeer));
  Store.Down = false;
  pass(2s);

  REQUIRE_FALSE(Stored.empty());
  CHECK(Stored == std::vector<bool>(Stored.size(), false));
  CHECK(held() == Entry);
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "a known target does not count as new after an outage") {
  // All machines lose power while the store is not responding. When it is back,
  // every target is already known to all processes; another wait would only
  // keep all targets without new flows for longer.
  Store.put("site", Entry.Name, encodeTarget(Entry));
  Store.Down = true;
  Registrar.set(Entry);
  pass(2s);
  Store.Down = false;
  pass(2s);

  REQUIRE_FALSE(Stored.empty());
  CHECK(Stored.front() == true);
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "no peer is asked to register a target that is leaving") {
  Store.Down = true;
  Entry.Draining = true;
  Registrar.set(Entry);
  pass(2s);
  Registrar.withdraw();
  pass(2s);

  CHECK(Asked.empty());
}

TEST_CASE("a registration request is decoded unchanged") {
  const target_entry Entry{"target.one", "ledger", {0x0a000101, 700},
                           "brugge",     4,        false};
  const auto Bytes = encodeRegistrationRequest(Entry);
  REQUIRE(isRegistrationRequest(Bytes));
  const auto Back = decodeRegistrationRequest(Bytes);
  REQUIRE(Back);
  CHECK(*Back == Entry);
}

TEST_CASE("a truncated registration request is rejected") {
  const target_entry Entry{"target.one", "ledger", {0x0a000101, 700},
                           "brugge",     4,        false};
  auto Bytes = encodeRegistrationRequest(Entry);
  while (Bytes.size() > 1) {
    Bytes.pop_back();
    CHECK(failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(decodeRegistrationRequest(Bytes));
            return {};
          }).has_value());
  }
}

TEST_CASE("a malformed target entry is rejected") {
  for (const char *Broken :
       {"", "[]", R"({"service": 1})", R"({"service": "a"})",
        R"({"service":"a","agent":"x","zone":"z"})",
        R"({"service":"a","agent":"1.2.3.4:5","zone":"z","slots":0})"})
    CHECK(failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(decodeTarget("target.x", Broken));
            return {};
          }).has_value());
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "knownMissing reports that an entry was removed") {
  // A VM was cut off for long, was marked dead, and returns with a new process.
  // A balancer that is still cut off reports the old entry as existing; an
  // agent that relied on it would admit new flows that other balancers reset.
  Registrar.readExisting(Entry.Name);
  CHECK_FALSE(Registrar.knownMissing());
  pass(100ms);
  CHECK(Registrar.knownMissing());
  CHECK_FALSE(Registrar.hasWritten());

  Registrar.set(Entry);
  CHECK(Registrar.hasWritten());
  pass(100ms);
  CHECK_FALSE(Registrar.knownMissing());
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "an entry of a previous process is not missing") {
  Store.put("site", Entry.Name, encodeTarget(Entry));
  Registrar.readExisting(Entry.Name);
  pass(100ms);
  CHECK_FALSE(Registrar.knownMissing());
  CHECK_FALSE(Registrar.hasWritten());
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "only the first read of an entry may be stale") {
  // Hundreds of agents start at once, and most of them find what they wrote
  // long ago.
  Store.put("site", Entry.Name, encodeTarget(Entry));
  Registrar.readExisting(Entry.Name);
  pass(100ms);
  CHECK(Store.StaleReads == 1);
  CHECK(Found.size() == 1);

  Registrar.recheck();
  pass(100ms);
  CHECK(Store.StaleReads == 1);
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "a stale read does not overwrite a newer entry") {
  // The store answers with data of some seconds ago, when the entry did not
  // exist yet; meanwhile a balancer has written it.
  Store.saveOlder();
  Store.ReadStaleOlder = true;
  target_entry Newer = Entry;
  Newer.Slots = 9;
  Newer.ByPeer = true;
  Store.put("site", Entry.Name, encodeTarget(Newer));
  Registrar.readExisting(Entry.Name);
  pass(100ms);
  CHECK(Found.empty());

  Registrar.set(Entry);
  pass(100ms);
  CHECK(held() == Entry);
  CHECK(Registrar.settled());
}

TEST_CASE_FIXTURE(registrar_fixture,
                  "a stale read of an entry that was removed is corrected") {
  Store.put("site", Entry.Name, encodeTarget(Entry));
  Store.saveOlder();
  Store.ReadStaleOlder = true;
  Store.erase("site", Entry.Name);
  Registrar.readExisting(Entry.Name);
  pass(100ms);
  target_entry Changed = Entry;
  Changed.Slots = 9;
  Registrar.set(Changed);
  pass(100ms);

  CHECK(held() == Changed);
}
