#include "directory/peer_greeting.h"

#include "wire/byte_order.h"

namespace marjoramrail::internal {

/// u16 magic | u8 format | u8 reply | i64 asked | u32, u16 self | u32 zone |
/// 2 x (u64 version, u64 change, i64 age) | u64 changes since | changes as the
/// product's object list, or nothing
static constexpr std::uint16_t GreetingMagic = 0x4d47;
static constexpr std::uint8_t GreetingFormat = 2;
static constexpr std::size_t FixedBytes = 2 + 1 + 1 + 8 + 6 + 4 + 2 * 24 + 8;

static std::string changesOf(const peer_greeting &Greeting) {
  if (!Greeting.Changes)
    return "";
  platform_reply List;
  List.Objects = *Greeting.Changes;
  List.StoreVersion = Greeting.Site.Version;
  std::string Text = encodeObjectList(List);
  return FixedBytes + Text.size() > MaxGreetingBytes ? "" : Text;
}

std::vector<std::uint8_t> encodeGreeting(const peer_greeting &Greeting) {
  const std::string Changes = changesOf(Greeting);
  std::vector<std::uint8_t> Bytes(FixedBytes + Changes.size());
  byte_writer Writer(Bytes.data());
  Writer.put(GreetingMagic);
  Writer.put(GreetingFormat);
  Writer.put(static_cast<std::uint8_t>(Greeting.IsReply));
  Writer.put(static_cast<std::uint64_t>(Greeting.AskedUs));
  Writer.put(Greeting.Self);
  Writer.put(Greeting.Zone);
  for (const kind_knowledge &Kind : {Greeting.Routes, Greeting.Site}) {
    Writer.put(Kind.Version);
    Writer.put(Kind.LastChange);
    Writer.put(static_cast<std::uint64_t>(Kind.AgeUs));
  }
  Writer.put(Greeting.ChangesSince);
  std::copy(Changes.begin(), Changes.end(), Writer.position());
  return Bytes;
}

bool isGreeting(std::span<const std::uint8_t> Bytes) {
  return Bytes.size() >= FixedBytes &&
         byte_reader(Bytes.data()).take<std::uint16_t>() == GreetingMagic;
}

std::optional<peer_greeting>
decodeGreeting(std::span<const std::uint8_t> Bytes) {
  if (!isGreeting(Bytes))
    return std::nullopt;
  byte_reader Reader(Bytes.data());
  Reader.take<std::uint16_t>();
  if (Reader.take<std::uint8_t>() != GreetingFormat)
    return std::nullopt;
  peer_greeting Greeting;
  Greeting.IsReply = Reader.take<std::uint8_t>() != 0;
  Greeting.AskedUs = static_cast<std::int64_t>(Reader.take<std::uint64_t>());
  Greeting.Self = Reader.takeEndpoint();
  Greeting.Zone = Reader.take<std::uint32_t>();
  for (kind_knowledge *Kind : {&Greeting.Routes, &Greeting.Site}) {
    Kind->Version = Reader.take<std::uint64_t>();
    Kind->LastChange = Reader.take<std::uint64_t>();
    Kind->AgeUs = static_cast<std::int64_t>(Reader.take<std::uint64_t>());
  }
  Greeting.ChangesSince = Reader.take<std::uint64_t>();
  const auto Tail = Bytes.subspan(FixedBytes);
  if (Tail.empty())
    return Greeting;
  platform_reply List;
  const std::string_view Text(reinterpret_cast<const char *>(Tail.data()),
                              Tail.size());
  if (!decodeObjectList(Text, List))
    return std::nullopt;
  Greeting.Changes = std::move(List.Objects);
  return Greeting;
}

} // namespace marjoramrail::internal
