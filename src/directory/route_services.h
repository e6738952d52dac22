//===- route_services.h - Which services routes have, flat ------*- C++ -*-===//
///
/// \file
/// The services of every route as one sorted array. A site has tens of
/// thousands of routes and changes a few of them every second; whole sets are
/// compared in one pass without an allocation a route.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_SERVICES_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_SERVICES_H

#include "marjoramrail/directory.h"

#include <map>
#include <span>

namespace marjoramrail::internal {

/// A service that the route at \p Address has.
struct route_service {
  endpoint Address;
  service_id Service{};

  // The linter sees a variable of the compiler's own in it.
  // NOLINTNEXTLINE(readability-identifier-naming)
  auto operator<=>(const route_service &) const = default;
};

class route_services {
public:
  route_services() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): a table is such a set.
  route_services(const route_table &Table);

  void add(const endpoint &Address, const std::string &Service);
  /// Call it after the last add(), before anything is asked.
  void sort();

  bool empty() const { return Entries.empty(); }
  const std::vector<route_service> &entries() const { return Entries; }
  bool contains(const route_service &Entry) const;
  /// The services of \p Address.
  std::span<const route_service> at(const endpoint &Address) const;
  /// "" if it is no service of this set.
  const std::string &nameOf(service_id Service) const;
  const std::map<service_id, std::string> &names() const { return Names; }

  bool containsAll(const route_services &Others) const;
  /// What this set has and \p Others have not.
  std::vector<route_service> without(const route_services &Others) const;
  /// Takes in \p Others and drops \p Removed, which is sorted.
  route_services merged(const route_services &Others,
                        const std::vector<route_service> &Removed) const;

private:
  std::vector<route_service> Entries;
  std::map<service_id, std::string> Names;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_SERVICES_H
