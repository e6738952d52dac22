//===- route_activation.h - When a new configuration takes effect -----*- C++
//-*-===//
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

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_ACTIVATION_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_ACTIVATION_H

#include "directory/route_record.h"

namespace marjoramrail::internal {

class route_activation {
public:
  /// Takes a newer table; false if it is not newer than the newest known.
  bool take(route_table Table, const route_record &Record, instant Now);
  /// Puts into force what has waited long enough; true if something changed.
  bool advance(instant Now);
  /// When advance() has something to do next.
  std::optional<instant> nextChange() const;

  bool known() const { return Newest != nullptr; }
  const route_table *newest() const {
    return Newest ? &Newest->Table : nullptr;
  }
  /// The services of newest(), which must be there.
  const route_services &newestServices() const { return Newest->Services; }
  std::uint64_t activeVersion() const { return Active->Table.Version; }

  /// The rules of all routes in force or coming.
  std::vector<route_rule> rules(const route_record &Record) const;
  /// What of them is other than the last call gave.
  rule_changes changes(const route_record &Record);

private:
  /// A table, its routes in order of address, and the services of each. Large,
  /// and never changed: the one in force is often the newest as well.
  struct sorted_table {
    explicit sorted_table(route_table Unsorted);

    route_table Table;
    route_services Services;
  };

  /// A service of a route's rule.
  struct rule_part {
    std::string_view Name;
    service_id Service{};
    std::uint32_t Weight = 0;
    /// It takes new flows; otherwise it may only hold some.
    bool TakesNew = false;
  };

  /// What a rule was, to find out whether it has changed.
  struct rule_fingerprint {
    endpoint Address;
    std::uint64_t Hash = 0;
  };

  template <typename Callable>
  void forEachRule(const route_record &Record, const Callable &Take) const;
  bool isWithheld(const route_service &Entry) const;
  static route_rule ruleOf(const endpoint &Address,
                           const std::vector<rule_part> &Parts);
  static std::uint64_t hashOf(const std::vector<rule_part> &Parts);

  std::shared_ptr<const sorted_table> Active =
      std::make_shared<const sorted_table>(route_table());
  std::shared_ptr<const sorted_table> Newest;
  std::optional<instant> Due;
  /// Of the first table: services that were not on record, until Due. Sorted.
  std::vector<route_service> Withheld;
  /// Of the rules given last, in order of address.
  std::vector<rule_fingerprint> ReportedRules;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_ACTIVATION_H
