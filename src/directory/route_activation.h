//===- route_activation.h - When a configuration takes effect ---*- C++ -*-===//
///
/// \file
/// Decides when a configuration takes effect. One that adds services has to
/// wait until every balancer can know them. If a balancer sent flows to a new
/// service at once, another balancer that does not know the service yet would
/// receive packets of these flows, find no owner among the targets it knows and
/// reset them. A configuration that only removes services or changes weights
/// takes effect at once, and so does one that changes service levels alone.
///
/// Each configuration has a wait of its own, which begins when it arrives and
/// does not depend on those before and after it. If one that arrives while
/// another waits extended that wait, changes in quick succession would never
/// take effect; if its own wait began when the other one's ends, it would take
/// effect late.
///
/// The wait counts from the moment at which the first balancer knew the
/// configuration: the store had accepted it by then, so that SettleTime later
/// all balancers with current data have it. If each balancer counted from its
/// own knowledge, the time until it gets a copy would add to the wait.
///
/// A configuration also waits until its services are on record (route_record),
/// which is how a balancer that starts later knows them. That wait is limited,
/// because the store may refuse the write for any time.
///
/// A version never replaces a newer one, in whatever order updates arrive.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_ROUTE_ACTIVATION_H
#define MARJORAMRAIL_DIRECTORY_ROUTE_ACTIVATION_H

#include "directory/route_record.h"

#include <deque>

namespace marjoramrail::internal {

class route_activation {
public:
  /// The object that a table was read from.
  struct origin {
    /// Its version in the store.
    std::uint64_t ObjectVersion = 0;
    /// A moment at which some balancer knew it.
    instant FirstKnownAt = instant::max();
  };

  /// \p MaxRecordWait: how much longer than SettleTime a table waits while its
  /// services are not on record.
  explicit route_activation(duration MaxRecordWait = duration::zero())
      : MaxRecordWait(MaxRecordWait) {}

  /// Accepts a newer table; false if it is not newer than the newest one known.
  bool take(route_table Table, const route_record &Record, instant Now,
            const origin &Origin);
  /// The same for a table that no other balancer has known before.
  bool take(route_table Table, const route_record &Record, instant Now) {
    return take(std::move(Table), Record, Now, origin());
  }
  /// Some balancer knew the object of \p Origin, and those before it.
  void noteKnown(const origin &Origin);
  /// The stored record has changed.
  void noteRecord(const route_record &Record);
  /// Activates what has waited long enough; true if something changed.
  bool advance(instant Now);
  /// When advance() has to be called next, if at all.
  std::optional<instant> nextChange() const;

  bool known() const { return Newest != nullptr; }
  const route_table *newest() const {
    return Newest ? &Newest->Table : nullptr;
  }
  /// The services of newest(), which must exist.
  std::shared_ptr<const route_services> newestServices() const {
    return {Newest, &Newest->Services};
  }
  const route_table &active() const { return Active->Table; }
  const route_services &activeServices() const { return Active->Services; }
  std::uint64_t activeVersion() const { return Active->Table.Version; }

  /// The rules of all routes that are in effect or upcoming.
  std::vector<route_rule> rules(const route_record &Record) const;
  /// The differences to the rules that the previous call returned.
  rule_changes changes(const route_record &Record);

private:
  /// A table with its routes sorted by address, and the services of each route.
  /// It is large and immutable; the active table is often also the newest, and
  /// they share one copy.
  struct sorted_table {
    explicit sorted_table(route_table Unsorted);

    route_table Table;
    route_services Services;
  };

  struct waiting_table {
    std::shared_ptr<const sorted_table> Table;
    /// The store version of the object that it was read from.
    std::uint64_t ObjectVersion = 0;
    /// Until all balancers know it.
    instant Until;
    /// Its services that are not on record yet.
    std::vector<route_service> Unrecorded;
  };

  /// One service in a route's rule.
  struct rule_part {
    std::string_view Name;
    service_id Service{};
    std::uint32_t Weight = 0;
    /// The service gets new flows; otherwise it may only own existing ones.
    bool TakesNew = false;
  };

  /// Hash of a rule, to detect changes.
  struct rule_fingerprint {
    endpoint Address;
    std::uint64_t Hash = 0;
  };

  /// The rule of one address, without copies.
  struct rule_view {
    endpoint Address;
    std::vector<rule_part> Parts;
    region_restriction Regions;
    region_restriction OwnerRegions;
    std::optional<service_level> Level;
    /// A route has been added.
    bool HasRoute = false;

    void begin(const endpoint &At);
    void addOwner(std::string_view Name, service_id Service);
    /// Adds the regions and the level of one table's route; the routes of the
    /// active table first, then those of the upcoming ones in the order of
    /// their activation.
    void addRoute(const route &Route, bool IsActive);
  };

  /// The tables that are not active yet, in the order of their activation.
  std::vector<const route_table *> upcoming() const;
  template <typename Callable>
  void forEachRule(const route_record &Record, const Callable &Take) const;
  static bool widensRegions(const route_table &From, const route_table &To);
  bool addsToActive(const sorted_table &Table) const;
  bool addsTo(const sorted_table &Upcoming,
              const std::vector<route_service> &New) const;
  void enqueueNewest(const origin &Origin, const route_record &Record,
                     instant Now);
  /// When \p Upcoming takes effect unless the record changes.
  instant endOfWait(const waiting_table &Upcoming) const {
    return Upcoming.Unrecorded.empty() ? Upcoming.Until
                                       : Upcoming.Until + MaxRecordWait;
  }
  bool isWithheld(const route_service &Entry) const;
  /// When the withheld services get new flows unless the record changes.
  instant endOfWithholding() const {
    return WithheldUnrecorded.empty() ? WithheldUntil
                                      : WithheldUntil + MaxRecordWait;
  }
  static route_rule ruleOf(const rule_view &View);
  static std::uint64_t hashOf(const rule_view &View);

  duration MaxRecordWait;
  std::shared_ptr<const sorted_table> Active =
      std::make_shared<const sorted_table>(route_table());
  /// The tables that are not in effect yet, in the order of their versions and
  /// of the ends of their waits.
  std::deque<waiting_table> Waiting;
  /// The newest table: Active, or the last one that waits.
  std::shared_ptr<const sorted_table> Newest;
  /// Services of the first table that were not on record and get no new flows
  /// until endOfWithholding(). Sorted.
  std::vector<route_service> Withheld;
  /// Until all balancers know them.
  instant WithheldUntil;
  /// Those that are not on record yet.
  std::vector<route_service> WithheldUnrecorded;
  /// The rules that changes() last returned, sorted by address.
  std::vector<rule_fingerprint> ReportedRules;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_ROUTE_ACTIVATION_H
