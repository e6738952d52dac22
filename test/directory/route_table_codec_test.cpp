#include "directory/route_table_codec.h"
#include "directory/site_store.h"
#include "mutated_json.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;

namespace {

const object_key Key{"config", "main"};

using namespace std::chrono_literals;

constexpr service_level Urgent{.Priority = 0,
                               .Repeatable = true,
                               .LatencyAim = 250ms,
                               .TimeLimit = 1500ms};

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
                  {{0xc612000b, 80}, {share("ledger")}, onlyIn({})},
                  {{0xc612000c, 80}, {share("ledger")}, {}, service_level{}},
                  {{0xc612000d, 80}, {share("ledger")}, {}, Urgent},
                  {{0xc612000e, 80}, {share("ledger")}, onlyIn({"be"}), Urgent},
                  {{0xc612000f, 80}, {share("ledger")}, {}, Urgent}};
  Table.Warmups = {{"archive", 500}, {"ledger", 2500}};
  Table.FlowLimits = {{"archive", 1}, {"ledger", UINT32_MAX}};
  return Table;
}

result<route_table> decode(const std::string &Body) {
  platform_object Object;
  Object.Key = Key;
  Object.Body = Body;
  return readComplete(readEncodedRouteTable(Object));
}

/// The reason why \p Body is rejected; empty if it is valid.
std::string reasonOf(const std::string &Body) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_CHECK(decode(Body));
    return {};
  });
  return Failure ? Failure->Reason : "";
}

bool isRefused(const std::string &Body) { return !reasonOf(Body).empty(); }

/// An encoded table with one group, which has \p Level, and \p Fields at the
/// end of the table.
std::string bodyWith(const std::string &Level, const std::string &Fields = "") {
  return R"({"marjoramrail_routes":1,"version":1,"idle_us":1,"groups":[
             {"shares":[["ledger",1]],"addresses":{"80":[7]},"level":)" +
         Level + "}]" + Fields + "}";
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

TEST_CASE("a level is encoded as its four fields") {
  // Balancers of different versions copy from each other, so the format is
  // fixed.
  route_table Table = tableOf(1, {"ledger"});
  Table.Routes[0].Level = Urgent;
  Table.FlowLimits = {{"ledger", 600}};

  const std::string Body = encodeRouteTable(Table);

  CHECK(Body.find(R"("level":[0,1,250,1500])") != std::string::npos);
  CHECK(Body.find(R"("flow_limits":{"ledger":600})") != std::string::npos);
}

TEST_CASE("a configuration without levels and limits has no fields for them") {
  const std::string Body = encodeRouteTable(tableOf(1, {"ledger"}));

  CHECK(Body.find("level") == std::string::npos);
  CHECK(Body.find("flow_limits") == std::string::npos);
}

TEST_CASE("absent levels and limits are decoded as none") {
  // An earlier version has encoded the table.
  const result<route_table> Table = decode(
      R"({"marjoramrail_routes":1,"version":1,"idle_us":1,"groups":[
          {"shares":[["ledger",1]],"addresses":{"80":[7]}}]})");

  REQUIRE(Table);
  REQUIRE(Table->Routes.size() == 1);
  CHECK_FALSE(Table->Routes[0].Level);
  CHECK(Table->FlowLimits.empty());
}

TEST_CASE("routes of the same level share a group") {
  // A group for each route would make the copy of 46,000 routes many times
  // larger.
  for (const std::size_t Levels : {3, 40}) {
    route_table Table;
    for (std::uint32_t I = 0; I < 1000; ++I) {
      service_level Level = Urgent;
      Level.Priority = static_cast<std::uint8_t>(I % Levels);
      Table.Routes.push_back({{I, 443}, {share("ledger")}, {}, Level});
    }

    const std::string Body = encodeRouteTable(Table);

    std::size_t Groups = 0;
    for (std::size_t At = Body.find("\"level\""); At != std::string::npos;
         At = Body.find("\"level\"", At + 1))
      ++Groups;
    CHECK(Groups == Levels);
  }
}

TEST_CASE("a malformed level is rejected with a reason that names it") {
  // If it were dropped, the routes would lose their level at this balancer
  // alone.
  REQUIRE_FALSE(isRefused(bodyWith("[255,1,4294967295,4294967295]")));
  for (const char *Level :
       {"null", "7", "{}", "[]", "[0,1,250]", "[0,1,250,1500,0]",
        "[256,1,250,1500]", "[-1,1,250,1500]", "[0,2,250,1500]",
        "[0,true,250,1500]", "[0,1,4294967296,1500]", "[0,1,250,4294967296]",
        "[0,1,2.5,1500]", "[0,1,\"250\",1500]"})
    CHECK_MESSAGE(reasonOf(bodyWith(Level)).find("level") != std::string::npos,
                  Level);
}

TEST_CASE("malformed flow limits are rejected with a reason that names them") {
  for (const char *Limits :
       {"null", "7", "[]", R"({"ledger":-1})", R"({"ledger":1.5})",
        R"({"ledger":"1"})", R"({"ledger":4294967296})"})
    CHECK_MESSAGE(reasonOf(bodyWith("[0,1,250,1500]",
                                    R"(,"flow_limits":)" + std::string(Limits)))
                          .find("flow_limits") != std::string::npos,
                  Limits);
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
