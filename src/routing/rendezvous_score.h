//===- rendezvous_score.h - A host's score for a flow -----------*- C++ -*-===//
///
/// \file
/// Weighted rendezvous hashing (Thaler and Ravishankar; the weighted form by
/// Schindelhauer and Schomaker): a host's score for a flow is -ln(h) / w, where
/// h is a uniform hash of both and w is its weight. The host with the lowest
/// score owns the flow. This is the same order as the highest -w / ln(h).
///
/// The logarithm is computed in integers, because balancers must agree on every
/// flow without communicating, and the log() of different C library versions
/// may round differently.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_ROUTING_RENDEZVOUS_SCORE_H
#define MARJORAMRAIL_ROUTING_RENDEZVOUS_SCORE_H

#include "marjoramrail/routing.h"

#include <array>
#include <bit>
#include <cstdint>

namespace marjoramrail::internal {

/// Fractional bits of logarithms and of inverse weights. The integer part of a
/// logarithm takes 6 bits, so the product of both takes 58.
inline constexpr unsigned LogBits = 28;
inline constexpr unsigned InverseBits = 24;
/// Logarithms between two table entries are interpolated. With 256 entries the
/// error is below 3e-6, far less than a host's share of the flow space.
inline constexpr unsigned TableBits = 8;

/// The binary logarithm of \p Value in [1, 2), which is given with 31
/// fractional bits, by repeated squaring.
constexpr std::uint32_t log2OfMantissa(std::uint64_t Value) {
  constexpr std::uint64_t Two = std::uint64_t(1) << 32;
  std::uint32_t Log = 0;
  for (unsigned Bit = LogBits; Bit-- > 0;) {
    Value = Value * Value >> 31;
    if (Value < Two)
      continue;
    Value >>= 1;
    Log |= std::uint32_t(1) << Bit;
  }
  return Log;
}

consteval auto makeLogTable() {
  constexpr std::size_t Size = std::size_t(1) << TableBits;
  std::array<std::uint32_t, Size + 1> Table{};
  for (std::size_t I = 0; I < Size; ++I)
    Table[I] = log2OfMantissa((std::uint64_t(1) << 31) +
                              (std::uint64_t(I) << (31 - TableBits)));
  Table[Size] = std::uint32_t(1) << LogBits;
  return Table;
}

consteval auto makeInverseTable() {
  std::array<std::uint32_t, MaxWeight + 1> Table{};
  for (std::uint32_t Weight = 1; Weight <= MaxWeight; ++Weight)
    Table[Weight] = ((std::uint32_t(1) << InverseBits) + Weight / 2) / Weight;
  return Table;
}

inline constexpr auto LogTable = makeLogTable();
inline constexpr auto InverseTable = makeInverseTable();

/// -log2(Hash / 2^64), which is exponentially distributed if \p Hash is
/// uniform. One value serves all generations, which differ only in the weight.
inline std::uint64_t negativeLog(std::uint64_t Hash) {
  const auto Zeros = static_cast<unsigned>(std::countl_zero(Hash | 1));
  const std::uint64_t Mantissa = (Hash | 1) << Zeros;
  const std::uint64_t Index = Mantissa << 1 >> (64 - TableBits);
  const std::uint64_t Fraction = Mantissa << (1 + TableBits) >> 32;
  const std::uint64_t Low = LogTable[Index];
  const std::uint64_t Step = LogTable[Index + 1] - Low;
  const std::uint64_t Log = Low + (Step * Fraction >> 32);
  return (std::uint64_t(Zeros + 1) << LogBits) - Log;
}

/// Score and position in one number, so that the lowest key identifies the best
/// host without a second look-up.
///
/// The key is an integer below 2^62 stored in the bits of a double. Such
/// doubles are finite, not negative and ordered like their bits, and every
/// processor computes their minimum and maximum in single instructions, two at
/// a time. For integers the compiler generates branches, and whether a host
/// ranks among the best is mispredicted every other time.
using score_key = double;

/// \p Weight must not be 0.
inline score_key scoreKey(std::uint64_t NegativeLog, std::uint16_t Weight,
                          std::uint16_t Position) {
  constexpr unsigned Spare = 62 - (LogBits + 6) - InverseBits;
  constexpr std::uint64_t PositionMask = 0xffff;
  const std::uint64_t Score = NegativeLog * InverseTable[Weight] << Spare;
  return std::bit_cast<score_key>((Score & ~PositionMask) | Position);
}

/// Greater than every valid key; the key of a host that is not a member.
inline constexpr score_key NoKey =
    std::bit_cast<score_key>(std::uint64_t(1) << 62);

inline std::uint16_t positionOf(score_key Key) {
  return static_cast<std::uint16_t>(std::bit_cast<std::uint64_t>(Key));
}

/// The lowest keys of each of \p Generations generations, in order. Ranks are
/// rows, so that one step inserts a host into all generations.
template <std::size_t Generations> struct best_keys {
  using row = std::array<score_key, Generations>;
  std::array<row, ChoicesPerGeneration> Ranks;

  best_keys() {
    for (row &Rank : Ranks)
      Rank.fill(NoKey);
  }

  void add(row Keys) {
    for (row &Rank : Ranks)
      for (std::size_t G = 0; G < Generations; ++G) {
        const score_key Held = Rank[G];
        Rank[G] = Keys[G] < Held ? Keys[G] : Held;
        Keys[G] = Keys[G] < Held ? Held : Keys[G];
      }
  }
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_ROUTING_RENDEZVOUS_SCORE_H
