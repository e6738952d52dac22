#include "directory/route_table_codec.h"
#include "directory/address_list.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

static constexpr int Format = 1;
/// Every encoded table begins so; the fields keep their order.
static constexpr std::string_view Beginning = "{\"marjoramrail_routes\":";

/// Routes with the same shares.
struct route_group {
  std::vector<service_share> Shares;
  std::vector<endpoint> Addresses;
};

static std::vector<route_group> groupsOf(const route_table &Table) {
  std::map<std::vector<std::pair<std::string, std::uint32_t>>, std::size_t>
      Numbers;
  std::vector<route_group> Groups;
  std::size_t Last = 0;
  for (const route &Route : Table.Routes) {
    // Most routes have the shares of the one before.
    if (Groups.empty() || Groups[Last].Shares != Route.Shares) {
      std::vector<std::pair<std::string, std::uint32_t>> Key;
      for (const service_share &Share : Route.Shares)
        Key.emplace_back(Share.Service, Share.Weight);
      Last = Numbers.try_emplace(Key, Groups.size()).first->second;
      if (Last == Groups.size())
        Groups.push_back({Route.Shares, {}});
    }
    Groups[Last].Addresses.push_back(Route.Address);
  }
  return Groups;
}

static json encodeShares(const std::vector<service_share> &Shares) {
  json List = json::array();
  for (const service_share &Share : Shares)
    List.push_back({Share.Service, Share.Weight});
  return List;
}

std::string encodeRouteTable(const route_table &Table) {
  ordered_json List = ordered_json::array();
  for (route_group &Group : groupsOf(Table))
    List.push_back(
        {{"shares", encodeShares(Group.Shares)},
         {"addresses", encodeAddresses(std::move(Group.Addresses))}});
  return ordered_json{{"marjoramrail_routes", Format},
                      {"version", Table.Version},
                      {"idle_us", Table.IdleFlow.count()},
                      {"groups", List}}
      .dump();
}

bool isEncodedRouteTable(std::string_view Body) {
  return Body.substr(0, Beginning.size()) == Beginning;
}

static std::optional<std::vector<service_share>> sharesOf(const json &Json) {
  if (!Json.is_array())
    return std::nullopt;
  std::vector<service_share> Shares;
  for (const json &Share : Json) {
    if (!Share.is_array() || Share.size() != 2 || !Share[0].is_string() ||
        !Share[1].is_number_unsigned())
      return std::nullopt;
    Shares.push_back(
        {Share[0].get<std::string>(), Share[1].get<std::uint32_t>()});
  }
  return Shares;
}

static bool takeGroup(const json &Group, route_table &Table) {
  if (!Group.is_object() || !Group.contains("shares") ||
      !Group.contains("addresses"))
    return false;
  const auto Shares = sharesOf(Group["shares"]);
  const auto Addresses = decodeAddresses(Group["addresses"]);
  if (!Shares || !Addresses)
    return false;
  for (const endpoint &Address : *Addresses)
    Table.Routes.push_back({Address, *Shares});
  return true;
}

result<route_table> decodeRouteTable(const object_key &Key,
                                     const std::string &Body) {
  const json Json = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  const auto Refuse = [&](const std::string &Why) {
    return fail(step::ValidateObject, Key.Name, Why);
  };
  if (!Json.is_object())
    return Refuse("no JSON object");
  if (Json.value("marjoramrail_routes", json()) != Format)
    return Refuse("a form that is not known here");
  const json Version = Json.value("version", json());
  const json Idle = Json.value("idle_us", json());
  const json Groups = Json.value("groups", json());
  if (!Version.is_number_unsigned())
    return Refuse("version: expected a whole number");
  if (!Idle.is_number_unsigned())
    return Refuse("idle_us: expected a whole number");
  if (!Groups.is_array())
    return Refuse("groups: expected a list");
  route_table Table;
  Table.Version = Version.get<std::uint64_t>();
  Table.IdleFlow = duration(Idle.get<duration::rep>());
  for (const json &Group : Groups)
    if (!takeGroup(Group, Table))
      return Refuse("groups: expected shares and addresses");
  return Table;
}

} // namespace marjoramrail::internal
