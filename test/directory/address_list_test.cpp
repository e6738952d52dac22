#include "directory/address_list.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using nlohmann::json;

TEST_CASE("addresses are encoded and decoded unchanged") {
  const std::vector<endpoint> Addresses = {
      {0, 1}, {1, 443}, {0xc6120001, 443}, {0xffffffff, 443}, {7, 65535}};

  auto Decoded = decodeAddresses(encodeAddresses(Addresses));

  REQUIRE(Decoded);
  std::sort(Decoded->begin(), Decoded->end());
  std::vector<endpoint> Expected = Addresses;
  std::sort(Expected.begin(), Expected.end());
  CHECK(*Decoded == Expected);
}

TEST_CASE("adjacent addresses are encoded in few bytes") {
  std::vector<endpoint> Addresses;
  for (std::uint32_t I = 0; I < 1000; ++I)
    Addresses.push_back({0xc6120001 + I, 443});

  CHECK(encodeAddresses(Addresses).dump().size() < 3000);
}

TEST_CASE("an empty list is an empty object") {
  CHECK(encodeAddresses({}) == json::object());
  CHECK(decodeAddresses(json::object())->empty());
}

TEST_CASE("malformed address lists are rejected") {
  // Another writer or an older version may have written the object.
  for (const char *Broken :
       {"[]", "7", R"({"x": []})", R"({"443": 7})", R"({"443": [-1]})",
        R"({"443": ["1"]})", R"({"70000": [1]})", R"({"-1": [1]})",
        R"({"443 ": [1]})", R"({"443": [4294967296]})",
        R"({"443": [4294967295, 1]})", R"({"443": [1.5]})"})
    CHECK_FALSE_MESSAGE(decodeAddresses(json::parse(Broken)), Broken);
}
