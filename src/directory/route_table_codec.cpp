#include "directory/route_table_codec.h"
#include "directory/address_list.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

static constexpr int Format = 1;
/// Every encoded table starts with this text; the fields have a fixed order.
static constexpr std::string_view FormatPrefix = "{\"marjoramrail_routes\":";

/// Routes with the same shares and regions.
struct route_group {
  std::vector<service_share> Shares;
  region_restriction Regions;
  std::vector<endpoint> Addresses;

  bool isOf(const route &Route) const {
    return Shares == Route.Shares && Regions == Route.Regions;
  }
};

static std::vector<route_group> groupsOf(const route_table &Table) {
  using share_list = std::vector<std::pair<std::string, std::uint32_t>>;
  std::map<std::pair<share_list, region_restriction>, std::size_t> Numbers;
  std::vector<route_group> Groups;
  std::size_t Last = 0;
  for (const route &Route : Table.Routes) {
    // Most routes have the same shares as the previous one.
    if (Groups.empty() || !Groups[Last].isOf(Route)) {
      share_list Shares;
      for (const service_share &Share : Route.Shares)
        Shares.emplace_back(Share.Service, Share.Weight);
      Last = Numbers.try_emplace({Shares, Route.Regions}, Groups.size())
                 .first->second;
      if (Last == Groups.size())
        Groups.push_back({Route.Shares, Route.Regions, {}});
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
  for (route_group &Group : groupsOf(Table)) {
    ordered_json Item = {
        {"shares", encodeShares(Group.Shares)},
        {"addresses", encodeAddresses(std::move(Group.Addresses))}};
    if (Group.Regions.isRestricted())
      Item["regions"] = *Group.Regions.regions();
    List.push_back(std::move(Item));
  }
  ordered_json Encoded = {{"marjoramrail_routes", Format},
                          {"version", Table.Version},
                          {"idle_us", Table.IdleFlow.count()},
                          {"groups", List}};
  for (const service_warmup &Warmup : Table.Warmups)
    Encoded["warmups"][Warmup.Service] = Warmup.Rate;
  return Encoded.dump();
}

bool isEncodedRouteTable(std::string_view Body) {
  return Body.substr(0, FormatPrefix.size()) == FormatPrefix;
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

/// The regions of a group; nothing if \p Json is malformed.
static std::optional<region_restriction> regionsOf(const json &Json) {
  if (!Json.is_array())
    return std::nullopt;
  std::vector<std::string> Regions;
  for (const json &Region : Json) {
    if (!Region.is_string())
      return std::nullopt;
    Regions.push_back(Region.get<std::string>());
  }
  return region_restriction(std::move(Regions));
}

/// An encoded table that is being read. The first step parses the text; the
/// following steps create the routes.
class encoded_table {
public:
  explicit encoded_table(const platform_object &Object)
      : Where(Object.Key.Name), Body(Object.Body) {}

  result<bool> read(std::size_t MaxRoutes, route_table &Table) {
    if (!std::exchange(IsOpen, true)) {
      BOOST_LEAF_CHECK(open(Table));
      return Groups.empty();
    }
    for (; MaxRoutes > 0 && Group < Groups.size(); --MaxRoutes)
      takeNext(Table);
    return Group == Groups.size();
  }

private:
  boost::leaf::error_id refuse(const std::string &Why) const {
    return fail(step::ValidateObject, Where, Why);
  }

  result<void> open(route_table &Table) {
    const json Json = json::parse(Body, nullptr, /*allow_exceptions=*/false);
    if (!Json.is_object())
      return refuse("not a JSON object");
    if (Json.value("marjoramrail_routes", json()) != Format)
      return refuse("unknown format");
    const json Version = Json.value("version", json());
    const json Idle = Json.value("idle_us", json());
    if (!Version.is_number_unsigned())
      return refuse("version: expected a whole number");
    if (!Idle.is_number_unsigned())
      return refuse("idle_us: expected a whole number");
    Table.Version = Version.get<std::uint64_t>();
    Table.IdleFlow = duration(Idle.get<duration::rep>());
    BOOST_LEAF_CHECK(openWarmups(Json.value("warmups", json::object()), Table));
    return openGroups(Json.value("groups", json()), Table);
  }

  result<void> openWarmups(const json &List, route_table &Table) {
    if (!List.is_object())
      return refuse("warmups: expected an object");
    for (const auto &[Service, Rate] : List.items()) {
      if (!Rate.is_number_unsigned())
        return refuse("warmups: expected whole numbers");
      Table.Warmups.push_back({Service, Rate.get<std::uint32_t>()});
    }
    return {};
  }

  result<void> openGroups(const json &List, route_table &Table) {
    if (!List.is_array())
      return refuse("groups: expected a list");
    std::size_t Count = 0;
    for (const json &Item : List) {
      if (!Item.is_object() || !Item.contains("shares") ||
          !Item.contains("addresses"))
        return refuse("groups: expected shares and addresses");
      auto Shares = sharesOf(Item["shares"]);
      auto Addresses = decodeAddresses(Item["addresses"]);
      if (!Shares || !Addresses)
        return refuse("groups: expected shares and addresses");
      auto Regions = Item.contains("regions")
                         ? regionsOf(Item["regions"])
                         : std::optional(region_restriction());
      if (!Regions)
        return refuse("groups: expected a list of regions");
      Count += Addresses->size();
      if (!Addresses->empty())
        Groups.push_back(
            {std::move(*Shares), std::move(*Regions), std::move(*Addresses)});
    }
    Table.Routes.reserve(Count);
    return {};
  }

  void takeNext(route_table &Table) {
    const route_group &From = Groups[Group];
    Table.Routes.push_back({From.Addresses[Next], From.Shares, From.Regions});
    if (++Next < From.Addresses.size())
      return;
    Next = 0;
    ++Group;
  }

  std::string Where;
  std::string Body;
  std::vector<route_group> Groups;
  /// The next group, and the next address in it.
  std::size_t Group = 0;
  std::size_t Next = 0;
  bool IsOpen = false;
};

route_reader readEncodedRouteTable(const platform_object &Object) {
  const auto Table = std::make_shared<encoded_table>(Object);
  return [Table](std::size_t MaxRoutes, route_table &Into) {
    return Table->read(MaxRoutes, Into);
  };
}

} // namespace marjoramrail::internal
