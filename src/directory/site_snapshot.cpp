#include "directory/site_snapshot.h"

#include "directory/balancer_entry.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

/// The encoded snapshot:
///   {"format": 1, "names": [service or zone, ...],
///    "routes": KIND, "site": KIND}
/// KIND is {"version": V, "targets": [...], "balancers": [...],
/// "objects": [[name, version, body], ...]}, where a target is [name, version,
/// service, address, port, zone, slots, draining, by peer] and a balancer is
/// [name, version, address, port, zone]. Services and zones are positions in
/// "names".
static constexpr int SnapshotFormat = 1;
static constexpr std::size_t TargetFields = 9;
static constexpr std::size_t BalancerFields = 5;
static constexpr std::size_t ObjectFields = 3;

namespace {

/// Assigns numbers to the names of services and zones.
class name_numbers {
public:
  std::size_t numberOf(const std::string &Name) {
    const auto [Place, IsNew] = Numbers.try_emplace(Name, Names.size());
    if (IsNew)
      Names.push_back(Name);
    return Place->second;
  }

  const std::vector<std::string> &names() const { return Names; }

private:
  std::map<std::string, std::size_t> Numbers;
  std::vector<std::string> Names;
};

/// Reads the fields of one row; a field of another type or out of range makes
/// the row invalid.
class row_reader {
public:
  row_reader(const json &Row, const std::vector<std::string> &Names,
             std::size_t Fields)
      : Row(Row), Names(Names),
        IsValid(Row.is_array() && Row.size() == Fields) {}

  bool valid() const { return IsValid; }

  std::string text(std::size_t Field) {
    if (!IsValid || !Row[Field].is_string()) {
      IsValid = false;
      return {};
    }
    return Row[Field].get<std::string>();
  }

  std::uint64_t number(std::size_t Field, std::uint64_t Most) {
    if (!IsValid || !Row[Field].is_number_unsigned() ||
        Row[Field].get<std::uint64_t>() > Most) {
      IsValid = false;
      return 0;
    }
    return Row[Field].get<std::uint64_t>();
  }

  std::string name(std::size_t Field) {
    const std::uint64_t Number = number(Field, UINT32_MAX);
    IsValid = IsValid && Number < Names.size();
    return IsValid ? Names[Number] : std::string();
  }

  bool flag(std::size_t Field) { return number(Field, 1) == 1; }

  std::uint64_t version(std::size_t Field) {
    return number(Field, std::numeric_limits<std::uint64_t>::max());
  }

  endpoint address(std::size_t Field) {
    return {static_cast<std::uint32_t>(number(Field, UINT32_MAX)),
            static_cast<std::uint16_t>(number(Field + 1, UINT16_MAX))};
  }

private:
  const json &Row;
  const std::vector<std::string> &Names;
  bool IsValid;
};

} // namespace

static std::optional<target_entry> targetOf(const platform_object &Object) {
  std::optional<target_entry> Target;
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_ASSIGN(Target, decodeTarget(Object.Key.Name, Object.Body));
    return {};
  });
  return Failure ? std::nullopt : Target;
}

static json targetRow(const platform_object &Object, const target_entry &Target,
                      name_numbers &Names) {
  return {Object.Key.Name,
          Object.Version,
          Names.numberOf(Target.Service),
          Target.Agent.Address,
          Target.Agent.Port,
          Names.numberOf(Target.Zone),
          Target.Slots,
          Target.Draining ? 1 : 0,
          Target.ByPeer ? 1 : 0};
}

static json balancerRow(const platform_object &Object,
                        const balancer_entry &Balancer, name_numbers &Names) {
  return {Object.Key.Name, Object.Version, Balancer.Self.Address,
          Balancer.Self.Port, Names.numberOf(Balancer.Zone)};
}

static json encodeKind(const kind_snapshot &Kind, name_numbers &Names) {
  json Targets = json::array();
  json Balancers = json::array();
  json Objects = json::array();
  for (const platform_object &Object : Kind.Objects) {
    const bool IsTarget = Object.Key.Name.starts_with(TargetPrefix);
    if (const auto Target = IsTarget ? targetOf(Object) : std::nullopt)
      Targets.push_back(targetRow(Object, *Target, Names));
    else if (const auto Balancer = decodeBalancer(Object))
      Balancers.push_back(balancerRow(Object, *Balancer, Names));
    else
      Objects.push_back({Object.Key.Name, Object.Version, Object.Body});
  }
  return {{"version", Kind.Version},
          {"targets", Targets},
          {"balancers", Balancers},
          {"objects", Objects}};
}

