#include "directory/route_activation.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace marjoramrail::internal {

route_activation::sorted_table::sorted_table(route_table Unsorted)
    : Table(std::move(Unsorted)), Services(Table) {
  // Stable, so that the shares of a route keep their order.
  std::stable_sort(
      Table.Routes.begin(), Table.Routes.end(),
      [](const route &A, const route &B) { return A.Address < B.Address; });
}

bool route_activation::take(route_table Table, const route_record &Record,
                            instant Now, const origin &Origin) {
  if (Newest && Table.Version <= Newest->Table.Version)
    return false;
  const bool IsFirst = !Newest;
  Newest = std::make_shared<const sorted_table>(std::move(Table));
  if (IsFirst) {
    // Services that were on record before this process started are known to
    // every process that may receive packets of their flows.
    Active = Newest;
    Withheld = Newest->Services.without(Record.all());
    WithheldUntil = Now + SettleTime;
    // A site without a record starts for the first time. No flows exist that a
    // balancer could reset, and those that write the record may start last.
    if (Record.loaded())
      WithheldUnrecorded = Withheld;
    return true;
  }
  if (!addsToActive(*Newest)) {
    Active = Newest;
    Waiting.clear();
  } else {
    enqueueNewest(Origin, Record, Now);
  }
  return true;
}

/// Puts the newest table in the queue. Each of its services has been known for
/// as long as all tables from some place in the queue on have it; a service
/// that a table in between does not have is unknown to balancers that only know
/// that table.
void route_activation::enqueueNewest(const origin &Origin,
                                     const route_record &Record, instant Now) {
  instant Until = Now + SettleTime;
  const std::vector<route_service> New =
      Newest->Services.without(Active->Services);
  auto Place = Waiting.end();
  while (Place != Waiting.begin() && !addsTo(*std::prev(Place)->Table, New)) {
    --Place;
    Until = Place->Until;
  }
  Waiting.erase(Place, Waiting.end());
  Waiting.push_back({Newest, Origin.ObjectVersion, Until,
                     Newest->Services.without(Record.all())});
  noteKnown({Origin.ObjectVersion, std::min(Origin.FirstKnownAt, Now)});
}

/// Who knew a newer table knew the older ones, so that the ends of the waits
/// stay in the order of the tables.
void route_activation::noteKnown(const origin &Origin) {
  for (waiting_table &Upcoming : Waiting)
    if (Upcoming.ObjectVersion <= Origin.ObjectVersion)
      Upcoming.Until =
          std::min(Upcoming.Until, Origin.FirstKnownAt + SettleTime);
}

/// Whether \p Table has services or regions that are not in effect.
bool route_activation::addsToActive(const sorted_table &Table) const {
  return !Active->Services.containsAll(Table.Services) ||
         widensRegions(Active->Table, Table.Table);
}

/// Whether the newest table, whose services that are not in effect are \p New,
/// has services or regions that \p Upcoming does not have.
bool route_activation::addsTo(const sorted_table &Upcoming,
                              const std::vector<route_service> &New) const {
  const bool AddsServices =
      !std::all_of(New.begin(), New.end(), [&](const route_service &Service) {
        return Upcoming.Services.contains(Service);
      });
  return AddsServices || widensRegions(Upcoming.Table, Newest->Table);
}

/// Whether flows of a route in \p To may be sent to a region that \p From does
/// not permit. As for a new service, balancers that do not know it yet would
/// look for the owners of these flows in the previous regions only.
bool route_activation::widensRegions(const route_table &From,
                                     const route_table &To) {
  auto Before = From.Routes.begin();
  for (const route &Route : To.Routes) {
    while (Before != From.Routes.end() && Before->Address < Route.Address)
      ++Before;
    if (Before == From.Routes.end())
      return false;
    if (Before->Address == Route.Address &&
        unionOf(Before->Regions, Route.Regions) != Before->Regions)
      return true;
  }
  return false;
}

void route_activation::noteRecord(const route_record &Record) {
  const auto IsRecorded = [&Record](const route_service &Service) {
    return Record.holds(Service);
  };
  std::erase_if(WithheldUnrecorded, IsRecorded);
  for (waiting_table &Upcoming : Waiting)
    std::erase_if(Upcoming.Unrecorded, IsRecorded);
}

