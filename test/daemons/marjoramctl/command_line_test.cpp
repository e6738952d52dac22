#include "command_line.h"

#include <doctest/doctest.h>
#include <gflags/gflags.h>

using namespace marjoramrail;
using namespace marjoramrail::ctl;

static std::string faultOf(const std::vector<std::string> &Words) {
  // A faulty value must not remain set for other tests.
  const gflags::FlagSaver Saver;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_CHECK(readCommand(Words));
    return {};
  });
  return Failure ? Failure->Reason : "";
}

TEST_CASE("the help of every verb lists its flags") {
  for (const verb_entry &Verb : verbs()) {
    const auto Command = readCommand({std::string(Verb.Name), "--help"});
    REQUIRE(Command);
    CHECK(Command->Help.find("marjoramctl " + std::string(Verb.Name)) == 0);
    for (const std::string_view Flag : Verb.Flags)
      CHECK(Command->Help.find("--" + std::string(Flag)) != std::string::npos);
  }
}

TEST_CASE("readCommand takes flags in the usual forms") {
  const auto Command =
      readCommand({"drain", "ledger-3", "--wait", "--for-seconds", "9",
                   "--platform=127.0.0.1:1,127.0.0.2:2"});

  REQUIRE(Command);
  CHECK(Command->Options.Arguments == std::vector<std::string>{"ledger-3"});
  CHECK(Command->Options.Wait);
  CHECK(Command->Options.For == std::chrono::seconds(9));
  CHECK(Command->Platform.size() == 2);
  CHECK(!Command->Options.IfVersion);
}

TEST_CASE("readCommand takes the common flags before the verb") {
  const auto Command =
      readCommand({"--platform=127.0.0.1:1", "list", "service"});

  REQUIRE(Command);
  CHECK(Command->Verb->Name == "list");
  CHECK(Command->Options.Arguments == std::vector<std::string>{"service"});
  CHECK(faultOf({"--wait", "drain"}).find("takes no flag --wait") !=
        std::string::npos);
}

TEST_CASE("readCommand names the invalid word") {
  CHECK(faultOf({}).find("expected a verb") == 0);
  CHECK(faultOf({"aply"}).find("there is no verb aply") == 0);
  CHECK(faultOf({"get", "--wait"}).find("get takes no flag --wait") == 0);
  CHECK(faultOf({"watch", "--since=x"}).find("\"x\" is no uint64") == 0);
  CHECK(faultOf({"watch", "--since"}).find("--since needs a value") == 0);
  CHECK(faultOf({"list", "--platform=nowhere"}).find("expected ADDRESS") == 0);
}
