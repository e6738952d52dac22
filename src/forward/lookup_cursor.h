//===- lookup_cursor.h - How far a packet's walk has come ---------*- C++
//-*-===//
///
/// \file
/// A service may have more targets than one list can name. The packet then
/// carries how many of the flow's order the lists have named so far, and a
/// fingerprint of them. The balancer keeps nothing of it: it works the order
/// out again when the packet comes back, and the fingerprint tells whether
/// those left out until now are still exactly the rest.
///
/// Without the fingerprint a target that joins or leaves in between would shift
/// the order, the flow's owner might be asked by no list, and the flow be reset
/// although its owner is well.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_LOOKUP_CURSOR_H
#define MARJORAMRAIL_FORWARD_LOOKUP_CURSOR_H

#include <cstdint>

namespace marjoramrail::internal {

/// The last two states of who stands behind the others in walks; a walk keeps
/// to the one that it began with.
enum class order_parity : std::uint8_t { Even = 0, Odd = 1 };

struct lookup_cursor {
  /// Agents of the flow's order that were named; 15 bits.
  std::uint16_t Listed = 0;
  order_parity Parity = order_parity::Even;
  /// A hash of them in their order; 48 bits.
  std::uint64_t Fingerprint = 0;

  bool operator==(const lookup_cursor &) const = default;
};

inline constexpr int FingerprintBits = 48;
inline constexpr int ListedShift = FingerprintBits + 1;
inline constexpr std::uint64_t FingerprintMask =
    (std::uint64_t{1} << FingerprintBits) - 1;

/// As routed_packet::Version carries it.
inline std::uint64_t encodeCursor(const lookup_cursor &Cursor) {
  const auto Parity = static_cast<std::uint64_t>(Cursor.Parity);
  return std::uint64_t{Cursor.Listed} << ListedShift |
         Parity << FingerprintBits | Cursor.Fingerprint;
}

inline lookup_cursor decodeCursor(std::uint64_t Version) {
  return {static_cast<std::uint16_t>(Version >> ListedShift),
          static_cast<order_parity>(Version >> FingerprintBits & 1),
          Version & FingerprintMask};
}

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_LOOKUP_CURSOR_H
