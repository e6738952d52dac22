#include "base/cbor.h"
#include "marjoramrail/agent.h"

namespace marjoramrail {

using nlohmann::json;

static constexpr std::uint8_t PeerMagic[] = {0x4d, 0x41};
static constexpr std::size_t PeerFields = 15;
static constexpr std::size_t LoadFields = 3;

std::vector<std::uint8_t> encodePeerMessage(const peer_message &Message) {
  const json Fields = {
      static_cast<std::uint8_t>(Message.Kind),
      static_cast<std::uint32_t>(Message.Service),
      static_cast<std::uint32_t>(Message.Host),
      Message.Incarnation,
      Message.Generation,
      Message.Flows,
      Message.Draining,
      Message.ReplyWanted,
      Message.Subject.Address,
      Message.Subject.Port,
      Message.Origin.Address,
      Message.Origin.Port,
      Message.Load.Busy,
      Message.Load.Pressure,
      json::array({Message.Load.Slots, Message.Load.Accepting,
                   Message.Load.Service.count()}),
  };
  std::vector<std::uint8_t> Bytes(std::begin(PeerMagic), std::end(PeerMagic));
  json::to_cbor(Fields, Bytes);
  return Bytes;
}

bool isPeerMessage(bytes_view Bytes) {
  return Bytes.size() > std::size(PeerMagic) && Bytes[0] == PeerMagic[0] &&
         Bytes[1] == PeerMagic[1];
}

namespace {

/// Reads fields in order and records whether each has the expected type and
/// range.
class field_reader {
public:
  explicit field_reader(const json &Fields) : Fields(Fields) {}

  template <typename Integer> Integer integer() {
    return integer<Integer>(Fields[Next++]);
  }

  template <typename Integer> Integer integer(const json &Field) {
    if (!Field.is_number_unsigned()) {
      Good = false;
      return 0;
    }
    const auto Value = Field.get<std::uint64_t>();
    Good = Good && Value <= std::numeric_limits<Integer>::max();
    return static_cast<Integer>(Value);
  }

  bool flag() { return flag(Fields[Next++]); }

  bool flag(const json &Field) {
    Good = Good && Field.is_boolean();
    return Good && Field.get<bool>();
  }

  double real() { return real(Fields[Next++]); }

  double real(const json &Field) {
    Good = Good && Field.is_number();
    return Good ? Field.get<double>() : 0;
  }

  const json &list() { return Fields[Next++]; }

  endpoint address() {
    const auto Address = integer<std::uint32_t>();
    return {Address, integer<std::uint16_t>()};
  }

  bool good() const { return Good; }
  void refuse() { Good = false; }

private:
  const json &Fields;
  std::size_t Next = 0;
  bool Good = true;
};

} // namespace

result<peer_message> decodePeerMessage(bytes_view Bytes) {
  const auto Refused = [] {
    return fail(step::DecodeMessage, "", "not a valid message between agents");
  };
  if (!isPeerMessage(Bytes))
    return Refused();
  const json Fields = internal::readCbor(Bytes.subspan(std::size(PeerMagic)));
  if (!Fields.is_array() || Fields.size() != PeerFields)
    return Refused();
  field_reader Reader(Fields);
  peer_message Message;
  const auto Kind = Reader.integer<std::uint8_t>();
  Message.Kind = static_cast<peer_message_kind>(Kind);
  Message.Service = service_id(Reader.integer<std::uint32_t>());
  Message.Host = host_id(Reader.integer<std::uint32_t>());
  Message.Incarnation = Reader.integer<std::uint32_t>();
  Message.Generation = Reader.integer<std::uint64_t>();
  Message.Flows = Reader.integer<std::uint32_t>();
  Message.Draining = Reader.flag();
  Message.ReplyWanted = Reader.flag();
  Message.Subject = Reader.address();
  Message.Origin = Reader.address();
  Message.Load.Busy = Reader.real();
  Message.Load.Pressure = Reader.real();
  const json &Slots = Reader.list();
  if (!Slots.is_array() || Slots.size() != LoadFields)
    return Refused();
  Message.Load.Slots = Reader.real(Slots[0]);
  Message.Load.Accepting = Reader.flag(Slots[1]);
  Message.Load.Service = duration(Reader.integer<std::uint32_t>(Slots[2]));
  if (!Reader.good() || Kind >= PeerMessageKindNames.size())
    return Refused();
  return Message;
}

} // namespace marjoramrail
