//===- route_gate.h - When a new configuration takes effect -----*- C++ -*-===//
///
/// \file
/// Holds back what a configuration adds until everyone can know it. A balancer
/// that sends flows to a new service at once would see them reset by another
/// one, which has not heard of it and finds that nobody it knows holds them.
/// What is only taken away or changed in weight takes effect at once.
///
/// Versions never go back, whatever order the news comes in.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_GATE_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_GATE_H

#include "directory/route_record.h"

namespace marjoramrail::internal {

class route_gate {
public:
  /// Takes a newer table; false if it is not newer than the newest known.
  bool take(const route_table &Table, const route_record &Record, instant Now);
  /// Puts into force what has waited long enough; true if something changed.
  bool advance(instant Now);
  /// When advance() has something to do next.
  std::optional<instant> nextChange() const;

  bool known() const { return Newest.has_value(); }
  const route_table *newest() const { return Newest ? &*Newest : nullptr; }
  std::uint64_t versionInForce() const { return InForce.Version; }

  /// The rules of all routes in force or coming.
  std::vector<route_rule> rules(const route_record &Record) const;

private:
  bool addsTo(const route_table &Base, const route_table &Table) const;

  route_table InForce;
  std::optional<route_table> Newest;
  std::optional<instant> Due;
  /// Of the first table: services that were not on record, until Due.
  std::set<std::pair<endpoint, std::string>> Withheld;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_GATE_H
