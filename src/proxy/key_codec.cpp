#include "proxy/key_codec.h"
#include "base/cbor.h"

#include <limits>

namespace marjoramrail::internal {

using nlohmann::json;

static json toFields(const key_record &Record) {
  return json::array({Record.Key, static_cast<unsigned>(Record.State),
                      static_cast<std::uint32_t>(Record.Runner),
                      Record.Incarnation, Record.Attempt, Record.Outcome,
                      static_cast<std::uint64_t>(Record.Age.count())});
}

static json toFields(const key_message &Message) {
  json Records = json::array();
  for (const key_record &Record : Message.Records)
    Records.push_back(toFields(Record));
  return json::array({static_cast<unsigned>(Message.Kind),
                      static_cast<std::uint32_t>(Message.From),
                      static_cast<std::uint32_t>(Message.To), Message.Digest,
                      toFields(Message.Record), Message.RecordsComplete,
                      std::move(Records), Message.Last,
                      Message.CompleteGenerations});
}

std::string encodeKeyMessages(const key_messages &Messages) {
  json Batch = json::array();
  for (const key_message &Message : Messages)
    Batch.push_back(toFields(Message));
  std::string Bytes;
  json::to_cbor(Batch, Bytes);
  return Bytes;
}

namespace {

/// Reads the fields of an array in order. After a field of the wrong type, a
/// number out of range or a wrong number of fields, good() returns false.
class array_reader {
public:
  array_reader(const json &Array, std::size_t Size) : Array(Array) {
    Good = Array.is_array() && Array.size() == Size;
  }

  template <typename Integer> Integer integer() {
    const json *Field = next();
    if (!Field || !Field->is_number_unsigned())
      return refuse(Integer(0));
    const auto Value = Field->get<std::uint64_t>();
    if (Value > std::numeric_limits<Integer>::max())
      return refuse(Integer(0));
    return static_cast<Integer>(Value);
  }

  template <typename Enum> Enum enumerator(Enum Last) {
    const auto Value = integer<std::uint32_t>();
    if (Value > static_cast<std::uint32_t>(Last))
      return refuse(Enum());
    return static_cast<Enum>(Value);
  }

  std::string text() {
    const json *Field = next();
    if (!Field || !Field->is_string())
      return refuse(std::string());
    return Field->get<std::string>();
  }

  bool flag() {
    const json *Field = next();
    if (!Field || !Field->is_boolean())
      return refuse(false);
    return Field->get<bool>();
  }

  const json &list() {
    static const json Empty = json::array();
    const json *Field = next();
    if (!Field || !Field->is_array())
      return refuse<const json &>(Empty);
    return *Field;
  }

  bool good() const { return Good; }

private:
  template <typename Value> Value refuse(Value Instead) {
    Good = false;
    return Instead;
  }

  const json *next() { return Good ? &Array[Next++] : nullptr; }

  const json &Array;
  std::size_t Next = 0;
  bool Good = true;
};

constexpr std::size_t RecordFields = 7;
constexpr std::size_t MessageFields = 9;
/// Upper bound for the age of a record: the longest lifetime that the settings
/// allow.
constexpr std::uint64_t OldestAge = 30ULL * 86400 * 1000 * 1000;

bool readRecord(const json &Fields, key_record &Record) {
  array_reader Reader(Fields, RecordFields);
  Record.Key = Reader.text();
  Record.State = Reader.enumerator(key_state::Released);
  Record.Runner = host_id(Reader.integer<std::uint32_t>());
  Record.Incarnation = Reader.integer<std::uint32_t>();
  Record.Attempt = Reader.integer<std::uint64_t>();
  Record.Outcome = Reader.text();
  const auto Age = Reader.integer<std::uint64_t>();
  Record.Age = duration(static_cast<duration::rep>(std::min(Age, OldestAge)));
  return Reader.good();
}

bool readMessage(const json &Fields, key_message &Message) {
  array_reader Reader(Fields, MessageFields);
  Message.Kind = Reader.enumerator(key_message_kind::SyncRecords);
  Message.From = host_id(Reader.integer<std::uint32_t>());
  Message.To = host_id(Reader.integer<std::uint32_t>());
  Message.Digest = Reader.integer<std::uint64_t>();
  if (!readRecord(Reader.list(), Message.Record))
    return false;
  Message.RecordsComplete = Reader.flag();
  for (const json &Record : Reader.list()) {
    Message.Records.emplace_back();
    if (!readRecord(Record, Message.Records.back()))
      return false;
  }
  Message.Last = Reader.flag();
  for (const json &Number : Reader.list()) {
    if (!Number.is_number_unsigned())
      return false;
    Message.CompleteGenerations.push_back(Number.get<std::uint64_t>());
  }
  return Reader.good();
}

} // namespace

result<key_messages> decodeKeyMessages(std::string_view Bytes) {
  const json Batch = readCbor(Bytes);
  key_messages Messages;
  if (!Batch.is_array())
    return fail(step::DecodeMessage, "",
                "the batch of key messages is not an array");
  for (const json &Fields : Batch) {
    Messages.emplace_back();
    if (!readMessage(Fields, Messages.back()))
      return fail(step::DecodeMessage, "",
                  "malformed key message in the batch");
  }
  return Messages;
}

} // namespace marjoramrail::internal
