//===- byte_order.h - Integers in network byte order ------------*- C++ -*-===//
///
/// \file
/// Writes and reads big-endian integers in a buffer. The caller must have
/// checked the size of the buffer.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_WIRE_BYTE_ORDER_H
#define MARJORAMRAIL_WIRE_BYTE_ORDER_H

#include "marjoramrail/base.h"

#include <concepts>
#include <cstddef>
#include <cstdint>

namespace marjoramrail::internal {

class byte_writer {
public:
  explicit byte_writer(std::uint8_t *Start) : Next(Start) {}

  template <std::unsigned_integral T> void put(T Value) {
    for (int Shift = int(sizeof(T) - 1) * 8; Shift >= 0; Shift -= 8)
      *Next++ = static_cast<std::uint8_t>(Value >> Shift);
  }

  void put(const endpoint &Endpoint) {
    put(Endpoint.Address);
    put(Endpoint.Port);
  }

  std::uint8_t *position() const { return Next; }

private:
  std::uint8_t *Next;
};

class byte_reader {
public:
  explicit byte_reader(const std::uint8_t *Start) : Next(Start) {}

  template <std::unsigned_integral T> T take() {
    std::uint64_t Value = 0;
    for (std::size_t I = 0; I < sizeof(T); ++I)
      Value = Value << 8 | *Next++;
    return static_cast<T>(Value);
  }

  endpoint takeEndpoint() {
    const auto Address = take<std::uint32_t>();
    return {Address, take<std::uint16_t>()};
  }

private:
  const std::uint8_t *Next;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_WIRE_BYTE_ORDER_H
