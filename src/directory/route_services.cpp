#include "directory/route_services.h"

#include <algorithm>
#include <iterator>

namespace marjoramrail::internal {

route_services::route_services(const route_table &Table) {
  Entries.reserve(Table.Routes.size());
  for (const route &Route : Table.Routes)
    for (const service_share &Share : Route.Shares)
      add(Route.Address, Share.Service);
  sort();
}

void route_services::add(const endpoint &Address, const std::string &Service) {
  const service_id Number = serviceNumber(Service);
  Names.try_emplace(Number, Service);
  Entries.push_back({Address, Number});
}

void route_services::sort() {
  std::sort(Entries.begin(), Entries.end());
  Entries.erase(std::unique(Entries.begin(), Entries.end()), Entries.end());
}

bool route_services::contains(const route_service &Entry) const {
  return std::binary_search(Entries.begin(), Entries.end(), Entry);
}

std::span<const route_service>
route_services::at(const endpoint &Address) const {
  const auto First =
      std::lower_bound(Entries.begin(), Entries.end(), Address,
                       [](const route_service &Entry, const endpoint &Wanted) {
                         return Entry.Address < Wanted;
                       });
  auto Last = First;
  while (Last != Entries.end() && Last->Address == Address)
    ++Last;
  return {First, Last};
}

const std::string &route_services::nameOf(service_id Service) const {
  static const std::string Unknown;
  const auto Found = Names.find(Service);
  return Found == Names.end() ? Unknown : Found->second;
}

bool route_services::containsAll(const route_services &Others) const {
  return std::includes(Entries.begin(), Entries.end(), Others.Entries.begin(),
                       Others.Entries.end());
}

std::vector<route_service>
route_services::without(const route_services &Others) const {
  std::vector<route_service> Rest;
  std::set_difference(Entries.begin(), Entries.end(), Others.Entries.begin(),
                      Others.Entries.end(), std::back_inserter(Rest));
  return Rest;
}

route_services
route_services::merged(const route_services &Others,
                       const std::vector<route_service> &Removed) const {
  std::vector<route_service> Kept;
  std::set_difference(Entries.begin(), Entries.end(), Removed.begin(),
                      Removed.end(), std::back_inserter(Kept));
  route_services All;
  std::set_union(Kept.begin(), Kept.end(), Others.Entries.begin(),
                 Others.Entries.end(), std::back_inserter(All.Entries));
  All.Names = Names;
  All.Names.insert(Others.Names.begin(), Others.Names.end());
  return All;
}

} // namespace marjoramrail::internal
