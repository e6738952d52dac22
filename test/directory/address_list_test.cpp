#include "directory/address_list.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using nlohmann::json;

TEST_CASE("addresses come back as they were") {
  const std::vector<endpoint> Addresses = {
      {0, 1}, {1, 443}, {0xc6120001, 443}, {0xffffffff, 443}, {7, 65535}};

  auto Decoded = decodeAddresses(encodeAddresses(Addresses));

  REQUIRE(Decoded);
  std::sort(Decoded->begin(), Decoded->end());
  std::vector<endpoint> Expected = Addresses;
  std::sort(Expected.begin(), Expected.end());
  CHECK(*Decoded == Expected);
}

TEST_CASE("addresses that stand together take little") {
  std::vector<endpoint> Addresses;
  for (std::uint32_t I = 0; I < 1000; ++I)
    Addresses.push_back({0xc6120001 + I, 443});

  CHECK(encodeAddresses(Addresses).dump().size() < 3000);
}

TEST_CASE("no addresses are an empty object") {
  CHECK(encodeAddresses({}) == json::object());
  CHECK(decodeAddresses(json::object())->empty());
}

TEST_CASE("what is no list of addresses is refused") {
  // Another writer, or an older program, may have written the object.
  for (const char *Broken :
       {"[]", "7", R"({"x": []})", R"({"443": 7})", R"({"443": [-1]})",
        R"({"443": ["1"]})", R"({"70000": [1]})", R"({"-1": [1]})",
        R"({"443 ": [1]})", R"({"443": [4294967296]})",
        R"({"443": [4294967295, 1]})", R"({"443": [1.5]})"})
    CHECK_FALSE_MESSAGE(decodeAddresses(json::parse(Broken)), Broken);
}
