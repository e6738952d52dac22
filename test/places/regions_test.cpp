#include "marjoramrail/places.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

static region_restriction only(std::vector<std::string> Regions) {
  return region_restriction(std::move(Regions));
}

TEST_CASE("without a restriction every region is permitted") {
  CHECK(region_restriction().permits("be-west"));
  CHECK(region_restriction().permits(""));
}

TEST_CASE("a restriction permits its regions and no unknown one") {
  const region_restriction Allowed = only({"be-west", "be-east"});

  CHECK(Allowed.permits("be-west"));
  CHECK_FALSE(Allowed.permits("nl-south"));
  CHECK_FALSE(Allowed.permits(""));
}

TEST_CASE("two restrictions permit what both permit") {
  const region_restriction Both =
      intersectionOf(only({"be-west", "be-east"}), only({"nl", "be-east"}));

  CHECK(Both == only({"be-east"}));
  CHECK(intersectionOf(region_restriction(), only({"nl"})) == only({"nl"}));
}

TEST_CASE("restrictions without a common region permit nothing") {
  const region_restriction None =
      intersectionOf(only({"nl"}), only({"be-west"}));

  CHECK(None.isRestricted());
  CHECK_FALSE(None.permits("nl"));
  CHECK_FALSE(None.permits("be-west"));
}

TEST_CASE("a union permits what either permits") {
  CHECK(unionOf(only({"nl"}), only({"be"})) == only({"be", "nl"}));
  CHECK_FALSE(unionOf(only({"nl"}), region_restriction()).isRestricted());
}

TEST_CASE("the region of an unknown zone is empty") {
  const zone_regions Regions = {{"brugge", "be-west"}};

  CHECK(regionOf(Regions, "brugge") == "be-west");
  CHECK(regionOf(Regions, "gent").empty());
}
