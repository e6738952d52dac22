//===- service_table.h - The services that a balancer routes ----*- C++ -*-===//
///
/// \file
/// The views in force, found by number and by the address that callers use.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_BALANCER_SERVICE_TABLE_H
#define MARJORAMRAIL_BALANCER_SERVICE_TABLE_H

#include "marjoramrail/routing.h"

#include <unordered_map>

namespace marjoramrail::internal {

/// A view in force.
struct routed_service {
  service_router Router;
  endpoint Address;
  /// False once a view withdrew the service. The entry stays, so that a late
  /// older view cannot bring it back.
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

class service_table {
public:
  /// Returns false if \p View is not newer than the one in force.
  bool set(const service_view &View);

  const routed_service *findById(service_id Service) const;
  const routed_service *findByAddress(const endpoint &Address) const;

  /// Services that packets can reach.
  std::size_t size() const { return ByAddress.size(); }
  std::size_t bytes() const;

  const std::unordered_map<service_id, routed_service> &all() const {
    return ById;
  }

private:
  void claimAddress(routed_service &Service);
  void releaseAddress(const routed_service &Service);

  /// Nodes of an unordered_map do not move, so the other may point to them.
  std::unordered_map<service_id, routed_service> ById;
  std::unordered_map<endpoint, const routed_service *, endpoint_hash> ByAddress;
  /// Services whose address a lower number has: next to none.
  std::vector<const routed_service *> Shadowed;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_BALANCER_SERVICE_TABLE_H
