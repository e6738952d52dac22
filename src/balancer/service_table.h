//===- service_table.h - Services that a balancer routes --------*- C++ -*-===//
///
/// \file
/// The applied views, by service number and by the address that callers use.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BALANCER_SERVICE_TABLE_H
#define MARJORAMRAIL_BALANCER_SERVICE_TABLE_H

#include "marjoramrail/routing.h"

#include <unordered_map>

namespace marjoramrail::internal {

/// An applied view.
struct routed_service {
  service_router Router;
  endpoint Address;
  /// False if the view withdrew the service. The entry is kept so that a late
  /// older view cannot restore the service.
  bool IsActive;
};

struct endpoint_hash {
  std::size_t operator()(const endpoint &Endpoint) const noexcept {
    constexpr std::uint64_t Odd = 0x9e3779b97f4a7c15;
    const std::uint64_t Word =
        std::uint64_t(Endpoint.Address) << 16 | Endpoint.Port;
    return Word * Odd >> 16;
  }
};

/// The applied views of all services.
class service_table {
public:
  /// Applies \p View. Returns false if it is not newer than the applied one.
  bool set(const service_view &View);

  const routed_service *findById(service_id Service) const;
  const routed_service *findByAddress(const endpoint &Address) const;

  /// Number of services that receive packets.
  std::size_t size() const { return ByAddress.size(); }
  std::size_t bytes() const;

  const std::unordered_map<service_id, routed_service> &all() const {
    return ById;
  }

private:
  void claimAddress(routed_service &Service);
  void releaseAddress(const routed_service &Service);

  /// ByAddress points into this map. Nodes of an unordered_map do not move.
  std::unordered_map<service_id, routed_service> ById;
  std::unordered_map<endpoint, const routed_service *, endpoint_hash> ByAddress;
  /// Services whose address is in use by a service with a lower number. Rare.
  std::vector<const routed_service *> Shadowed;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_BALANCER_SERVICE_TABLE_H