bool route_activation::advance(instant Now) {
  bool Changed = false;
  if (!Withheld.empty() && Now >= endOfWithholding()) {
    Withheld.clear();
    Changed = true;
  }
  // A table whose services are on record does not wait for an older one whose
  // services are not.
  const auto Last = std::find_if(
      Waiting.rbegin(), Waiting.rend(),
      [&](const waiting_table &Table) { return Now >= endOfWait(Table); });
  if (Last != Waiting.rend()) {
    Active = Last->Table;
    Waiting.erase(Waiting.begin(), Last.base());
    Changed = true;
  }
  return Changed;
}

std::optional<instant> route_activation::nextChange() const {
  std::optional<instant> Next;
  if (!Withheld.empty())
    Next = endOfWithholding();
  for (const waiting_table &Upcoming : Waiting)
    Next = std::min(Next.value_or(instant::max()), endOfWait(Upcoming));
  return Next;
}

std::vector<const route_table *> route_activation::upcoming() const {
  std::vector<const route_table *> Tables;
  for (const waiting_table &Upcoming : Waiting)
    Tables.push_back(&Upcoming.Table->Table);
  return Tables;
}

bool route_activation::isWithheld(const route_service &Entry) const {
  return std::binary_search(Withheld.begin(), Withheld.end(), Entry);
}

/// The routes of one table that have not been visited yet.
struct route_cursor {
  std::vector<route>::const_iterator Next;
  std::vector<route>::const_iterator End;

  explicit route_cursor(const route_table &Table)
      : Next(Table.Routes.begin()), End(Table.Routes.end()) {}
  bool isAt(const endpoint &Address) const {
    return Next != End && Next->Address == Address;
  }
  /// Calls \p Take with each route at \p Address and moves on.
  template <typename Callable>
  void takeAt(const endpoint &Address, const Callable &Take) {
    for (; isAt(Address); ++Next)
      Take(*Next);
  }
};

/// Returns the lowest address that any of the cursors is at, if any.
static std::optional<endpoint>
lowestAddress(const std::vector<route_cursor> &Cursors) {
  std::optional<endpoint> Lowest;
  for (const route_cursor &Cursor : Cursors)
    if (Cursor.Next != Cursor.End)
      Lowest =
          std::min(Lowest.value_or(Cursor.Next->Address), Cursor.Next->Address);
  return Lowest;
}

/// Iterates over the active routes, the upcoming ones and the record in
/// parallel, in order of address, and calls \p Take with each rule: active
/// services in the order of their shares, then upcoming ones, then previous
/// ones.
template <typename Callable>
void route_activation::forEachRule(const route_record &Record,
                                   const Callable &Take) const {
  std::vector<route_cursor> Cursors = {route_cursor(Active->Table)};
  for (const route_table *Table : upcoming())
    Cursors.emplace_back(*Table);
  const route_services &Recorded = Record.owners();
  auto Previous = Recorded.entries().begin();
  const auto PreviousEnd = Recorded.entries().end();
  rule_view Rule;
  while (const auto Address = lowestAddress(Cursors)) {
    Rule.begin(*Address);
    const bool IsActive = Cursors.front().isAt(*Address);
    Cursors.front().takeAt(*Address, [&](const route &Route) {
      Rule.addRoute(Route, /*IsActive=*/true);
      for (const service_share &Share : Route.Shares) {
        const service_id Service = serviceNumber(Share.Service);
        Rule.Parts.push_back(
            {Share.Service, Service, Share.Weight,
             Withheld.empty() || !isWithheld({*Address, Service})});
      }
    });
    for (std::size_t I = 1; I < Cursors.size(); ++I)
      Cursors[I].takeAt(*Address, [&](const route &Route) {
        Rule.addRoute(Route, /*IsActive=*/!IsActive);
        for (const service_share &Share : Route.Shares)
          Rule.addOwner(Share.Service, serviceNumber(Share.Service));
      });
    while (Previous != PreviousEnd && Previous->Address < *Address)
      ++Previous;
    for (; Previous != PreviousEnd && Previous->Address == *Address; ++Previous)
      Rule.addOwner(Recorded.nameOf(Previous->Service), Previous->Service);
    Take(Rule);
  }
}

void route_activation::rule_view::begin(const endpoint &At) {
  Address = At;
  Parts.clear();
  Level.reset();
  HasRoute = false;
}

