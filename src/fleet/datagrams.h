//===- datagrams.h - Splits messages into datagrams -------------*- C++ -*-===//
///
/// \file
/// Splits a message over datagrams of at most MaxFleetDatagram bytes and joins
/// them again. Header: u8 'M', u8 'F', u8 format 1, u8 zero, u32 message
/// number, u16 index, u16 count; network byte order.
///
/// If a piece is lost, its message is lost. Nothing is resent at this level,
/// since every message is repeated or requested again by its protocol.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_DATAGRAMS_H
#define MARJORAMRAIL_FLEET_DATAGRAMS_H

#include "marjoramrail/fleet.h"

#include <list>

namespace marjoramrail::internal {

inline constexpr std::size_t DatagramHeaderBytes = 12;
inline constexpr std::size_t PieceBytes =
    MaxFleetDatagram - DatagramHeaderBytes;

/// Calls \p Send for each datagram of \p Message; returns the bytes sent.
std::size_t sendInPieces(fleet_bytes Message, std::uint32_t Number,
                         const std::function<void(fleet_bytes)> &Send);

/// Joins pieces to messages. It holds a bounded number of incomplete messages
/// and drops the oldest, so that a sender that never completes its messages
/// cannot exhaust the memory.
class piece_joiner {
public:
  /// Returns the whole message when \p Datagram was its last missing piece.
  /// Sets \p Fault if the datagram cannot be decoded.
  std::optional<std::vector<std::uint8_t>>
  add(const endpoint &From, fleet_bytes Datagram, bool &Fault);

private:
  struct unfinished {
    endpoint From;
    std::uint32_t Number;
    std::vector<std::vector<std::uint8_t>> Pieces;
    std::size_t Missing;
  };

  static constexpr std::size_t MaxUnfinished = 16;

  std::list<unfinished> Waiting;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_DATAGRAMS_H
