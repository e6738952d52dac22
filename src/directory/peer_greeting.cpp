#include "directory/peer_greeting.h"

#include "wire/byte_order.h"

namespace marjoramrail::internal {

/// u16 magic | u8 format | u8 reply | i64 asked | u32, u16 self |
/// 2 x (u64 change, i64 age) | name
static constexpr std::uint16_t GreetingMagic = 0x4d47;
static constexpr std::uint8_t GreetingFormat = 1;
static constexpr std::size_t FixedBytes = 2 + 1 + 1 + 8 + 6 + 2 * 16;
static constexpr std::size_t MaxNameBytes = 128;

std::vector<std::uint8_t> encodeGreeting(const peer_greeting &Greeting) {
  const std::string Name = Greeting.Name.substr(0, MaxNameBytes);
  std::vector<std::uint8_t> Bytes(FixedBytes + Name.size());
  byte_writer Writer(Bytes.data());
  Writer.put(GreetingMagic);
  Writer.put(GreetingFormat);
  Writer.put(static_cast<std::uint8_t>(Greeting.IsReply));
  Writer.put(static_cast<std::uint64_t>(Greeting.AskedUs));
  Writer.put(Greeting.Self);
  for (const kind_knowledge &Kind : {Greeting.Routes, Greeting.Site}) {
    Writer.put(Kind.LastChange);
    Writer.put(static_cast<std::uint64_t>(Kind.AgeUs));
  }
  std::copy(Name.begin(), Name.end(), Writer.position());
  return Bytes;
}

bool isGreeting(std::span<const std::uint8_t> Bytes) {
  return Bytes.size() >= FixedBytes &&
         byte_reader(Bytes.data()).take<std::uint16_t>() == GreetingMagic;
}

std::optional<peer_greeting>
decodeGreeting(std::span<const std::uint8_t> Bytes) {
  if (!isGreeting(Bytes) || Bytes.size() > FixedBytes + MaxNameBytes)
    return std::nullopt;
  byte_reader Reader(Bytes.data());
  Reader.take<std::uint16_t>();
  if (Reader.take<std::uint8_t>() != GreetingFormat)
    return std::nullopt;
  peer_greeting Greeting;
  Greeting.IsReply = Reader.take<std::uint8_t>() != 0;
  Greeting.AskedUs = static_cast<std::int64_t>(Reader.take<std::uint64_t>());
  Greeting.Self = Reader.takeEndpoint();
  for (kind_knowledge *Kind : {&Greeting.Routes, &Greeting.Site}) {
    Kind->LastChange = Reader.take<std::uint64_t>();
    Kind->AgeUs = static_cast<std::int64_t>(Reader.take<std::uint64_t>());
  }
  const auto Name = Bytes.subspan(FixedBytes);
  Greeting.Name.assign(Name.begin(), Name.end());
  return Greeting;
}

} // namespace marjoramrail::internal
