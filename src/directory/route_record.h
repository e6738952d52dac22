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
/// This holds for every configuration that this process has accepted, however
/// soon the next one replaced it: each is in effect for a while, here or on a
/// balancer that hears of the next one late. So a service that is not on record
/// stays missing, and counts as a possible owner here, until the stored object
/// names it.
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

#include <memory>

namespace marjoramrail::internal {

class route_record {
public:
  explicit route_record(duration FlowLife) : FlowLife(FlowLife) {}

  /// Loads the stored object; a body that cannot be decoded counts as empty.
  void load(const std::string &Body);
  bool loaded() const { return Loaded; }

  /// \p Services are those of a configuration that this process has accepted.
  /// It takes the place of the previous one of this call.
  void noteConfigured(std::shared_ptr<const route_services> Services,
                      instant Now);
  /// Since when at least one service has had to be put on record; nothing if
  /// all are.
  std::optional<instant> missingSince() const;
  /// The number of services that have to be put on record.
  std::size_t missing() const { return Missing.size(); }

  /// Whether \p Service is on record for \p Address.
  bool holds(const endpoint &Address, const std::string &Service) const;
  bool holds(const route_service &Entry) const {
    return Services.contains(Entry);
  }
  /// All services on record for \p Address, whose flows may still exist.
  std::vector<std::string> servicesOf(const endpoint &Address) const;
  const route_services &all() const { return Services; }
  /// The services on record and the missing ones: all that may own flows.
  const route_services &owners() const {
    return Missing.empty() ? Services : WithMissing;
  }

  /// The new body of the stored object when \p Current are the configured
  /// services; nothing if the store is up to date. A previous service is
  /// removed once this process has seen it as unused for the maximum lifetime
  /// of a flow. Measured by the process's monotonic clock, since the time of
  /// day may jump.
  std::optional<std::string> update(const route_services &Current, instant Now);

  /// When the next previous service is due for removal, if there is one.
  std::optional<instant> nextExpiry() const;

private:
  /// A service that is not part of the newest configuration.
  struct previous_service {
    /// When it was last configured, or found on record.
    instant Since;
    /// Only set if it was part of a configuration that this process has
    /// accepted.
    std::optional<std::string> Name = {};
  };
  struct missing_service {
    route_service Entry;
    instant Since;
  };

  bool mayOwnFlows(const previous_service &Service, instant Now) const;
  bool isExpired(const previous_service &Service, instant Now) const;
  void notePrevious(const route_services &Current, instant Now);
  route_services previousOwners(instant Now) const;
  void noteMissing(const route_services &Current, instant Now);

  duration FlowLife;
  bool Loaded = false;
  route_services Services;
  /// Those of the last noteConfigured().
  std::shared_ptr<const route_services> Configured =
      std::make_shared<const route_services>();
  /// The services that are not part of the configuration and that are on record
  /// or may own flows.
  std::map<route_service, previous_service> Previous;
  /// The services that are not on record and may own flows or will get new
  /// ones. Sorted.
  std::vector<missing_service> Missing;
  /// Services and the missing ones, if there are any.
  route_services WithMissing;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H
