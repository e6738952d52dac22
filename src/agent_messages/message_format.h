//===- message_format.h - Head of the short messages ------------*- C++ -*-===//
///
/// \file
/// All messages between agents and balancers begin with a magic number that
/// names their type, and the format.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_AGENT_MESSAGES_MESSAGE_FORMAT_H
#define MARJORAMRAIL_AGENT_MESSAGES_MESSAGE_FORMAT_H

#include "marjoramrail/agent_messages.h"
#include "wire/byte_order.h"

namespace marjoramrail::internal {

inline constexpr std::uint8_t MessageFormat = 1;

/// \p Bytes must have at least three bytes.
inline bool hasMagic(bytes_view Bytes, std::uint16_t Magic) {
  byte_reader Reader(Bytes.data());
  return Reader.take<std::uint16_t>() == Magic &&
         Reader.take<std::uint8_t>() == MessageFormat;
}

/// Encodes a message that consists of the magic number, the format and one
/// byte.
inline std::size_t encodeBare(std::uint16_t Magic, std::uint8_t Byte,
                              std::span<std::uint8_t> Buffer) {
  constexpr std::size_t BareBytes = 4;
  if (Buffer.size() < BareBytes)
    return 0;
  byte_writer Writer(Buffer.data());
  Writer.put(Magic);
  Writer.put(MessageFormat);
  Writer.put(Byte);
  return BareBytes;
}

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_AGENT_MESSAGES_MESSAGE_FORMAT_H
