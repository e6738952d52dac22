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
  mechanism_set Disabled;
  CHECK(Disabled.empty());
  Disabled.add(mechanism::FlowCheckpoints);
  Disabled.add(mechanism::TwoChoices);
  CHECK(Disabled.has(mechanism::FlowCheckpoints));
  CHECK_FALSE(Disabled.has(mechanism::SettleTime));
  CHECK(toText(Disabled) == "two_choices kept_flows");
}
