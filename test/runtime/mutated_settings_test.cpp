#include "marjoramrail/runtime.h"
#include "mutated_json.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

/// Reads fields of every type, including nested ones, as the daemons do.
static result<void> readEverything(const std::string &Text) {
  BOOST_LEAF_AUTO(Reader, settings_reader::fromText(Text, "agent.json"));
  Reader.text("name");
  Reader.number("slots", 4, 1, 10000);
  Reader.flag("echo", false);
  Reader.address("listen");
  Reader.addresses("balancers", true);
  Reader.texts("zones", false);
  for (settings_reader &Service : Reader.objects("services", false)) {
    Service.text("name");
    Service.number("flows", 0, 0, 50000);
    BOOST_LEAF_CHECK(Service.finish());
  }
  return Reader.finish();
}

TEST_CASE("mutated settings are accepted or rejected with the file name") {
  // A settings file is truncated by an interrupted copy, or damaged when edited
  // by hand. The daemon must report the error and must not start with a part of
  // the settings.
  mutated_json Mutations(R"({
    // The agent beside ledger-1.
    "name": "ledger-1", "slots": 4, "echo": false,
    "listen": "127.77.11.1:8000", "balancers": ["127.77.3.1:4100"],
    "zones": ["oostende"], "services": [{"name": "ledger", "flows": 10}]})",
                         1);
  constexpr int Texts = 4000;
  int Taken = 0;

  for (int I = 0; I < Texts; ++I) {
    const std::string Text = Mutations.next();
    const auto Failure = failureOf([&] { return readEverything(Text); });
    Taken += !Failure;
    if (!Failure)
      continue;
    CHECK(Failure->Peer == "agent.json");
    CHECK(!Failure->Reason.empty());
  }

  CHECK(Taken < Texts / 2);
}
