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
       [](const std::string &) {}}};

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
  Registrar.look(Entry.Name);
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
