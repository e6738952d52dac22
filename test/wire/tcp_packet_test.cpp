#include "wire/sample_packet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::test;

static const flow_key Flow{{0x0a000001, 40000}, {0x0a640001, 443}};

static packet_fault faultOf(const byte_string &Bytes) {
  tcp_packet Packet;
  return parseTcpPacket(Bytes, Packet);
}

TEST_CASE(
    "parseTcpPacket reads flow, sequence numbers, flags and payload size") {
  tcp_packet Packet;

  const auto Fault =
      parseTcpPacket(samplePacket(Flow, FinBit | AckBit, 7), Packet);

  CHECK(Fault == packet_fault::None);
  CHECK(Packet.Flow == Flow);
  CHECK(Packet.Sequence == 1000);
  CHECK(Packet.Acknowledged == 5000);
  CHECK(Packet.Fin);
  CHECK(Packet.Ack);
  CHECK_FALSE(Packet.Syn);
  CHECK_FALSE(Packet.Rst);
  CHECK(Packet.Payload == 7);
}

TEST_CASE("parseTcpPacket does not count header options as payload") {
  byte_string Bytes = samplePacket(Flow, SynBit, 11);
  Bytes.insert(Bytes.begin() + 20, 8, 0); // IPv4 options
  Bytes[0] = 0x47;
  put16(Bytes, 2, static_cast<std::uint32_t>(Bytes.size()));
  Bytes[40] = 0x60; // 4 bytes of the payload become TCP options
  tcp_packet Packet;

  const auto Fault = parseTcpPacket(Bytes, Packet);

  CHECK(Fault == packet_fault::None);
  CHECK(Packet.Flow == Flow);
  CHECK(Packet.opensFlow());
  CHECK(Packet.Payload == 7);
}

TEST_CASE("parseReturnPacket takes the destination as the caller") {
  const flow_key Reversed{Flow.Service, Flow.Caller};
  tcp_packet Packet;

  const auto Fault =
      parseReturnPacket(samplePacket(Reversed, SynBit | AckBit), Packet);

  CHECK(Fault == packet_fault::None);
  CHECK(Packet.Flow == Flow);
  CHECK_FALSE(Packet.opensFlow());
}

TEST_CASE("parseTcpPacket rejects every truncation of a packet") {
  // A datagram was truncated on the network. A parser that reads past its end
  // would use the ports of another flow that are still in the buffer, and the
  // packet would be routed to a wrong target.
  const byte_string FullPacket = samplePacket(Flow, AckBit, 5);
  for (std::size_t Size = 0; Size < FullPacket.size(); ++Size)
    CHECK(faultOf({FullPacket.begin(), FullPacket.begin() + Size}) ==
          packet_fault::Truncated);
}

TEST_CASE("parseTcpPacket reports why it rejects a packet") {
  // Packets of a faulty or hostile sender. Other users are not affected; the
  // operator sees the counter of the reason increase.
  byte_string Bytes = samplePacket(Flow, AckBit);

  SUBCASE("another IP version") {
    Bytes[0] = 0x65;
    CHECK(faultOf(Bytes) == packet_fault::NotIpv4);
  }
  SUBCASE("an IPv4 header shorter than the minimum") {
    Bytes[0] = 0x44;
    CHECK(faultOf(Bytes) == packet_fault::BadLength);
  }
  SUBCASE("bytes past the packet's own length") {
    Bytes.push_back(0);
    CHECK(faultOf(Bytes) == packet_fault::BadLength);
  }
  SUBCASE("more than the fabric's largest packet") {
    CHECK(faultOf(samplePacket(Flow, AckBit, MaxPacketBytes - 39)) ==
          packet_fault::BadLength);
  }
  SUBCASE("a TCP header shorter than the minimum") {
    Bytes[32] = 0x40;
    CHECK(faultOf(Bytes) == packet_fault::BadLength);
  }
  SUBCASE("a TCP header past the packet's end") {
    Bytes[32] = 0xf0;
    CHECK(faultOf(Bytes) == packet_fault::Truncated);
  }
  SUBCASE("an IPv4 header past the packet's end") {
    Bytes[0] = 0x4f;
    CHECK(faultOf(Bytes) == packet_fault::Truncated);
  }
  SUBCASE("a first fragment") {
    Bytes[6] = 0x20;
    CHECK(faultOf(Bytes) == packet_fault::Fragment);
  }
  SUBCASE("a later fragment") {
    Bytes[7] = 0x01;
    CHECK(faultOf(Bytes) == packet_fault::Fragment);
  }
  SUBCASE("another protocol") {
    Bytes[9] = 17;
    CHECK(faultOf(Bytes) == packet_fault::NotTcp);
  }
}
