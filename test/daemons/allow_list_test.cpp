#include "allow_list.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::daemons;

static bool allows(const std::vector<std::string> &Networks,
                   const std::string &Peer) {
  const auto List = allow_list::parse(Networks);
  REQUIRE(List);
  return List->allows(*parseEndpoint(Peer + ":1"));
}

TEST_CASE("allow_list allows the hosts of its networks and no others") {
  // Any other host could register itself as a target and receive callers'
  // traffic.
  const std::vector<std::string> Networks = {"10.1.0.0/16", "192.0.2.7"};

  CHECK(allows(Networks, "10.1.255.3"));
  CHECK(allows(Networks, "192.0.2.7"));
  CHECK_FALSE(allows(Networks, "10.2.0.1"));
  CHECK_FALSE(allows(Networks, "192.0.2.8"));
  CHECK_FALSE(allows({}, "10.1.0.1"));
  CHECK(allows({"0.0.0.0/0"}, "203.0.113.9"));
}

TEST_CASE("allow_list rejects an invalid network") {
  for (const char *Text : {"10.1.0.0/33", "10.1.0.0/", "10.1.0.0/x", "10.1/16",
                           "", "10.1.0.0/16/2"})
    CHECK(failureOf([&]() -> result<void> {
      if (auto List = allow_list::parse({Text}); !List)
        return List.error();
      return {};
    }));
}
