#include "fleet/message.h"

#include "fleet/membership_codec.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

namespace {

json pack(const endpoint &Value) { return {Value.Address, Value.Port}; }
void unpack(const json &From, endpoint &To) {
  To.Address = From.at(0).get<std::uint32_t>();
  To.Port = From.at(1).get<std::uint16_t>();
}

// Plain numbers and strings use the library's own conversions.
json pack(std::uint32_t Value) { return Value; }
json pack(std::uint64_t Value) { return Value; }
json pack(const std::string &Value) { return Value; }
template <typename T>
requires std::is_arithmetic_v<T> || std::is_same_v<T, std::string>
void unpack(const json &From, T &To) { From.get_to(To); }

json pack(const peer_update &Value);
json pack(const view_version &Value);
json pack(const shard_lease_update &Value);
json pack(const applied_entry &Value);
void unpack(const json &From, peer_update &To);
void unpack(const json &From, view_version &To);
void unpack(const json &From, shard_lease_update &To);
void unpack(const json &From, applied_entry &To);

template <typename T> json pack(const std::vector<T> &Values) {
  json Packed = json::array();
  for (const T &Value : Values)
    Packed.push_back(pack(Value));
  return Packed;
}

template <typename T> void unpack(const json &From, std::vector<T> &To) {
  for (const json &Value : From)
    unpack(Value, To.emplace_back());
}

json pack(const host_heartbeat &Value) {
  return {Value.Service,
          Value.Host,
          Value.Zone,
          pack(Value.Agent),
          pack(Value.Relay),
          Value.Incarnation,
          Value.Slots,
          Value.Report.Draining ? 1 : 0,
          Value.Report.Flows,
          Value.Report.Busy,
          Value.Report.OldestGeneration,
          Value.Report.ViewVersion,
          Value.AssignedHash};
}

void unpack(const json &From, host_heartbeat &To) {
  From.at(0).get_to(To.Service);
  From.at(1).get_to(To.Host);
  From.at(2).get_to(To.Zone);
  unpack(From.at(3), To.Agent);
  unpack(From.at(4), To.Relay);
  From.at(5).get_to(To.Incarnation);
  From.at(6).get_to(To.Slots);
  To.Report.Draining = From.at(7).get<int>() != 0;
  From.at(8).get_to(To.Report.Flows);
  From.at(9).get_to(To.Report.Busy);
  From.at(10).get_to(To.Report.OldestGeneration);
  From.at(11).get_to(To.Report.ViewVersion);
  From.at(12).get_to(To.AssignedHash);
}

json pack(const assignment &Value) {
  return json::array({pack(Value.Balancers)});
}
void unpack(const json &From, assignment &To) {
  unpack(From.at(0), To.Balancers);
}

json pack(const host_ping &) { return json::array(); }
void unpack(const json &, host_ping &) {}

json pack(const view_full &Value) {
  return json::array({packMembership(Value.Members)});
}
void unpack(const json &From, view_full &To) {
  To.Members = unpackMembership(From.at(0));
}

json pack(const balancer_info &Value) {
  return {Value.Name, Value.Zone, pack(Value.Control), Value.Incarnation};
}
void unpack(const json &From, balancer_info &To) {
  From.at(0).get_to(To.Name);
  From.at(1).get_to(To.Zone);
  unpack(From.at(2), To.Control);
  From.at(3).get_to(To.Incarnation);
}

json pack(const peer_update &Value) {
  return {pack(Value.Info), static_cast<int>(Value.State)};
}
void unpack(const json &From, peer_update &To) {
  unpack(From.at(0), To.Info);
  const int State = From.at(1).get<int>();
  To.State = State == 0   ? peer_state::Alive
             : State == 1 ? peer_state::Suspect
                          : peer_state::Dead;
}

json pack(const view_version &Value) { return {Value.Service, Value.Version}; }
void unpack(const json &From, view_version &To) {
  From.at(0).get_to(To.Service);
  From.at(1).get_to(To.Version);
}

json pack(const shard_lease_update &Value) {
  return {Value.Shard, Value.Term, Value.Holder, pack(Value.Control)};
}
void unpack(const json &From, shard_lease_update &To) {
  From.at(0).get_to(To.Shard);
  From.at(1).get_to(To.Term);
  From.at(2).get_to(To.Holder);
  unpack(From.at(3), To.Control);
}

json pack(const peer_heartbeat &Value) {
  return {pack(Value.From),       Value.WantsAnswer ? 1 : 0, Value.ViewsDigest,
          Value.PeersDigest,      pack(Value.Peers),         pack(Value.Views),
          pack(Value.ShardLeases)};
}
void unpack(const json &From, peer_heartbeat &To) {
  unpack(From.at(0), To.From);
  To.WantsAnswer = From.at(1).get<int>() != 0;
  From.at(2).get_to(To.ViewsDigest);
  From.at(3).get_to(To.PeersDigest);
  unpack(From.at(4), To.Peers);
  unpack(From.at(5), To.Views);
  unpack(From.at(6), To.ShardLeases);
}

json pack(const bucket_digests &Value) {
  return json::array({pack(Value.Digests)});
}
void unpack(const json &From, bucket_digests &To) {
  unpack(From.at(0), To.Digests);
}

json pack(const bucket_versions &Value) {
  return {pack(Value.Buckets), pack(Value.Views)};
}
void unpack(const json &From, bucket_versions &To) {
  unpack(From.at(0), To.Buckets);
  unpack(From.at(1), To.Views);
}

json pack(const view_request &Value) { return json::array({pack(Value.Have)}); }
void unpack(const json &From, view_request &To) { unpack(From.at(0), To.Have); }

json pack(const view_delta &Value) {
  return {Value.Base, packMembership(Value.Changed), pack(Value.RemovedHosts),
          pack(Value.RemovedGenerations)};
}
void unpack(const json &From, view_delta &To) {
  From.at(0).get_to(To.Base);
  To.Changed = unpackMembership(From.at(1));
  unpack(From.at(2), To.RemovedHosts);
  unpack(From.at(3), To.RemovedGenerations);
}

json pack(const host_report &Value) {
  return {static_cast<int>(Value.Kind), Value.From, pack(Value.Heartbeat)};
}
void unpack(const json &From, host_report &To) {
  const int Kind = From.at(0).get<int>();
  To.Kind = Kind == 0   ? report_kind::Differs
            : Kind == 1 ? report_kind::NotResponding
                        : report_kind::Needs;
  From.at(1).get_to(To.From);
  unpack(From.at(2), To.Heartbeat);
}

json pack(const probe_request &Value) {
  return {Value.Service, Value.Host, pack(Value.Agent), Value.Incarnation};
}
void unpack(const json &From, probe_request &To) {
  From.at(0).get_to(To.Service);
  From.at(1).get_to(To.Host);
  unpack(From.at(2), To.Agent);
  From.at(3).get_to(To.Incarnation);
}

json pack(const applied_entry &Value) {
  return {Value.Service, Value.Version, Value.Nodes, Value.NamesDigest,
          pack(Value.Lagging)};
}
void unpack(const json &From, applied_entry &To) {
  From.at(0).get_to(To.Service);
  From.at(1).get_to(To.Version);
  From.at(2).get_to(To.Nodes);
  From.at(3).get_to(To.NamesDigest);
  unpack(From.at(4), To.Lagging);
}

json pack(const applied_report &Value) {
  return {Value.From, Value.Number, pack(Value.Entries)};
}
void unpack(const json &From, applied_report &To) {
  From.at(0).get_to(To.From);
  From.at(1).get_to(To.Number);
  unpack(From.at(2), To.Entries);
}

json pack(const applied_ack &Value) { return json::array({Value.Number}); }
void unpack(const json &From, applied_ack &To) { From.at(0).get_to(To.Number); }

json pack(const gossip_update &Value) {
  return json::array(
      {pack(Value.Peers), pack(Value.Views), pack(Value.ShardLeases)});
}
void unpack(const json &From, gossip_update &To) {
  unpack(From.at(0), To.Peers);
  unpack(From.at(1), To.Views);
  unpack(From.at(2), To.ShardLeases);
}

/// Constructs the alternative with index \p Kind and reads its fields.
template <std::size_t Index = 0>
message unpackKind(std::size_t Kind, const json &Fields) {
  if constexpr (Index < std::variant_size_v<message>) {
    if (Kind != Index)
      return unpackKind<Index + 1>(Kind, Fields);
    std::variant_alternative_t<Index, message> Value;
    unpack(Fields, Value);
    return Value;
  } else {
    // Not reached: decode() has refused unknown kinds.
    return host_ping();
  }
}

} // namespace

std::vector<std::uint8_t> encode(const message &Message) {
  const json Fields =
      std::visit([](const auto &Value) { return pack(Value); }, Message);
  return json::to_cbor(json{Message.index(), Fields});
}

result<message> decode(fleet_bytes Bytes) {
  // The library reports a wrong type by an exception. Since a datagram can
  // contain anything, it is converted to an ordinary failure here.
  try {
    const json Packed = json::from_cbor(Bytes.begin(), Bytes.end());
    const auto Kind = Packed.at(0).get<std::size_t>();
    if (Kind >= std::variant_size_v<message>)
      return fail(step::DecodeMessage, "", "unknown kind of fleet message");
    return unpackKind(Kind, Packed.at(1));
  } catch (const json::exception &Fault) {
    return fail(step::DecodeMessage, "", Fault.what());
  }
}

} // namespace marjoramrail::internal
