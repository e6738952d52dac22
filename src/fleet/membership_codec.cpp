#include "fleet/membership_codec.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

namespace {

json packTarget(const target &Target, const target_info &Info) {
  return {static_cast<std::uint32_t>(Target.Id),
          Target.Agent.Address,
          Target.Agent.Port,
          static_cast<std::uint16_t>(Target.Zone),
          static_cast<int>(Target.State),
          Target.Incarnation,
          Info.Host,
          Info.Relay.Address,
          Info.Relay.Port,
          Info.Slots,
          Info.DrainRequested ? 1 : 0};
}

target_state stateOf(int Value) {
  for (const auto &[State, Name] : TargetStateNames)
    if (static_cast<int>(State) == Value)
      return State;
  return target_state::Down;
}

void unpackTarget(const json &From, membership &Members) {
  target &Target = Members.View.Targets.emplace_back();
  target_info &Info = Members.Info.emplace_back();
  Target.Id = host_id{From.at(0).get<std::uint32_t>()};
  Target.Agent = {From.at(1).get<std::uint32_t>(),
                  From.at(2).get<std::uint16_t>()};
  Target.Zone = zone_id{From.at(3).get<std::uint16_t>()};
  Target.State = stateOf(From.at(4).get<int>());
  Target.Incarnation = From.at(5).get<std::uint32_t>();
  From.at(6).get_to(Info.Host);
  Info.Relay = {From.at(7).get<std::uint32_t>(),
                From.at(8).get<std::uint16_t>()};
  Info.Slots = From.at(9).get<std::uint32_t>();
  Info.DrainRequested = From.at(10).get<int>() != 0;
}

/// Encodes a generation as its number, its members and their weights; if all
/// weights are equal, as usual, as one number.
json packGeneration(const generation &Generation) {
  json Hosts = json::array();
  json Weights = json::array();
  bool Equal = true;
  for (const member &Member : Generation.Members) {
    Hosts.push_back(static_cast<std::uint32_t>(Member.Host));
    Weights.push_back(Member.Weight);
    Equal = Equal && Member.Weight == Generation.Members.front().Weight;
  }
  if (Equal && !Generation.Members.empty())
    Weights = Generation.Members.front().Weight;
  return {Generation.Number, Hosts, Weights};
}

generation unpackGeneration(const json &From) {
  generation Generation;
  From.at(0).get_to(Generation.Number);
  const json &Weights = From.at(2);
  std::size_t Index = 0;
  for (const json &Host : From.at(1)) {
    const json &Weight = Weights.is_array() ? Weights.at(Index) : Weights;
    Generation.Members.push_back(
        {host_id{Host.get<std::uint32_t>()}, Weight.get<std::uint16_t>()});
    ++Index;
  }
  return Generation;
}

} // namespace

json packMembership(const membership &Members) {
  const service_view &View = Members.View;
  json Targets = json::array();
  for (std::size_t I = 0; I < View.Targets.size(); ++I)
    Targets.push_back(packTarget(View.Targets[I], Members.Info[I]));
  json Generations = json::array();
  for (const generation &Generation : View.Generations)
    Generations.push_back(packGeneration(Generation));
  return {static_cast<std::uint32_t>(View.Id),
          View.Name,
          View.Address.Address,
          View.Address.Port,
          View.Version,
          Members.Term,
          Members.SpecVersion,
          Targets,
          Generations};
}

membership unpackMembership(const json &Packed) {
  membership Members;
  service_view &View = Members.View;
  View.Id = service_id{Packed.at(0).get<std::uint32_t>()};
  Packed.at(1).get_to(View.Name);
  View.Address = {Packed.at(2).get<std::uint32_t>(),
                  Packed.at(3).get<std::uint16_t>()};
  Packed.at(4).get_to(View.Version);
  Packed.at(5).get_to(Members.Term);
  Packed.at(6).get_to(Members.SpecVersion);
  for (const json &Target : Packed.at(7))
    unpackTarget(Target, Members);
  for (const json &Generation : Packed.at(8))
    View.Generations.push_back(unpackGeneration(Generation));
  return Members;
}

std::string toBody(const membership &Members) {
  json Hosts = json::array();
  for (std::size_t I = 0; I < Members.Info.size(); ++I)
    Hosts.push_back(
        {{"host", Members.Info[I].Host},
         {"state", nameOf(TargetStateNames, Members.View.Targets[I].State)},
         {"agent", toText(Members.View.Targets[I].Agent)}});
  return json{{"term", Members.Term},
              {"version", Members.View.Version},
              {"hosts", Hosts},
              {"view", packMembership(Members)}}
      .dump();
}

result<membership> parseBody(const std::string &Body, const std::string &Name) {
  try {
    return unpackMembership(json::parse(Body).at("view"));
  } catch (const json::exception &Fault) {
    return fail(step::ReadPlatform, "membership/" + Name, Fault.what());
  }
}

} // namespace marjoramrail::internal
