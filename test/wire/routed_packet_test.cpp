#include "wire/sample_packet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::test;

static const byte_string Inner{1, 2, 3, 4, 5};

static routed_packet sampleRouted() {
  routed_packet Routed;
  Routed.Service = service_id(7);
  Routed.Version = 0x0102030405060708;
  Routed.Flags = static_cast<std::uint8_t>(routed_flag::Stale);
  Routed.Position = 1;
  Routed.Count = 2;
  Routed.Balancer = {0x0a000009, 4000};
  Routed.Owners[0] = {0x0a000001, 4000};
  Routed.Owners[1] = {0x0a000002, 4001};
  Routed.Packet = Inner;
  return Routed;
}

static byte_string encoded(const routed_packet &Routed) {
  byte_string Buffer(MaxRoutedBytes);
  Buffer.resize(encodeRouted(Routed, Buffer));
  return Buffer;
}

static packet_fault faultOf(const byte_string &Bytes) {
  routed_packet Routed;
  return decodeRouted(Bytes, Routed);
}

TEST_CASE("decodeRouted reads what encodeRouted wrote") {
  const byte_string Bytes = encoded(sampleRouted());
  routed_packet Back;

  REQUIRE(decodeRouted(Bytes, Back) == packet_fault::None);

  CHECK(Bytes.size() == 24 + 2 * 6 + 5);
  CHECK(Back.Service == service_id(7));
  CHECK(Back.Version == 0x0102030405060708);
  CHECK(Back.has(routed_flag::Stale));
  CHECK_FALSE(Back.has(routed_flag::HandedOn));
  CHECK(Back.Position == 1);
  CHECK(Back.Count == 2);
  CHECK(Back.Balancer == endpoint{0x0a000009, 4000});
  CHECK(Back.Owners[1] == endpoint{0x0a000002, 4001});
  CHECK(byte_string(Back.Packet.begin(), Back.Packet.end()) == Inner);
}

TEST_CASE("encodeRouted writes nothing that decodeRouted would reject") {
  routed_packet Routed = sampleRouted();
  byte_string Small(20);

  CHECK(encodeRouted(Routed, Small) == 0);
  Routed.Count = MaxRoutedOwners + 1;
  CHECK(encoded(Routed).empty());
  Routed.Count = 1;
  const byte_string Large(MaxPacketBytes + 1);
  Routed.Packet = Large;
  CHECK(encoded(Routed).empty());
}

TEST_CASE("decodeRouted reports why it rejects a datagram") {
  // Forged or damaged datagrams. An agent that accepted them could forward
  // packets in a loop or to foreign hosts.
  byte_string Bytes = encoded(sampleRouted());

  SUBCASE("every truncation down to an empty inner packet") {
    for (std::size_t Size = 0; Size <= 24 + 2 * 6; ++Size)
      CHECK(faultOf({Bytes.begin(), Bytes.begin() + Size}) ==
            packet_fault::Truncated);
  }
  SUBCASE("another magic number") {
    Bytes[0] = 0;
    CHECK(faultOf(Bytes) == packet_fault::BadMagic);
  }
  SUBCASE("another format") {
    Bytes[2] = 3;
    CHECK(faultOf(Bytes) == packet_fault::BadFormat);
  }
  SUBCASE("more owners than a list holds") {
    Bytes[17] = MaxRoutedOwners + 1;
    CHECK(faultOf(Bytes) == packet_fault::TooManyOwners);
  }
  SUBCASE("a position past the list") {
    Bytes[16] = 2;
    CHECK(faultOf(Bytes) == packet_fault::BadPosition);
  }
  SUBCASE("an inner packet larger than the fabric's largest") {
    Bytes.resize(24 + 2 * 6 + MaxPacketBytes + 1);
    CHECK(faultOf(Bytes) == packet_fault::BadLength);
  }
}

TEST_CASE("decodeRouted accepts a position past the list if Extended is set") {
  routed_packet Routed = sampleRouted();
  Routed.Position = 2;
  Routed.Flags = static_cast<std::uint8_t>(routed_flag::Extended);

  CHECK(faultOf(encoded(Routed)) == packet_fault::None);
}

static routed_packet sampleWithLevel() {
  using namespace std::chrono_literals;
  routed_packet Routed = sampleRouted();
  Routed.Level = stated_level{
      {.Priority = 2, .Repeatable = true, .LatencyAim = 250ms, .TimeLimit = 3s},
      2000,
      0x1122334455667788};
  Routed.SubstituteWait = 12ms;
  return Routed;
}

TEST_CASE("a service level precedes the caller's packet in format 2") {
  const byte_string Bytes = encoded(sampleWithLevel());
  routed_packet Back;

  REQUIRE(decodeRouted(Bytes, Back) == packet_fault::None);

  CHECK(Bytes[2] == 2);
  CHECK(Bytes.size() == 24 + 2 * 6 + RoutedLevelBytes + 5);
  CHECK(Back.Level == sampleWithLevel().Level);
  CHECK(Back.SubstituteWait == sampleWithLevel().SubstituteWait);
  CHECK(byte_string(Back.Packet.begin(), Back.Packet.end()) == Inner);
}

TEST_CASE("a packet without a service level removes that of an earlier one") {
  // Packets are decoded into a variable that is used again.
  routed_packet Back;
  REQUIRE(decodeRouted(encoded(sampleWithLevel()), Back) == packet_fault::None);
  REQUIRE(decodeRouted(encoded(sampleRouted()), Back) == packet_fault::None);
  CHECK_FALSE(Back.Level);
}

TEST_CASE("a truncated service level is rejected") {
  const byte_string Bytes = encoded(sampleWithLevel());
  for (std::size_t Size = 0; Size <= 24 + 2 * 6 + RoutedLevelBytes; ++Size)
    CHECK(faultOf({Bytes.begin(), Bytes.begin() + Size}) ==
          packet_fault::Truncated);
}

TEST_CASE("an unknown and a very long substitute wait are told apart") {
  using namespace std::chrono_literals;
  routed_packet Routed = sampleWithLevel();
  routed_packet Back;

  Routed.SubstituteWait = 1h;
  REQUIRE(decodeRouted(encoded(Routed), Back) == packet_fault::None);
  CHECK(Back.SubstituteWait == MaxSubstituteWait);
  Routed.SubstituteWait.reset();
  REQUIRE(decodeRouted(encoded(Routed), Back) == packet_fault::None);
  CHECK_FALSE(Back.SubstituteWait);
}
