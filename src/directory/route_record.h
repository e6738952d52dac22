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
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H

#include "marjoramrail/directory.h"

#include <map>
#include <set>

namespace marjoramrail::internal {

class route_record {
public:
  /// By the text of a route's address.
  using services_by_route = std::map<std::string, std::set<std::string>>;

  explicit route_record(duration FlowLife) : FlowLife(FlowLife) {}

  /// What the store holds now; a body that cannot be read counts as empty.
  void load(const std::string &Body);
  bool loaded() const { return Loaded; }

  /// Whether the store names \p Service for \p Address.
  bool holds(const endpoint &Address, const std::string &Service) const;
  /// Every service of \p Address on record whose flows may still live.
  std::vector<std::string> servicesOf(const endpoint &Address) const;
  const services_by_route &all() const { return Services; }

  /// What the store should hold when \p Table is in force: nothing if it holds
  /// that already. Former services leave it when this process has seen them as
  /// former for the life of a flow; a process's own clock, since the time of
  /// day may jump.
  std::optional<std::string> update(const route_table &Table, instant Now);

private:
  void noteFormer(const route_table &Table, instant Now);

  duration FlowLife;
  bool Loaded = false;
  services_by_route Services;
  /// Since when a service on record is not in force any more.
  std::map<std::pair<std::string, std::string>, instant> FormerSince;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_RECORD_H
