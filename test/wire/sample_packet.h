//===- sample_packet.h - Callers' packets for tests -------------*- C++ -*-===//
///
/// \file
/// Builds IPv4/TCP packets byte by byte, independently of the code under test.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_WIRE_SAMPLE_PACKET_H
#define MARJORAMRAIL_TEST_WIRE_SAMPLE_PACKET_H

#include "marjoramrail/wire.h"

namespace marjoramrail::test {

using byte_string = std::vector<std::uint8_t>;

inline constexpr std::uint8_t FinBit = 0x01;
inline constexpr std::uint8_t SynBit = 0x02;
inline constexpr std::uint8_t RstBit = 0x04;
inline constexpr std::uint8_t AckBit = 0x10;

inline void put16(byte_string &Bytes, std::size_t At, std::uint32_t Value) {
  Bytes[At] = static_cast<std::uint8_t>(Value >> 8);
  Bytes[At + 1] = static_cast<std::uint8_t>(Value);
}

inline void put32(byte_string &Bytes, std::size_t At, std::uint32_t Value) {
  put16(Bytes, At, Value >> 16);
  put16(Bytes, At + 2, Value & 0xffff);
}

/// Returns a packet that the caller of \p Flow sends. Its checksums are zero.
inline byte_string samplePacket(const flow_key &Flow, std::uint8_t Flags,
                                std::size_t Payload = 0,
                                std::uint32_t Sequence = 1000,
                                std::uint32_t Acknowledged = 5000) {
  byte_string Bytes(40 + Payload);
  Bytes[0] = 0x45;
  put16(Bytes, 2, static_cast<std::uint32_t>(Bytes.size()));
  Bytes[8] = 64;
  Bytes[9] = 6;
  put32(Bytes, 12, Flow.Caller.Address);
  put32(Bytes, 16, Flow.Service.Address);
  put16(Bytes, 20, Flow.Caller.Port);
  put16(Bytes, 22, Flow.Service.Port);
  put32(Bytes, 24, Sequence);
  put32(Bytes, 28, (Flags & AckBit) != 0 ? Acknowledged : 0);
  Bytes[32] = 0x50;
  Bytes[33] = Flags;
  return Bytes;
}

} // namespace marjoramrail::test

#endif // MARJORAMRAIL_TEST_WIRE_SAMPLE_PACKET_H
