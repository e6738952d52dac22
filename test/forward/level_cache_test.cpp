#include "forward/level_cache.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;

static constexpr endpoint Route{0x0a00ff01, 443};

static stated_level levelOf(std::uint8_t Priority, std::uint64_t Version) {
  return {{.Priority = Priority}, 0, Version};
}

TEST_CASE("an older configuration does not bring an older level back") {
  // During a change, balancers that have not loaded the new configuration still
  // state the old level.
  level_cache Cache;
  Cache.update(Route, levelOf(1, 7));
  Cache.update(Route, levelOf(2, 8));

  REQUIRE(Cache.update(Route, levelOf(1, 7)));
  CHECK(Cache.update(Route, levelOf(1, 7))->Level.Priority == 2);
}

TEST_CASE("a packet without a level has the level of its route") {
  level_cache Cache;
  CHECK(Cache.update(Route, std::nullopt) == nullptr);
  Cache.update(Route, levelOf(1, 7));

  REQUIRE(Cache.update(Route, std::nullopt));
  CHECK(Cache.update(Route, std::nullopt)->Level.Priority == 1);
  CHECK(Cache.update({Route.Address, 444}, std::nullopt) == nullptr);
}

TEST_CASE("the levels of many routes take a bounded amount of memory") {
  level_cache Cache;
  for (std::uint16_t Port = 0; Port < 5 * level_cache::MaxAddresses; ++Port)
    CHECK(Cache.update({Route.Address, Port}, levelOf(3, 7)));
  CHECK(Cache.update({Route.Address, 0}, std::nullopt) == nullptr);
}
