//===- lookup_cursor.h - Position of an owner lookup ------------*- C++ -*-===//
///
/// \file
/// A service may have more targets than one list can name. The packet then
/// carries how many agents of the flow's order the lists have named so far, and
/// a fingerprint of these. The balancer stores nothing: it computes the order
/// again when the packet comes back, and the fingerprint shows whether the
/// agents not yet listed are still exactly the rest of that order.
///
/// Without the fingerprint, a target that joins or leaves during the lookup
/// would shift the order. The flow's owner could then be in none of the lists,
/// and the flow would be reset although its owner is running.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_LOOKUP_CURSOR_H
#define MARJORAMRAIL_FORWARD_LOOKUP_CURSOR_H

#include <cstdint>

namespace marjoramrail::internal {

/// Identifies one of the last two versions of the order of agents in lookups. A
/// lookup keeps the version it began with.
enum class order_parity : std::uint8_t { Even = 0, Odd = 1 };

struct lookup_cursor {
  /// Number of agents of the flow's order that were listed; 15 bits.
  std::uint16_t Listed = 0;
  order_parity Parity = order_parity::Even;
  /// A hash of these agents in their order; 48 bits.
  std::uint64_t Fingerprint = 0;

  bool operator==(const lookup_cursor &) const = default;
};

inline constexpr int FingerprintBits = 48;
inline constexpr int ListedShift = FingerprintBits + 1;
inline constexpr std::uint64_t FingerprintMask =
    (std::uint64_t{1} << FingerprintBits) - 1;

/// Encodes \p Cursor for routed_packet::Version.
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