void route_activation::rule_view::addOwner(std::string_view Name,
                                           service_id Service) {
  const bool IsKnown =
      std::any_of(Parts.begin(), Parts.end(), [&](const rule_part &Part) {
        return Part.Service == Service;
      });
  if (!IsKnown)
    Parts.push_back({Name, Service});
}

void route_activation::rule_view::addRoute(const route &Route, bool IsActive) {
  if (!HasRoute) {
    Regions = OwnerRegions = Route.Regions;
    // Not replaced by later tables. Of two upcoming levels the one that takes
    // effect next is used, so that the level of a rule never goes back to an
    // older configuration.
    Level = Route.Level;
  } else if (IsActive) {
    Regions = Route.Regions;
  }
  OwnerRegions = unionOf(OwnerRegions, Route.Regions);
  HasRoute = true;
}

route_rule route_activation::ruleOf(const rule_view &View) {
  route_rule Rule;
  Rule.Address = View.Address;
  Rule.Regions = View.Regions;
  Rule.OwnerRegions = View.OwnerRegions;
  Rule.Level = View.Level;
  for (const rule_part &Part : View.Parts) {
    std::string Name(Part.Name);
    if (Part.TakesNew)
      Rule.Shares.push_back({Name, Part.Weight});
    if (std::find(Rule.OwnerServices.begin(), Rule.OwnerServices.end(), Name) ==
        Rule.OwnerServices.end())
      Rule.OwnerServices.push_back(std::move(Name));
  }
  return Rule;
}

static std::uint64_t hashOf(const region_restriction &Regions,
                            std::uint64_t Seed) {
  if (!Regions.isRestricted())
    return Seed;
  std::uint64_t Hash = XXH3_64bits_withSeed(nullptr, 0, Seed);
  for (const std::string &Region : *Regions.regions())
    Hash = XXH3_64bits_withSeed(Region.data(), Region.size(), Hash);
  return Hash;
}

static std::uint64_t hashOf(const std::optional<service_level> &Level,
                            std::uint64_t Seed) {
  if (!Level)
    return Seed;
  const std::int64_t Fields[] = {Level->Priority, Level->Repeatable ? 1 : 0,
                                 Level->LatencyAim.count(),
                                 Level->TimeLimit.count()};
  return XXH3_64bits_withSeed(Fields, sizeof(Fields), Seed);
}

std::uint64_t route_activation::hashOf(const rule_view &View) {
  std::uint64_t Hash = View.Parts.size();
  Hash = internal::hashOf(View.Regions, Hash);
  Hash = internal::hashOf(View.OwnerRegions, Hash);
  Hash = internal::hashOf(View.Level, Hash);
  for (const rule_part &Part : View.Parts) {
    const std::uint32_t Fields[] = {static_cast<std::uint32_t>(Part.Service),
                                    Part.Weight,
                                    static_cast<std::uint32_t>(Part.TakesNew)};
    Hash = XXH3_64bits_withSeed(Fields, sizeof(Fields), Hash);
  }
  return Hash;
}

std::vector<route_rule>
route_activation::rules(const route_record &Record) const {
  std::vector<route_rule> All;
  forEachRule(Record,
              [&](const rule_view &Rule) { All.push_back(ruleOf(Rule)); });
  return All;
}

rule_changes route_activation::changes(const route_record &Record) {
  rule_changes Changes;
  std::vector<rule_fingerprint> Fingerprints;
  Fingerprints.reserve(Newest ? Newest->Table.Routes.size() : 0);
  auto Before = ReportedRules.begin();
  const auto SkipTo = [&](const endpoint &Address) {
    for (; Before != ReportedRules.end() && Before->Address < Address; ++Before)
      Changes.Removed.push_back(Before->Address);
  };
  forEachRule(Record, [&](const rule_view &Rule) {
    SkipTo(Rule.Address);
    const bool Known =
        Before != ReportedRules.end() && Before->Address == Rule.Address;
    Fingerprints.push_back({Rule.Address, hashOf(Rule)});
    if (!Known || Before->Hash != Fingerprints.back().Hash)
      Changes.Changed.push_back(ruleOf(Rule));
    if (Known)
      ++Before;
  });
  for (; Before != ReportedRules.end(); ++Before)
    Changes.Removed.push_back(Before->Address);
  ReportedRules = std::move(Fingerprints);
  return Changes;
}

} // namespace marjoramrail::internal
