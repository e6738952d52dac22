#include "wire/sample_packet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::test;

static const silence_notice Notice{service_id(3), {0x0a000009, 7000}};

static byte_string encoded() {
  byte_string Buffer(SilenceNoticeBytes);
  REQUIRE(encodeSilenceNotice(Notice, Buffer) == SilenceNoticeBytes);
  return Buffer;
}

static packet_fault faultOf(const byte_string &Bytes) {
  silence_notice Back;
  return decodeSilenceNotice(Bytes, Back);
}

TEST_CASE("decodeSilenceNotice reads what encodeSilenceNotice wrote") {
  silence_notice Back;

  REQUIRE(decodeSilenceNotice(encoded(), Back) == packet_fault::None);

  CHECK(Back == Notice);
  CHECK(isSilenceNotice(encoded()));
  CHECK_FALSE(isOwnerNotice(encoded()));
}

TEST_CASE("decodeSilenceNotice tells by reason what it refuses") {
  // A forged or damaged notice would send packets by a detour.
  byte_string Bytes = encoded();

  SUBCASE("too short") {
    Bytes.pop_back();
    CHECK(faultOf(Bytes) == packet_fault::Truncated);
    CHECK_FALSE(isSilenceNotice(Bytes));
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
