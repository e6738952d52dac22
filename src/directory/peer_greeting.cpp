#include "directory/peer_greeting.h"

#include "base/cbor.h"
#include "wire/byte_order.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

/// u16 magic | u8 format | u8 flags | i64 asked | u32, u16 self | u32 zone |
/// 2 x (u64 version, u64 change, i64 age) | u64 changes since | u64 up to |
/// changes as CBOR, [[name, version, body or null for deleted], ...], or
/// nothing
static constexpr std::uint16_t GreetingMagic = 0x4d47;
static constexpr std::uint8_t GreetingFormat = 4;
static constexpr std::uint8_t ReplyBit = 1;
static constexpr std::uint8_t ServedBit = 2;
static constexpr std::size_t FixedBytes = 2 + 1 + 1 + 8 + 6 + 4 + 2 * 24 + 16;

static json changeAsJson(const platform_object &Object) {
  return {Object.Key.Name, Object.Version,
          Object.Deleted ? json() : json(Object.Body)};
}

static std::vector<std::uint8_t>
encodeChanges(const std::vector<platform_object> &Changes) {
  json List = json::array();
  for (const platform_object &Object : Changes)
    List.push_back(changeAsJson(Object));
  return json::to_cbor(List);
}

static std::optional<std::vector<platform_object>>
decodeChanges(std::span<const std::uint8_t> Bytes) {
  const json List = readCbor(Bytes);
  if (!List.is_array())
    return std::nullopt;
  std::vector<platform_object> Changes;
  for (const json &Item : List) {
    if (!Item.is_array() || Item.size() != 3 || !Item[0].is_string() ||
        !Item[1].is_number_unsigned() ||
        (!Item[2].is_null() && !Item[2].is_string()))
      return std::nullopt;
    platform_object Object;
    Object.Key.Name = Item[0].get<std::string>();
    Object.Version = Item[1].get<std::uint64_t>();
    Object.Deleted = Item[2].is_null();
    if (!Object.Deleted)
      Object.Body = Item[2].get<std::string>();
    Changes.push_back(std::move(Object));
  }
  return Changes;
}

/// Each change is encoded once: a balancer that is far behind asks for hundreds
/// of them, several times a second, and the answer holds packets up.
void fitChanges(peer_greeting &Greeting) {
  if (!Greeting.Changes)
    return;
  std::vector<platform_object> &Changes = *Greeting.Changes;
  std::sort(Changes.begin(), Changes.end(),
            [](const platform_object &A, const platform_object &B) {
              return A.Version < B.Version;
            });
  // The head of a CBOR array is at most three bytes here.
  constexpr std::size_t ListHeadBytes = 3;
  std::size_t Bytes = FixedBytes + ListHeadBytes;
  std::size_t Fitting = 0;
  for (; Fitting < Changes.size(); ++Fitting) {
    Bytes += json::to_cbor(changeAsJson(Changes[Fitting])).size();
    if (Bytes > MaxGreetingBytes)
      break;
  }
  if (Fitting == Changes.size() && Fitting > 0)
    return;
  // Changes of one version go together: deletions that a list has shown.
  if (Fitting < Changes.size()) {
    const std::uint64_t TooMuch = Changes[Fitting].Version;
    std::erase_if(Changes, [&](const platform_object &Object) {
      return Object.Version >= TooMuch;
    });
  }
  Greeting.ChangesUpTo = Changes.empty() ? 0 : Changes.back().Version;
  if (Changes.empty())
    Greeting.Changes.reset();
}

std::vector<std::uint8_t> encodeGreeting(const peer_greeting &Greeting) {
  std::vector<std::uint8_t> Changes;
  if (Greeting.Changes)
    Changes = encodeChanges(*Greeting.Changes);
  std::vector<std::uint8_t> Bytes(FixedBytes + Changes.size());
  byte_writer Writer(Bytes.data());
  Writer.put(GreetingMagic);
  Writer.put(GreetingFormat);
  Writer.put(static_cast<std::uint8_t>((Greeting.IsReply ? ReplyBit : 0) |
                                       (Greeting.IsServed ? ServedBit : 0)));
  Writer.put(static_cast<std::uint64_t>(Greeting.AskedUs));
  Writer.put(Greeting.Self);
  Writer.put(Greeting.Zone);
  for (const kind_knowledge &Kind : {Greeting.Routes, Greeting.Site}) {
    Writer.put(Kind.Version);
    Writer.put(Kind.LastChange);
    Writer.put(static_cast<std::uint64_t>(Kind.AgeUs));
  }
  Writer.put(Greeting.ChangesSince);
  Writer.put(Greeting.ChangesUpTo);
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
  const auto Flags = Reader.take<std::uint8_t>();
  Greeting.IsReply = (Flags & ReplyBit) != 0;
  Greeting.IsServed = (Flags & ServedBit) != 0;
  Greeting.AskedUs = static_cast<std::int64_t>(Reader.take<std::uint64_t>());
  Greeting.Self = Reader.takeEndpoint();
  Greeting.Zone = Reader.take<std::uint32_t>();
  for (kind_knowledge *Kind : {&Greeting.Routes, &Greeting.Site}) {
    Kind->Version = Reader.take<std::uint64_t>();
    Kind->LastChange = Reader.take<std::uint64_t>();
    Kind->AgeUs = static_cast<std::int64_t>(Reader.take<std::uint64_t>());
  }
  Greeting.ChangesSince = Reader.take<std::uint64_t>();
  Greeting.ChangesUpTo = Reader.take<std::uint64_t>();
  const auto Tail = Bytes.subspan(FixedBytes);
  if (Tail.empty())
    return Greeting;
  Greeting.Changes = decodeChanges(Tail);
  if (!Greeting.Changes)
    return std::nullopt;
  return Greeting;
}

} // namespace marjoramrail::internal
