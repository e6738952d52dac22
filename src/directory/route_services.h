//===- route_services.h - The services of all routes ------------*- C++ -*-===//
///
/// \file
/// The services of all routes in one sorted array. A site has tens of thousands
/// of routes, of which a few change every second; the array allows comparing
/// complete sets in one pass without one allocation per route.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_SERVICES_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_SERVICES_H

#include "marjoramrail/directory.h"

#include <map>
#include <span>

namespace marjoramrail::internal {

/// One service of the route at \p Address.
struct route_service {
  endpoint Address;
  service_id Service{};

  // clang-tidy reports a compiler-generated variable here.
  auto operator<=>(const route_service &) const = default;
};

class route_services {
public:
  route_services() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): a table is such a set.
  route_services(const route_table &Table);

  void add(const endpoint &Address, const std::string &Service);
  /// Must be called after the last add() and before any query.
  void sort();

  bool empty() const { return Entries.empty(); }
  const std::vector<route_service> &entries() const { return Entries; }
  bool contains(const route_service &Entry) const;
  /// The services of \p Address.
  std::span<const route_service> at(const endpoint &Address) const;
  /// Returns "" if the service is not part of this set.
  const std::string &nameOf(service_id Service) const;
  const std::map<service_id, std::string> &names() const { return Names; }

  bool containsAll(const route_services &Others) const;
  /// The elements of this set that are not in \p Others.
  std::vector<route_service> without(const route_services &Others) const;
  /// The union of this set and \p Others, without \p Removed, which must be
  /// sorted.
  route_services merged(const route_services &Others,
                        const std::vector<route_service> &Removed) const;

private:
  std::vector<route_service> Entries;
  std::map<service_id, std::string> Names;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_SERVICES_H
