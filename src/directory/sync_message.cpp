#include "directory/sync_message.h"

#include "base/cbor.h"
#include "wire/byte_order.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

/// The encoded message: u16 magic | u8 format | u8 flags | i64 requested at |
/// u32, u16 self | u32 zone | 2 x (u64 version, u64 change, i64 age,
/// i64 age of the first knowledge of the change) |
/// u64 changes since | u64 up to | evacuations (see appendEvacuations()) |
/// changes as CBOR, [[name, version, body or null for deleted], ...], or
/// nothing
static constexpr std::uint16_t SyncMessageMagic = 0x4d47;
static constexpr std::uint8_t SyncMessageFormat = 6;
static constexpr std::uint8_t ReplyBit = 1;
static constexpr std::uint8_t ServedBit = 2;
static constexpr std::size_t FixedBytes = 2 + 1 + 1 + 8 + 6 + 4 + 2 * 32 + 16;

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

/// Each change is encoded only once: a balancer that is far behind requests
/// hundreds of changes several times a second, and packets wait while the reply
/// is being built.
void fitChanges(sync_message &Message) {
  if (!Message.Changes)
    return;
  std::vector<platform_object> &Changes = *Message.Changes;
  std::sort(Changes.begin(), Changes.end(),
            [](const platform_object &A, const platform_object &B) {
              return A.Version < B.Version;
            });
  // The header of a CBOR array takes at most three bytes here.
  constexpr std::size_t ListHeadBytes = 3;
  std::vector<std::uint8_t> Evacuations;
  appendEvacuations(Message.Evacuations, Evacuations);
  std::size_t Bytes = FixedBytes + Evacuations.size() + ListHeadBytes;
  std::size_t Fitting = 0;
  for (; Fitting < Changes.size(); ++Fitting) {
    Bytes += json::to_cbor(changeAsJson(Changes[Fitting])).size();
    if (Bytes > MaxSyncMessageBytes)
      break;
  }
  if (Fitting == Changes.size() && Fitting > 0)
    return;
  // Changes with the same version must stay together: deletions that a complete
  // list has revealed all carry the version of the list.
  if (Fitting < Changes.size()) {
    const std::uint64_t TooMuch = Changes[Fitting].Version;
    std::erase_if(Changes, [&](const platform_object &Object) {
      return Object.Version >= TooMuch;
    });
  }
  Message.ChangesUpTo = Changes.empty() ? 0 : Changes.back().Version;
  if (Changes.empty())
    Message.Changes.reset();
}

std::vector<std::uint8_t> encodeSyncMessage(const sync_message &Message) {
  std::vector<std::uint8_t> Bytes(FixedBytes);
  byte_writer Writer(Bytes.data());
  Writer.put(SyncMessageMagic);
  Writer.put(SyncMessageFormat);
  Writer.put(static_cast<std::uint8_t>((Message.IsReply ? ReplyBit : 0) |
                                       (Message.IsServed ? ServedBit : 0)));
  Writer.put(static_cast<std::uint64_t>(Message.RequestedAtUs));
  Writer.put(Message.Self);
  Writer.put(Message.Zone);
  for (const replication_state &Kind : {Message.Routes, Message.Site}) {
    Writer.put(Kind.Version);
    Writer.put(Kind.LastChange);
    Writer.put(static_cast<std::uint64_t>(Kind.AgeUs));
    Writer.put(static_cast<std::uint64_t>(Kind.FirstKnownAgeUs));
  }
  Writer.put(Message.ChangesSince);
  Writer.put(Message.ChangesUpTo);
  appendEvacuations(Message.Evacuations, Bytes);
  if (Message.Changes) {
    const std::vector<std::uint8_t> Changes = encodeChanges(*Message.Changes);
    Bytes.insert(Bytes.end(), Changes.begin(), Changes.end());
  }
  return Bytes;
}

bool isSyncMessage(std::span<const std::uint8_t> Bytes) {
  return Bytes.size() >= FixedBytes &&
         byte_reader(Bytes.data()).take<std::uint16_t>() == SyncMessageMagic;
}

std::optional<sync_message>
decodeSyncMessage(std::span<const std::uint8_t> Bytes) {
  if (!isSyncMessage(Bytes))
    return std::nullopt;
  byte_reader Reader(Bytes.data());
  Reader.take<std::uint16_t>();
  if (Reader.take<std::uint8_t>() != SyncMessageFormat)
    return std::nullopt;
  sync_message Message;
  const auto Flags = Reader.take<std::uint8_t>();
  Message.IsReply = (Flags & ReplyBit) != 0;
  Message.IsServed = (Flags & ServedBit) != 0;
  Message.RequestedAtUs =
      static_cast<std::int64_t>(Reader.take<std::uint64_t>());
  Message.Self = Reader.takeEndpoint();
  Message.Zone = Reader.take<std::uint32_t>();
  for (replication_state *Kind : {&Message.Routes, &Message.Site}) {
    Kind->Version = Reader.take<std::uint64_t>();
    Kind->LastChange = Reader.take<std::uint64_t>();
    Kind->AgeUs = static_cast<std::int64_t>(Reader.take<std::uint64_t>());
    Kind->FirstKnownAgeUs =
        static_cast<std::int64_t>(Reader.take<std::uint64_t>());
  }
  Message.ChangesSince = Reader.take<std::uint64_t>();
  Message.ChangesUpTo = Reader.take<std::uint64_t>();
  auto Tail = Bytes.subspan(FixedBytes);
  auto Evacuations = takeEvacuations(Tail);
  if (!Evacuations)
    return std::nullopt;
  Message.Evacuations = std::move(*Evacuations);
  if (Tail.empty())
    return Message;
  Message.Changes = decodeChanges(Tail);
  if (!Message.Changes)
    return std::nullopt;
  return Message;
}

} // namespace marjoramrail::internal