std::string encodeSnapshot(const site_snapshot &Snapshot) {
  name_numbers Names;
  json Body = {{"format", SnapshotFormat},
               {"routes", encodeKind(Snapshot.Routes, Names)},
               {"site", encodeKind(Snapshot.Site, Names)}};
  Body["names"] = Names.names();
  return Body.dump();
}

static std::optional<platform_object> targetObject(row_reader Row) {
  target_entry Target;
  Target.Name = Row.text(0);
  platform_object Object;
  Object.Version = Row.version(1);
  Target.Service = Row.name(2);
  Target.Agent = Row.address(3);
  Target.Zone = Row.name(5);
  Target.Slots = static_cast<std::uint32_t>(Row.number(6, UINT32_MAX));
  Target.Draining = Row.flag(7);
  Target.ByPeer = Row.flag(8);
  if (!Row.valid())
    return std::nullopt;
  Object.Key.Name = Target.Name;
  Object.Body = encodeTarget(Target);
  return Object;
}

static std::optional<platform_object> balancerObject(row_reader Row) {
  platform_object Object;
  Object.Key.Name = Row.text(0);
  Object.Version = Row.version(1);
  balancer_entry Balancer;
  Balancer.Self = Row.address(2);
  Balancer.Zone = Row.name(4);
  Object.Body = encodeBalancer(Balancer);
  return Row.valid() ? std::optional(std::move(Object)) : std::nullopt;
}

static std::optional<platform_object> plainObject(row_reader Row) {
  platform_object Object;
  Object.Key.Name = Row.text(0);
  Object.Version = Row.version(1);
  Object.Body = Row.text(2);
  return Row.valid() ? std::optional(std::move(Object)) : std::nullopt;
}

using row_decoder = std::optional<platform_object> (*)(row_reader);

/// Appends the objects of \p Json[\p Field]; returns false if one of them is
/// invalid.
static bool decodeRows(const json &Json, const char *Field, std::size_t Fields,
                       row_decoder Decode,
                       const std::vector<std::string> &Names,
                       std::vector<platform_object> &Objects) {
  const auto Rows = Json.find(Field);
  if (Rows == Json.end() || !Rows->is_array())
    return false;
  for (const json &Row : *Rows) {
    auto Object = Decode(row_reader(Row, Names, Fields));
    if (!Object)
      return false;
    Objects.push_back(std::move(*Object));
  }
  return true;
}

static std::optional<kind_snapshot>
decodeKind(const json &Body, const char *Field, const std::string &Name,
           const std::vector<std::string> &Names) {
  const auto Json = Body.find(Field);
  if (Json == Body.end() || !Json->is_object())
    return std::nullopt;
  const auto Version = Json->find("version");
  if (Version == Json->end() || !Version->is_number_unsigned())
    return std::nullopt;
  kind_snapshot Kind;
  Kind.Version = Version->get<std::uint64_t>();
  if (!decodeRows(*Json, "targets", TargetFields, targetObject, Names,
                  Kind.Objects) ||
      !decodeRows(*Json, "balancers", BalancerFields, balancerObject, Names,
                  Kind.Objects) ||
      !decodeRows(*Json, "objects", ObjectFields, plainObject, Names,
                  Kind.Objects))
    return std::nullopt;
  for (platform_object &Object : Kind.Objects)
    Object.Key.Kind = Name;
  return Kind;
}

static std::vector<std::string> namesOf(const json &Body) {
  std::vector<std::string> Names;
  const auto Json = Body.find("names");
  if (Json == Body.end() || !Json->is_array())
    return Names;
  for (const json &Name : *Json)
    Names.push_back(Name.is_string() ? Name.get<std::string>() : std::string());
  return Names;
}

result<site_snapshot> decodeSnapshot(const platform_object &Object,
                                     const std::string &RoutesKind,
                                     const std::string &SiteKind) {
  const json Body = json::parse(Object.Body, nullptr, false);
  if (!Body.is_object() || Body.value("format", json()) != SnapshotFormat)
    return fail(step::ValidateObject, Object.Key.Name,
                "not a snapshot of a known format");
  const std::vector<std::string> Names = namesOf(Body);
  auto Routes = decodeKind(Body, "routes", RoutesKind, Names);
  auto Site = decodeKind(Body, "site", SiteKind, Names);
  if (!Routes || !Site)
    return fail(step::ValidateObject, Object.Key.Name,
                "the snapshot contains an invalid object");
  return site_snapshot{std::move(*Routes), std::move(*Site)};
}

} // namespace marjoramrail::internal
