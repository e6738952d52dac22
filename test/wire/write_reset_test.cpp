#include "wire/sample_packet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::test;

static const flow_key Flow{{0x0a000001, 40000}, {0x0a640001, 443}};

static tcp_packet parsed(const byte_string &Bytes) {
  tcp_packet Packet;
  REQUIRE(parseTcpPacket(Bytes, Packet) == packet_fault::None);
  return Packet;
}

static byte_string resetFor(const byte_string &Bytes) {
  byte_string Buffer(64);
  Buffer.resize(writeReset(parsed(Bytes), Buffer));
  return Buffer;
}

/// Returns the sum that a receiver verifies: 0xffff if the checksum is correct.
static std::uint32_t receivedSum(const byte_string &Bytes, std::uint32_t Sum) {
  for (std::size_t I = 0; I + 1 < Bytes.size(); I += 2)
    Sum += std::uint32_t(Bytes[I]) << 8 | Bytes[I + 1];
  while (Sum >> 16)
    Sum = (Sum & 0xffff) + (Sum >> 16);
  return Sum;
}

TEST_CASE("writeReset takes its sequence number from an acknowledgement") {
  // RFC 9293, 3.10.7.1: the caller's TCP stack accepts the reset only if its
  // sequence number is the one that the caller expects next.
  tcp_packet Reset;

  const byte_string Bytes = resetFor(samplePacket(Flow, AckBit, 10));

  REQUIRE(parseReturnPacket(Bytes, Reset) == packet_fault::None);
  CHECK(Reset.Flow == Flow);
  CHECK(Reset.Rst);
  CHECK_FALSE(Reset.Ack);
  CHECK(Reset.Sequence == 5000);
}

TEST_CASE("writeReset acknowledges a packet without an acknowledgement") {
  tcp_packet Reset;

  const byte_string Bytes = resetFor(samplePacket(Flow, SynBit | FinBit, 10));

  REQUIRE(parseReturnPacket(Bytes, Reset) == packet_fault::None);
  CHECK(Reset.Rst);
  CHECK(Reset.Ack);
  CHECK(Reset.Sequence == 0);
  CHECK(Reset.Acknowledged == 1000 + 10 + 2);
}

TEST_CASE("writeReset writes correct checksums") {
  const byte_string Bytes = resetFor(samplePacket(Flow, AckBit));

  const byte_string Ip(Bytes.begin(), Bytes.begin() + 20);
  const byte_string Tcp(Bytes.begin() + 20, Bytes.end());
  const byte_string Addresses(Bytes.begin() + 12, Bytes.begin() + 20);
  CHECK(receivedSum(Ip, 0) == 0xffff);
  CHECK(receivedSum(Tcp, receivedSum(Addresses, 6 + 20)) == 0xffff);
}

TEST_CASE("writeReset does not respond to a reset") {
  // Two hosts that respond to resets with resets would do so endlessly.
  CHECK(resetFor(samplePacket(Flow, RstBit)).empty());
}

TEST_CASE("writeReset does not change a buffer that is too small") {
  byte_string Buffer(39, 0xaa);

  CHECK(writeReset(parsed(samplePacket(Flow, AckBit)), Buffer) == 0);
  CHECK(Buffer == byte_string(39, 0xaa));
}
