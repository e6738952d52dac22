#include "directory/route_table_codec.h"
#include "directory/address_list.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <tuple>

namespace marjoramrail::internal {

using json = nlohmann::json;
using ordered_json = nlohmann::ordered_json;

static constexpr int Format = 1;
/// Every encoded table starts with this text; the fields have a fixed order.
static constexpr std::string_view FormatPrefix = "{\"marjoramrail_routes\":";

/// Routes with the same shares, regions and level.
struct route_group {
  std::vector<service_share> Shares;
  region_restriction Regions;
  std::optional<service_level> Level;
  std::vector<endpoint> Addresses;

  bool isOf(const route &Route) const {
    return Level == Route.Level && Shares == Route.Shares &&
           Regions == Route.Regions;
  }
};

/// The encoded form of a level: priority, whether it is repeatable, latency aim
/// and time limit in milliseconds. Also orders levels.
using level_fields = std::array<std::uint64_t, 4>;

static std::optional<level_fields>
fieldsOf(const std::optional<service_level> &Level) {
  if (!Level)
    return std::nullopt;
  const auto Milliseconds = [](duration Time) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
  };
  return level_fields{Level->Priority, Level->Repeatable ? 1U : 0U,
                      Milliseconds(Level->LatencyAim),
                      Milliseconds(Level->TimeLimit)};
}

/// Finds the group of \p Route among the first groups. Neighbouring routes
/// often alternate between a few levels, and a look-up in a map of all groups,
/// which copies the shares, takes longer.
static std::optional<std::size_t>
indexAmongFirst(const std::vector<route_group> &Groups, const route &Route) {
  constexpr std::size_t MostCompared = 16;
  const std::size_t Count = std::min(Groups.size(), MostCompared);
  for (std::size_t I = 0; I < Count; ++I)
    if (Groups[I].isOf(Route))
      return I;
  return std::nullopt;
}

static std::vector<route_group> groupsOf(const route_table &Table) {
  using share_list = std::vector<std::pair<std::string, std::uint32_t>>;
  using group_key =
      std::tuple<share_list, region_restriction, std::optional<level_fields>>;
  std::map<group_key, std::size_t> Numbers;
  std::vector<route_group> Groups;
  std::size_t Last = 0;
  for (const route &Route : Table.Routes) {
    // Most routes are of the same group as the previous one.
    if (!Groups.empty() && Groups[Last].isOf(Route)) {
      Groups[Last].Addresses.push_back(Route.Address);
      continue;
    }
    if (const auto Found = indexAmongFirst(Groups, Route)) {
      Last = *Found;
    } else {
      share_list Shares;
      for (const service_share &Share : Route.Shares)
        Shares.emplace_back(Share.Service, Share.Weight);
      Last = Numbers
                 .try_emplace({Shares, Route.Regions, fieldsOf(Route.Level)},
                              Groups.size())
                 .first->second;
      if (Last == Groups.size())
        Groups.push_back({Route.Shares, Route.Regions, Route.Level, {}});
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
    if (const auto Level = fieldsOf(Group.Level))
      Item["level"] = *Level;
    List.push_back(std::move(Item));
  }
  ordered_json Encoded = {{"marjoramrail_routes", Format},
                          {"version", Table.Version},
                          {"idle_us", Table.IdleFlow.count()},
                          {"groups", List}};
  for (const service_warmup &Warmup : Table.Warmups)
    Encoded["warmups"][Warmup.Service] = Warmup.Rate;
  for (const service_flow_limit &Limit : Table.FlowLimits)
    Encoded["flow_limits"][Limit.Service] = Limit.MaxFlows;
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

/// The level of a group; nothing if \p Json is malformed.
static std::optional<service_level> levelOf(const json &Json) {
  constexpr level_fields Most = {UINT8_MAX, 1, UINT32_MAX, UINT32_MAX};
  if (!Json.is_array() || Json.size() != Most.size())
    return std::nullopt;
  level_fields Fields = {};
  for (std::size_t I = 0; I < Most.size(); ++I) {
    if (!Json[I].is_number_unsigned())
      return std::nullopt;
    Fields[I] = Json[I].get<std::uint64_t>();
    if (Fields[I] > Most[I])
      return std::nullopt;
  }
  return service_level{.Priority = static_cast<std::uint8_t>(Fields[0]),
                       .Repeatable = Fields[1] == 1,
                       .LatencyAim = std::chrono::milliseconds(Fields[2]),
                       .TimeLimit = std::chrono::milliseconds(Fields[3])};
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
    BOOST_LEAF_CHECK(
        openFlowLimits(Json.value("flow_limits", json::object()), Table));
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

  result<void> openFlowLimits(const json &List, route_table &Table) {
    if (!List.is_object())
      return refuse("flow_limits: expected an object");
    for (const auto &[Service, Limit] : List.items()) {
      if (!Limit.is_number_unsigned() ||
          Limit.get<std::uint64_t>() > UINT32_MAX)
        return refuse("flow_limits: expected whole numbers to 4294967295");
      Table.FlowLimits.push_back({Service, Limit.get<std::uint32_t>()});
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
      std::optional<service_level> Level;
      if (Item.contains("level")) {
        Level = levelOf(Item["level"]);
        if (!Level)
          return refuse("groups: level: expected [priority to 255, 0 or 1, aim "
                        "ms, limit ms]");
      }
      Count += Addresses->size();
      if (!Addresses->empty())
        Groups.push_back({std::move(*Shares), std::move(*Regions), Level,
                          std::move(*Addresses)});
    }
    Table.Routes.reserve(Count);
    return {};
  }

  void takeNext(route_table &Table) {
    const route_group &From = Groups[Group];
    Table.Routes.push_back(
        {From.Addresses[Next], From.Shares, From.Regions, From.Level});
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
