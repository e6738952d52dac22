#include "directory/route_table_codec.h"
#include "directory/site_store.h"
#include "mutated_json.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;

namespace {

const object_key Key{"config", "main"};

region_restriction onlyIn(std::vector<std::string> Regions) {
  return region_restriction(std::move(Regions));
}

route_table someTable() {
  route_table Table;
  Table.Version = 12;
  Table.IdleFlow = std::chrono::seconds(90);
  Table.Routes = {{{0xc6120001, 443}, {share("ledger", 3), share("archive")}},
                  {{0xc6120001, 8443}, {share("ledger")}},
                  {{0xc6120007, 443}, {share("ledger", 3), share("archive")}},
                  {{0xc6120009, 80}, {share("ledger", 0)}},
                  {{0xc612000a, 80}, {share("ledger")}, onlyIn({"be", "nl"})},
                  {{0xc612000b, 80}, {share("ledger")}, onlyIn({})}};
  Table.Warmups = {{"archive", 500}, {"ledger", 2500}};
  return Table;
}

result<route_table> decode(const std::string &Body) {
  platform_object Object;
  Object.Key = Key;
  Object.Body = Body;
  return readComplete(readEncodedRouteTable(Object));
}

bool isRefused(const std::string &Body) {
  return failureOf([&]() -> result<void> {
           BOOST_LEAF_CHECK(decode(Body));
           return {};
         })
      .has_value();
}

} // namespace

TEST_CASE("a configuration is encoded and decoded unchanged") {
  const route_table Table = someTable();
  const std::string Body = encodeRouteTable(Table);

  CHECK(isEncodedRouteTable(Body));
  result<route_table> Decoded = decode(Body);
  REQUIRE(Decoded);
  std::sort(
      Decoded->Routes.begin(), Decoded->Routes.end(),
      [](const route &A, const route &B) { return A.Address < B.Address; });
  CHECK(*Decoded == Table);
}

TEST_CASE("a configuration without routes is encoded and decoded unchanged") {
  route_table Table;
  Table.Version = 3;

  result<route_table> Decoded = decode(encodeRouteTable(Table));

  REQUIRE(Decoded);
  CHECK(*Decoded == Table);
}

TEST_CASE("the site's own format is distinguished from the compact one") {
  CHECK_FALSE(isEncodedRouteTable(R"({"version": 3, "routes": []})"));
  CHECK_FALSE(isEncodedRouteTable(""));
}

TEST_CASE("malformed configurations are rejected") {
  for (const char *Broken :
       {"", "[]", R"({"marjoramrail_routes":2})",
        R"({"marjoramrail_routes":1})",
        R"({"marjoramrail_routes":1,"version":1,"idle_us":1,"groups":7})",
        R"({"marjoramrail_routes":1,"version":-1,"idle_us":1,"groups":[]})",
        R"({"marjoramrail_routes":1,"version":1,"idle_us":1,"groups":[{}]})",
        R"({"marjoramrail_routes":1,"version":1,"idle_us":1,"groups":
            [{"shares":[["a"]],"addresses":{}}]})"})
    CHECK_MESSAGE(isRefused(Broken), Broken);
}

TEST_CASE("decoding mutated configurations does not crash") {
  mutated_json Bodies(encodeRouteTable(someTable()), /*Seed=*/23);
  int Refused = 0;
  for (int I = 0; I < 20000; ++I)
    Refused += isRefused(Bodies.next());

  CHECK(Refused > 0);
}
