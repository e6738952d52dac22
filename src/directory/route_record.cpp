#include "directory/route_record.h"
#include "directory/address_list.h"

#include <algorithm>
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

void route_record::load(const std::string &Body) {
  Loaded = true;
  Services = route_services();
  const json Record = json::parse(Body, nullptr, /*allow_exceptions=*/false);
  if (!Record.is_object())
    return;
  const auto Names = Record.find(ServicesField);
  if (Names != Record.end() && Names->is_object())
    readServices(*Names, Services);
  else
    readOldFormat(Record, Services);
  Services.sort();
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

void route_record::notePrevious(const route_services &Current, instant Now) {
  std::map<route_service, instant> Previous;
  for (const route_service &Entry : Services.without(Current)) {
    const auto Known = PreviousSince.find(Entry);
    Previous.emplace(Entry, Known == PreviousSince.end() ? Now : Known->second);
  }
  PreviousSince = std::move(Previous);
}

std::optional<std::string> route_record::update(const route_services &Current,
                                                instant Now) {
  notePrevious(Current, Now);
  std::vector<route_service> Expired;
  for (const auto &[Entry, Since] : PreviousSince)
    if (Now - Since >= FlowLife + RecordRetentionMargin)
      Expired.push_back(Entry);
  if (Expired.empty() && Services.containsAll(Current))
    return std::nullopt;
  return encodeRecord(Services.merged(Current, Expired));
}

std::optional<instant> route_record::nextExpiry() const {
  std::optional<instant> Next;
  for (const auto &[Entry, Since] : PreviousSince)
    Next = std::min(Next.value_or(instant::max()),
                    Since + FlowLife + RecordRetentionMargin);
  return Next;
}

} // namespace marjoramrail::internal
