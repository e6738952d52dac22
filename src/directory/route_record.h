//===- route_record.h - Services that routes have had -----------*- C++ -*-===//
///
/// \file
/// When a route moves to another service, flows that were opened before stay at
/// the previous service. A balancer that starts afterwards sees only the new
/// configuration; it would look for their owner among the new service's targets
/// alone, and the flow would get no service although its owner is healthy.
/// Therefore the services of every route are written to the store before new
/// flows use them, and a previous service stays on record for the maximum
/// lifetime of a flow.
///
/// The stored object lists the addresses of each service:
///   {"services": {"ledger": {"443": [3323068417, 1, 1]}}}
/// The encoding is compact because every balancer receives the record when a
/// route is added. The format of older versions, {"198.18.0.1:443":
/// ["ledger"]}, is read as well: their previous services must not be lost when
/// a fleet is updated.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H

#include "directory/route_services.h"

namespace marjoramrail::internal {

class route_record {
public:
  explicit route_record(duration FlowLife) : FlowLife(FlowLife) {}

  /// Loads the stored object; a body that cannot be decoded counts as empty.
  void load(const std::string &Body);
  bool loaded() const { return Loaded; }

  /// Whether \p Service is on record for \p Address.
  bool holds(const endpoint &Address, const std::string &Service) const;
  /// All services on record for \p Address, whose flows may still exist.
  std::vector<std::string> servicesOf(const endpoint &Address) const;
  const route_services &all() const { return Services; }

  /// The new body of the stored object when \p Current are the configured
  /// services; nothing if the store is up to date. A previous service is
  /// removed once this process has seen it as unused for the maximum lifetime
  /// of a flow. Measured by the process's monotonic clock, since the time of
  /// day may jump.
  std::optional<std::string> update(const route_services &Current, instant Now);

  /// When the next previous service is due for removal, if there is one.
  std::optional<instant> nextExpiry() const;

private:
  void notePrevious(const route_services &Current, instant Now);

  duration FlowLife;
  bool Loaded = false;
  route_services Services;
  /// Since when a service on record has not been part of the configuration.
  std::map<route_service, instant> PreviousSince;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H
