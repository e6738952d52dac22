#include "forward/held_packets.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;

namespace {

/// Holds packets of flows that are told apart by the caller's port. The bytes
/// of a packet begin with the last byte of its sequence number.
struct held_fixture {
  held_packets Held;
  std::vector<std::uint32_t> Delivered;

  static tcp_packet packet(std::uint16_t Port, std::uint32_t Sequence,
                           std::uint16_t Payload = 100) {
    tcp_packet Head;
    Head.Flow = {{0x64400007, Port}, {0x0a00ff01, 443}};
    Head.Sequence = Sequence;
    Head.Payload = Payload;
    return Head;
  }

  held_packets::verdict add(const tcp_packet &Head, std::size_t Size = 134) {
    std::vector<std::uint8_t> Bytes(Size);
    Bytes.front() = static_cast<std::uint8_t>(Head.Sequence);
    routed_packet Routed;
    Routed.Count = 1;
    Routed.Packet = Bytes;
    return Held.add(Routed, Head);
  }

  held_packets::receiver receiver() {
    return [this](const routed_packet &Routed, const tcp_packet &Head) {
      CHECK(Routed.Packet.front() == static_cast<std::uint8_t>(Head.Sequence));
      Delivered.push_back(Head.Sequence);
    };
  }
};

} // namespace

TEST_CASE_FIXTURE(held_fixture, "held packets of a flow keep their order") {
  for (const std::uint32_t Sequence : {1000, 1100, 1200})
    CHECK(add(packet(1, Sequence)) == held_packets::verdict::Stored);
  add(packet(2, 9000));

  Held.release(packet(1, 0).Flow, receiver());

  CHECK(Delivered == std::vector<std::uint32_t>{1000, 1100, 1200});
  CHECK_FALSE(Held.holds(packet(1, 0).Flow));
  CHECK(Held.holds(packet(2, 0).Flow));
}

TEST_CASE_FIXTURE(held_fixture, "a retransmitted packet is held once") {
  // The caller gets no acknowledgement while its request waits, and sends it
  // again every few hundred milliseconds. The target must not get each copy.
  add(packet(1, 1000, 200));
  CHECK(add(packet(1, 1000, 200)) == held_packets::verdict::Duplicate);
  CHECK(add(packet(1, 1100, 100)) == held_packets::verdict::Duplicate);
  CHECK(add(packet(1, 1100, 200)) == held_packets::verdict::Stored);

  Held.release(packet(1, 0).Flow, receiver());

  CHECK(Delivered.size() == 2);
}

TEST_CASE_FIXTURE(held_fixture, "copies are recognised when numbers wrap") {
  add(packet(1, 0xffffffc0, 100));
  CHECK(add(packet(1, 0xfffffff0, 52)) == held_packets::verdict::Duplicate);
  CHECK(add(packet(1, 0x00000010, 20)) == held_packets::verdict::Duplicate);
  CHECK(add(packet(1, 0x00000024, 20)) == held_packets::verdict::Stored);
}

TEST_CASE_FIXTURE(held_fixture, "one flow holds a bounded number of packets") {
  for (std::uint32_t I = 0; I < held_packets::MaxPacketsPerFlow; ++I)
    REQUIRE(add(packet(1, 1000 + I * 100)) == held_packets::verdict::Stored);
  CHECK(add(packet(1, 90'000)) == held_packets::verdict::Full);
  CHECK(add(packet(2, 90'000)) == held_packets::verdict::Stored);
}

TEST_CASE_FIXTURE(held_fixture,
                  "held packets take a bounded amount of memory") {
  // Large requests in an overload: the agent would otherwise exceed its memory
  // and be killed, and every flow of its target would stall.
  std::uint16_t Port = 0;
  while (add(packet(++Port, 1000, 1200), MaxPacketBytes) ==
         held_packets::verdict::Stored)
    REQUIRE(Held.bytes() <= held_packets::MaxBytes);
  CHECK(Held.bytes() + MaxRoutedBytes > held_packets::MaxBytes);

  Held.drop(packet(1, 0).Flow);

  CHECK(add(packet(Port, 1000, 1200), MaxPacketBytes) ==
        held_packets::verdict::Stored);
}

TEST_CASE_FIXTURE(held_fixture, "no bytes are counted when nothing is held") {
  add(packet(1, 1000));
  add(packet(2, 1000));
  add(packet(3, 1000));
  Held.release(packet(1, 0).Flow, receiver());
  Held.drop(packet(2, 0).Flow);
  CHECK(Held.bytes() > 0);
  Held.releaseAll(receiver());

  CHECK(Held.bytes() == 0);
  CHECK(Held.flows() == 0);
  CHECK(Delivered.size() == 2);
}
