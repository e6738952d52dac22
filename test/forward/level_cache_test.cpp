#include "forward/level_cache.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;

static constexpr endpoint Route{0x0a00ff01, 443};

static constexpr instant Start{std::chrono::seconds(10)};

static stated_level levelOf(std::uint8_t Priority, std::uint64_t Version) {
  return {{.Priority = Priority}, 0, Version};
}

TEST_CASE("an older configuration does not bring an older level back") {
  // During a change, balancers that have not loaded the new configuration still
  // state the old level.
  level_cache Cache;
  Cache.update(Route, levelOf(1, 7), Start);
  Cache.update(Route, levelOf(2, 8), Start);

  REQUIRE(Cache.update(Route, levelOf(1, 7), Start));
  CHECK(Cache.update(Route, levelOf(1, 7), Start)->Level.Priority == 2);
}

TEST_CASE("a packet without a level has the level of its route") {
  level_cache Cache;
  CHECK(Cache.update(Route, std::nullopt, Start) == nullptr);
  Cache.update(Route, levelOf(1, 7), Start);

  REQUIRE(Cache.update(Route, std::nullopt, Start));
  CHECK(Cache.update(Route, std::nullopt, Start)->Level.Priority == 1);
  CHECK(Cache.update({Route.Address, 444}, std::nullopt, Start) == nullptr);
}

TEST_CASE("the levels of many routes take a bounded amount of memory") {
  level_cache Cache;
  for (std::uint16_t Port = 0; Port < 5 * level_cache::MaxAddresses; ++Port)
    CHECK(Cache.update({Route.Address, Port}, levelOf(3, 7), Start));
  CHECK(Cache.update({Route.Address, 0}, std::nullopt, Start) == nullptr);
}

TEST_CASE("a level that is not stated any more does not apply") {
  // Operators have removed the level, or have switched levels off on the
  // balancers; the agent would otherwise hold requests until it restarts.
  level_cache Cache;
  Cache.update(Route, levelOf(1, 7), Start);
  const instant Later = Start + level_cache::Lifetime;

  CHECK(Cache.update(Route, std::nullopt, Later));
  CHECK_FALSE(Cache.update(Route, std::nullopt, Later + duration(1)));
}
