#include "directory/route_record.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

/// A flow that was opened in the last moment before its service was left, and
/// the time that a configuration takes to reach everyone.
static constexpr duration RecordSlack = std::chrono::seconds(10);

static route_record::services_by_route currentOf(const route_table &Table) {
  route_record::services_by_route Current;
  for (const route &Route : Table.Routes)
    for (const service_share &Share : Route.Shares)
      Current[toText(Route.Address)].insert(Share.Service);
  return Current;
}

void route_record::load(const std::string &Body) {
  Loaded = true;
  Services.clear();
  const json Record = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Record.is_object())
    return;
  for (const auto &[Address, Names] : Record.items()) {
    if (!Names.is_array())
      continue;
    for (const json &Name : Names)
      if (Name.is_string())
        Services[Address].insert(Name.get<std::string>());
  }
}

bool route_record::holds(const endpoint &Address,
                         const std::string &Service) const {
  const auto Found = Services.find(toText(Address));
  return Found != Services.end() && Found->second.contains(Service);
}

std::vector<std::string>
route_record::servicesOf(const endpoint &Address) const {
  const auto Found = Services.find(toText(Address));
  if (Found == Services.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
}

void route_record::noteFormer(const route_table &Table, instant Now) {
  const services_by_route Current = currentOf(Table);
  const auto InForce = [&](const std::string &Address,
                           const std::string &Name) {
    const auto Found = Current.find(Address);
    return Found != Current.end() && Found->second.contains(Name);
  };
  std::erase_if(FormerSince, [&](const auto &Item) {
    const auto &[Address, Name] = Item.first;
    const auto Found = Services.find(Address);
    const bool OnRecord =
        Found != Services.end() && Found->second.contains(Name);
    return !OnRecord || InForce(Address, Name);
  });
  for (const auto &[Address, Names] : Services)
    for (const std::string &Name : Names)
      if (!InForce(Address, Name))
        FormerSince.try_emplace({Address, Name}, Now);
}

std::optional<std::string> route_record::update(const route_table &Table,
                                                instant Now) {
  noteFormer(Table, Now);
  services_by_route Wanted = Services;
  for (const auto &[Key, Since] : FormerSince) {
    if (Now - Since < FlowLife + RecordSlack)
      continue;
    Wanted[Key.first].erase(Key.second);
    if (Wanted[Key.first].empty())
      Wanted.erase(Key.first);
  }
  for (const auto &[Address, Names] : currentOf(Table))
    Wanted[Address].insert(Names.begin(), Names.end());
  if (Wanted == Services)
    return std::nullopt;
  return json(Wanted).dump();
}

} // namespace marjoramrail::internal
