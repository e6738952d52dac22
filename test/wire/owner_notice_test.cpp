#include "wire/sample_packet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::test;

static const owner_notice Notice{service_id(3),
                                 99,
                                 {{0x0a000001, 40000}, {0x0a640001, 443}},
                                 {0x0a000009, 7000}};

static byte_string encoded() {
  byte_string Buffer(OwnerNoticeBytes);
  REQUIRE(encodeOwnerNotice(Notice, Buffer) == OwnerNoticeBytes);
  return Buffer;
}

static packet_fault faultOf(const byte_string &Bytes) {
  owner_notice Back;
  return decodeOwnerNotice(Bytes, Back);
}

TEST_CASE("decodeOwnerNotice reads what encodeOwnerNotice wrote") {
  owner_notice Back;

  REQUIRE(decodeOwnerNotice(encoded(), Back) == packet_fault::None);

  CHECK(Back == Notice);
}

TEST_CASE("packets of callers are not mistaken for owner notices") {
  // Both arrive on the same port. The first byte of a notice, read as IPv4,
  // means a header of 52 bytes, so an IPv4 packet with this first byte is
  // longer than a notice.
  byte_string Packet = samplePacket(Notice.Flow, AckBit, 32);
  Packet[0] = 0x4d;
  Packet[1] = 0x4f;
  tcp_packet Parsed;

  CHECK_FALSE(isOwnerNotice(Packet));
  CHECK(isOwnerNotice(encoded()));
  CHECK(parseTcpPacket(encoded(), Parsed) != packet_fault::None);
}

TEST_CASE("decodeOwnerNotice reports why it rejects a notice") {
  // A forged or damaged notice would direct a flow's packets to a wrong agent.
  byte_string Bytes = encoded();

  SUBCASE("too short") {
    Bytes.pop_back();
    CHECK(faultOf(Bytes) == packet_fault::Truncated);
  }
  SUBCASE("too long") {
    Bytes.push_back(0);
    CHECK(faultOf(Bytes) == packet_fault::BadLength);
  }
  SUBCASE("another magic number") {
    Bytes[1] = 0x52;
    CHECK(faultOf(Bytes) == packet_fault::BadMagic);
  }
  SUBCASE("another format") {
    Bytes[2] = 2;
    CHECK(faultOf(Bytes) == packet_fault::BadFormat);
  }
  SUBCASE("a field that must be zero") {
    Bytes[3] = 1;
    CHECK(faultOf(Bytes) == packet_fault::BadFormat);
  }
}
