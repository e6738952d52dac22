#include "resource/limits.h"
#include "resource/object_reader.h"

#include <nlohmann/json.hpp>
#include <set>

namespace marjoramrail {

using namespace internal;
using ordered_json = nlohmann::ordered_json;

static service_protocol readProtocol(settings_reader &Reader) {
  const std::string Text = Reader.text(
      "protocol",
      std::string(nameOf(ServiceProtocolNames, service_protocol::Http2)));
  const auto Protocol = valueNamed(ServiceProtocolNames, Text);
  if (!Protocol)
    Reader.refuse("protocol", "expected \"tcp\" or \"http2\"");
  return Protocol.value_or(service_protocol::Http2);
}

static endpoint readServiceAddress(settings_reader &Reader) {
  const endpoint Address = Reader.address("address");
  if (Address.Address == 0)
    Reader.refuse("address", "expected an address other than 0.0.0.0");
  if (Address.Port == 0)
    Reader.refuse("address", "expected a port from 1 to 65535");
  return Address;
}

static std::vector<std::string> readZones(settings_reader &Reader) {
  std::vector<std::string> Zones = Reader.texts("zones", true);
  if (Zones.empty() || Zones.size() > MaxZonesPerService)
    Reader.refuse("zones", "expected 1 to " +
                               std::to_string(MaxZonesPerService) +
                               " names of zones");
  std::set<std::string> Seen;
  for (const std::string &Zone : Zones) {
    if (!isName(Zone))
      Reader.refuse("zones", std::string("of a name: ") + NameRule);
    if (!Seen.insert(Zone).second)
      Reader.refuse("zones", "names " + Zone + " twice");
  }
  return Zones;
}

result<service_spec> parseService(std::string_view Json,
                                  const std::string &Name) {
  BOOST_LEAF_AUTO(Reader, openObject("service", Name, Json));
  service_spec Spec;
  Spec.Name = Name;
  Spec.Number =
      service_id(Reader.number("number", std::nullopt, 1, MaxServiceNumber));
  Spec.Address = readServiceAddress(Reader);
  Spec.Protocol = readProtocol(Reader);
  Spec.Zones = readZones(Reader);
  Spec.SlotsPerTarget =
      Reader.number("slots_per_target", Spec.SlotsPerTarget, 1, MaxSlots);
  Spec.MaxSharePercent =
      Reader.number("max_share_percent", Spec.MaxSharePercent, MinSharePercent,
                    MaxSharePercent);
  Spec.ColdStartSeconds = Reader.number(
      "cold_start_seconds", Spec.ColdStartSeconds, 0, MaxColdStartSeconds);
  Spec.SilentFlowSeconds =
      Reader.number("silent_flow_seconds", Spec.SilentFlowSeconds,
                    MinSilentFlowSeconds, MaxSilentFlowSeconds);
  if (auto Checked = Reader.finish(); !Checked)
    return Checked.error();
  return Spec;
}

std::string toJson(const service_spec &Service) {
  const ordered_json Json = {
      {"number", static_cast<std::uint32_t>(Service.Number)},
      {"address", toText(Service.Address)},
      {"protocol", nameOf(ServiceProtocolNames, Service.Protocol)},
      {"zones", Service.Zones},
      {"slots_per_target", Service.SlotsPerTarget},
      {"max_share_percent", Service.MaxSharePercent},
      {"cold_start_seconds", Service.ColdStartSeconds},
      {"silent_flow_seconds", Service.SilentFlowSeconds}};
  return Json.dump();
}

result<void> checkAgainst(const service_spec &Service,
                          const std::vector<service_spec> &Existing) {
  const std::string Peer = "service/" + Service.Name;
  for (const service_spec &Other : Existing) {
    if (Other.Name == Service.Name) {
      // Agents and past generations identify a service by its number. A changed
      // number would interrupt every open flow.
      if (Other.Number != Service.Number)
        return fail(
            step::ValidateObject, Peer,
            "field number: must stay " +
                std::to_string(static_cast<std::uint32_t>(Other.Number)));
      continue;
    }
    if (Other.Number == Service.Number)
      return fail(step::ValidateObject, Peer,
                  "field number: is that of service " + Other.Name);
    if (Other.Address == Service.Address)
      return fail(step::ValidateObject, Peer,
                  "field address: is that of service " + Other.Name);
  }
  return {};
}

} // namespace marjoramrail
