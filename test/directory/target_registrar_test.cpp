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

TEST_CASE_FIXTURE(registrar_fixture, "an entry is written and told") {
  Registrar.set(Entry);
  pass(100ms);

  CHECK(held() == Entry);
  CHECK(Stored == std::vector<bool>{false});
  CHECK(Registrar.settled());
}

TEST_CASE_FIXTURE(registrar_fixture, "an entry of before is recognised") {
  // An agent restarts: its target's entry is known to all, and the target can
  // get new flows at once.
  Store.put("site", Entry.Name, encodeTarget(Entry));
  Registrar.readExisting(Entry.Name);
  pass(100ms);

  REQUIRE(Found.size() == 1);
  CHECK(Found.front() == Entry);
  CHECK(Store.Writes == 0);
}

TEST_CASE_FIXTURE(registrar_fixture, "a lost answer is read back") {
  // The write takes effect and its answer is lost. Written blindly again, it
  // could overtake a newer state.
  Store.LoseAnswers = 1;
  Registrar.set(Entry);
  pass(2s);

  CHECK(held() == Entry);
  CHECK(Registrar.settled());
  CHECK(Store.Writes == 1);
}

TEST_CASE_FIXTURE(registrar_fixture, "the newest state wins over an outage") {
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

TEST_CASE_FIXTURE(registrar_fixture, "a withdrawn entry goes") {
  Registrar.set(Entry);
  pass(100ms);
  Registrar.withdraw();
  pass(100ms);

  CHECK_FALSE(held());
  CHECK(Registrar.settled());
}

TEST_CASE_FIXTURE(registrar_fixture, "an entry that was taken out comes back") {
  // An agent was cut off for longer than flows live, and a balancer took its
  // entry for that of a dead VM. Back again, its target would idle for ever.
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
                  "peers are asked where the store refuses") {
  // The store refuses some VMs and serves the others. A target that has just
  // started beside a refused agent would idle until that is over.
  Store.Down = true;
  Registrar.set(Entry);
  pass(2s);

  REQUIRE_FALSE(Asked.empty());
  CHECK(Asked.front() == Entry);
}

TEST_CASE_FIXTURE(registrar_fixture, "what a peer wrote counts as new") {
  // A balancer has written the entry. When the store answers this agent again,
  // others may have heard of the entry only a moment ago.
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

TEST_CASE_FIXTURE(registrar_fixture, "an outage makes no known target new") {
  // All machines lose power while the store is silent. When it is back, every
  // target is one that all know; waiting would close them all for longer.
  Store.put("site", Entry.Name, encodeTarget(Entry));
  Store.Down = true;
  Registrar.set(Entry);
  pass(2s);
  Store.Down = false;
  pass(2s);

  REQUIRE_FALSE(Stored.empty());
  CHECK(Stored.front() == true);
}

TEST_CASE_FIXTURE(registrar_fixture, "nobody is asked to announce a leaver") {
  Store.Down = true;
  Entry.Draining = true;
  Registrar.set(Entry);
  pass(2s);
  Registrar.withdraw();
  pass(2s);

  CHECK(Asked.empty());
}

TEST_CASE("an announcement survives its way") {
  const target_entry Entry{"target.one", "ledger", {0x0a000101, 700},
                           "brugge",     4,        false};
  const auto Bytes = encodeRegistrationRequest(Entry);
  REQUIRE(isRegistrationRequest(Bytes));
  const auto Back = decodeRegistrationRequest(Bytes);
  REQUIRE(Back);
  CHECK(*Back == Entry);
}

TEST_CASE("an announcement that cannot be read names no target") {
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

TEST_CASE("an entry that cannot be read is refused") {
  for (const char *Broken :
       {"", "[]", R"({"service": 1})", R"({"service": "a"})",
        R"({"service":"a","agent":"x","zone":"z"})",
        R"({"service":"a","agent":"1.2.3.4:5","zone":"z","slots":0})"})
    CHECK(failureOf([&]() -> result<void> {
            BOOST_LEAF_CHECK(decodeTarget("target.x", Broken));
            return {};
          }).has_value());
}

TEST_CASE_FIXTURE(registrar_fixture, "it is told that an entry was taken out") {
  // A VM was cut off for long, counted as dead, and comes back as a new
  // process. A balancer that is still cut off names its old entry; whoever took
  // that for the store's word would give the target flows that others reset.
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

TEST_CASE_FIXTURE(registrar_fixture, "an entry of before is not missing") {
  Store.put("site", Entry.Name, encodeTarget(Entry));
  Registrar.readExisting(Entry.Name);
  pass(100ms);
  CHECK_FALSE(Registrar.knownMissing());
  CHECK_FALSE(Registrar.hasWritten());
}
