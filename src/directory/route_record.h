//===- route_record.h - Which services a route has had ----------*- C++ -*-===//
///
/// \file
/// When a route moves to another service, flows opened before live on at the
/// former one. A balancer that starts afterwards sees only the new
/// configuration; it would ask the new service's targets alone, and the flow
/// would starve although its owner is well. So the services of every route are
/// written to the store before new flows use them, and a former one stays on
/// record for as long as a flow can live.
///
/// The object names the addresses of each service:
///   {"services": {"ledger": {"443": [3323068417, 1, 1]}}}
/// Small, because every balancer gets the record when a route is added. The
/// form of older programs, {"198.18.0.1:443": ["ledger"]}, is read as well:
/// their former services must not be lost when a fleet is updated.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H

#include "directory/route_services.h"

namespace marjoramrail::internal {

class route_record {
public:
  explicit route_record(duration FlowLife) : FlowLife(FlowLife) {}

  /// What the store holds now; a body that cannot be read counts as empty.
  void load(const std::string &Body);
  bool loaded() const { return Loaded; }

  /// Whether the store names \p Service for \p Address.
  bool holds(const endpoint &Address, const std::string &Service) const;
  /// Every service of \p Address on record whose flows may still live.
  std::vector<std::string> servicesOf(const endpoint &Address) const;
  const route_services &all() const { return Services; }

  /// What the store should hold when \p Current are in force: nothing if it
  /// holds that already. Former services leave it when this process has seen
  /// them as former for the life of a flow; a process's own clock, since the
  /// time of day may jump.
  std::optional<std::string> update(const route_services &Current, instant Now);

  /// When a former service is to leave the record, if there is one.
  std::optional<instant> nextExpiry() const;

private:
  void notePrevious(const route_services &Current, instant Now);

  duration FlowLife;
  bool Loaded = false;
  route_services Services;
  /// Since when a service on record is not in force any more.
  std::map<route_service, instant> PreviousSince;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H
