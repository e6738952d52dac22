#include "wire/sample_packet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::test;

static const unresponsive_notice Notice{service_id(3), {0x0a000009, 7000}};

static byte_string encoded() {
  byte_string Buffer(UnresponsiveNoticeBytes);
  REQUIRE(encodeUnresponsiveNotice(Notice, Buffer) == UnresponsiveNoticeBytes);
  return Buffer;
}

static packet_fault faultOf(const byte_string &Bytes) {
  unresponsive_notice Back;
  return decodeUnresponsiveNotice(Bytes, Back);
}

TEST_CASE(
    "decodeUnresponsiveNotice reads what encodeUnresponsiveNotice wrote") {
  unresponsive_notice Back;

  REQUIRE(decodeUnresponsiveNotice(encoded(), Back) == packet_fault::None);

  CHECK(Back == Notice);
  CHECK(isUnresponsiveNotice(encoded()));
  CHECK_FALSE(isOwnerNotice(encoded()));
}

TEST_CASE("decodeUnresponsiveNotice reports why it rejects a notice") {
  // Because of a forged or damaged notice, a balancer would avoid an agent that
  // responds, and packets would take a longer path.
  byte_string Bytes = encoded();

  SUBCASE("too short") {
    Bytes.pop_back();
    CHECK(faultOf(Bytes) == packet_fault::Truncated);
    CHECK_FALSE(isUnresponsiveNotice(Bytes));
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
