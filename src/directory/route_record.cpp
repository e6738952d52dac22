#include "directory/route_record.h"
#include "directory/address_list.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace marjoramrail::internal {

using json = nlohmann::json;

/// Additional time for flows that were opened just before the service was
/// removed, and for the configuration to reach every process.
static constexpr duration RecordRetentionMargin = std::chrono::seconds(10);

static constexpr const char *ServicesField = "services";

static std::string encodeRecord(const route_services &Services) {
  std::map<service_id, std::vector<endpoint>> Addresses;
  for (const route_service &Entry : Services.entries())
    Addresses[Entry.Service].push_back(Entry.Address);
  json Names = json::object();
  for (auto &[Service, List] : Addresses)
    Names[Services.nameOf(Service)] = encodeAddresses(std::move(List));
  return json{{ServicesField, Names}}.dump();
}

static void readServices(const json &Names, route_services &Services) {
  for (const auto &[Name, List] : Names.items())
    if (const auto Addresses = decodeAddresses(List))
      for (const endpoint &Address : *Addresses)
        Services.add(Address, Name);
}

static void readOldFormat(const json &Record, route_services &Services) {
  for (const auto &[Text, Names] : Record.items()) {
    const auto Address = parseEndpoint(Text);
    if (!Address || !Names.is_array())
      continue;
    for (const json &Name : Names)
      if (Name.is_string())
        Services.add(*Address, Name.get<std::string>());
  }
}

static route_services decodeRecord(const std::string &Body) {
  route_services Services;
  const json Record = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Record.is_object())
    return Services;
  const auto Names = Record.find(ServicesField);
  if (Names != Record.end() && Names->is_object())
    readServices(*Names, Services);
  else
    readOldFormat(Record, Services);
  Services.sort();
  return Services;
}

void route_record::load(const std::string &Body) {
  Loaded = true;
  Services = decodeRecord(Body);
  std::erase_if(Missing, [this](const missing_service &Service) {
    return holds(Service.Entry);
  });
  route_services Left;
  for (const missing_service &Service : Missing)
    Left.add(Service.Entry.Address, WithMissing.nameOf(Service.Entry.Service));
  Left.sort();
  WithMissing = Left.empty() ? route_services() : Services.merged(Left, {});
}

bool route_record::holds(const endpoint &Address,
                         const std::string &Service) const {
  return Services.contains({Address, serviceNumber(Service)});
}

std::vector<std::string>
route_record::servicesOf(const endpoint &Address) const {
  std::vector<std::string> Names;
  for (const route_service &Entry : Services.at(Address))
    Names.push_back(Services.nameOf(Entry.Service));
  return Names;
}

void route_record::noteConfigured(std::shared_ptr<const route_services> Taken,
                                  instant Now) {
  for (const route_service &Entry : Configured->without(*Taken))
    Previous[Entry] = {Now, Configured->nameOf(Entry.Service)};
  Configured = std::move(Taken);
  std::erase_if(Previous, [this](const auto &Service) {
    return Configured->contains(Service.first);
  });
  noteMissing(*Configured, Now);
}

std::optional<instant> route_record::missingSince() const {
  std::optional<instant> Earliest;
  for (const missing_service &Service : Missing)
    Earliest = std::min(Earliest.value_or(Service.Since), Service.Since);
  return Earliest;
}

bool route_record::mayOwnFlows(const previous_service &Service,
                               instant Now) const {
  return Service.Name && Now - Service.Since < FlowLife;
}

bool route_record::isExpired(const previous_service &Service,
                             instant Now) const {
  return Now - Service.Since >= FlowLife + RecordRetentionMargin;
}

void route_record::notePrevious(const route_services &Current, instant Now) {
  std::erase_if(Previous, [&](const auto &Service) {
    return Current.contains(Service.first) ||
           (!holds(Service.first) && !mayOwnFlows(Service.second, Now));
  });
  for (const route_service &Entry : Services.without(Current))
    Previous.try_emplace(Entry, previous_service{Now});
}

/// The previous services that have to be on record.
route_services route_record::previousOwners(instant Now) const {
  route_services Owners;
  for (const auto &[Entry, Service] : Previous)
    if (mayOwnFlows(Service, Now))
      Owners.add(Entry.Address, *Service.Name);
  Owners.sort();
  return Owners;
}

/// A previous service may be missing too: another balancer, which has not heard
/// of its last use, has removed it from the record. That is not repeated: the
/// service's time on record then begins anew there, and is longer by
/// RecordRetentionMargin than the time for which it is put back.
void route_record::noteMissing(const route_services &Current, instant Now) {
  const route_services PreviousOwners = previousOwners(Now);
  const std::vector<route_service> OfCurrent = Current.without(Services);
  const std::vector<route_service> OfPrevious =
      PreviousOwners.without(Services);
  std::vector<route_service> Entries;
  std::set_union(OfCurrent.begin(), OfCurrent.end(), OfPrevious.begin(),
                 OfPrevious.end(), std::back_inserter(Entries));
  std::vector<missing_service> Found;
  auto Known = Missing.begin();
  for (const route_service &Entry : Entries) {
    Known = std::find_if(Known, Missing.end(), [&](const auto &Service) {
      return Entry <= Service.Entry;
    });
    const bool IsKnown = Known != Missing.end() && Known->Entry == Entry;
    Found.push_back({Entry, IsKnown ? Known->Since : Now});
  }
  Missing = std::move(Found);
  WithMissing = Missing.empty()
                    ? route_services()
                    : Services.merged(Current, {}).merged(PreviousOwners, {});
}

std::optional<std::string> route_record::update(const route_services &Current,
                                                instant Now) {
  notePrevious(Current, Now);
  noteMissing(Current, Now);
  std::vector<route_service> Expired;
  for (const auto &[Entry, Service] : Previous)
    if (holds(Entry) && isExpired(Service, Now))
      Expired.push_back(Entry);
  if (Expired.empty() && Missing.empty())
    return std::nullopt;
  return encodeRecord(
      Expired.empty() ? owners() : owners().merged(route_services(), Expired));
}

std::optional<instant> route_record::nextExpiry() const {
  std::optional<instant> Next;
  for (const auto &[Entry, Service] : Previous)
    Next = std::min(Next.value_or(instant::max()),
                    Service.Since + FlowLife + RecordRetentionMargin);
  return Next;
}

} // namespace marjoramrail::internal
