#include "marjoramrail/mechanism.h"

#include <doctest/doctest.h>
#include <set>

using namespace marjoramrail;

TEST_CASE("every mechanism has a distinct name") {
  std::set<std::string_view> Names;
  std::size_t Next = 0;
  for (const auto &[Mechanism, Name] : MechanismNames) {
    CHECK(static_cast<std::size_t>(Mechanism) == Next++);
    Names.insert(Name);
  }
  CHECK(Names.size() == MechanismNames.size());
}

TEST_CASE("a set contains what was added") {
  mechanism_set Without;
  CHECK(Without.empty());
  Without.add(mechanism::FlowCheckpoints);
  Without.add(mechanism::TwoChoices);
  CHECK(Without.has(mechanism::FlowCheckpoints));
  CHECK_FALSE(Without.has(mechanism::SettleTime));
  CHECK(toText(Without) == "two_choices kept_flows");
}
