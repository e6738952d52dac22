#include "directory/route_activation.h"

#include <algorithm>
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
                            instant Now) {
  if (Newest && Table.Version <= Newest->Table.Version)
    return false;
  const bool IsFirst = !Newest;
  Newest = std::make_shared<const sorted_table>(std::move(Table));
  if (IsFirst) {
    // Services that were on record before this process started are known to
    // every process that may receive packets of their flows.
    Active = Newest;
    Withheld = Newest->Services.without(Record.all());
    if (!Withheld.empty())
      Due = Now + SettleTime;
    return true;
  }
  if (Active->Services.containsAll(Newest->Services) &&
      !widensRegions(Active->Table, Newest->Table)) {
    Active = Newest;
    if (Withheld.empty())
      Due.reset();
    return true;
  }
  // A change that arrives while another one waits does not extend the wait:
  // otherwise changes in quick succession would never take effect.
  if (!Due)
    Due = Now + SettleTime;
  return true;
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

bool route_activation::advance(instant Now) {
  if (!Due || Now < *Due)
    return false;
  Due.reset();
  Withheld.clear();
  Active = Newest;
  return true;
}

std::optional<instant> route_activation::nextChange() const { return Due; }

bool route_activation::isWithheld(const route_service &Entry) const {
  return std::binary_search(Withheld.begin(), Withheld.end(), Entry);
}

/// Iterates over the active routes, the newest ones and the record in parallel,
/// in order of address, and calls \p Take with each address and the parts of
/// its rule: active services in the order of their shares, then upcoming ones,
/// then previous ones.
template <typename Callable>
void route_activation::forEachRule(const route_record &Record,
                                   const Callable &Take) const {
  const std::vector<route> &ActiveRoutes = Active->Table.Routes;
  static const std::vector<route> None;
  const std::vector<route> &UpcomingRoutes =
      Newest && Newest != Active ? Newest->Table.Routes : None;
  const route_services &Recorded = Record.all();
  rule_view Rule;
  std::vector<rule_part> &Parts = Rule.Parts;
  const auto Add = [&](std::string_view Name, service_id Service) {
    const bool Named =
        std::any_of(Parts.begin(), Parts.end(), [&](const rule_part &Part) {
          return Part.Service == Service;
        });
    if (!Named)
      Parts.push_back({Name, Service});
  };
  auto Now = ActiveRoutes.begin();
  auto Next = UpcomingRoutes.begin();
  auto Previous = Recorded.entries().begin();
  const auto PreviousEnd = Recorded.entries().end();
  while (Now != ActiveRoutes.end() || Next != UpcomingRoutes.end()) {
    endpoint Address = Now != ActiveRoutes.end() ? Now->Address : Next->Address;
    if (Next != UpcomingRoutes.end())
      Address = std::min(Address, Next->Address);
    Parts.clear();
    Rule.Address = Address;
    const bool IsActive = Now != ActiveRoutes.end() && Now->Address == Address;
    const bool IsUpcoming =
        Next != UpcomingRoutes.end() && Next->Address == Address;
    Rule.Regions = IsActive ? Now->Regions : Next->Regions;
    Rule.OwnerRegions =
        IsUpcoming ? unionOf(Rule.Regions, Next->Regions) : Rule.Regions;
    for (; Now != ActiveRoutes.end() && Now->Address == Address; ++Now)
      for (const service_share &Share : Now->Shares) {
        const service_id Service = serviceNumber(Share.Service);
        Parts.push_back({Share.Service, Service, Share.Weight,
                         Withheld.empty() || !isWithheld({Address, Service})});
      }
    for (; Next != UpcomingRoutes.end() && Next->Address == Address; ++Next)
      for (const service_share &Share : Next->Shares)
        Add(Share.Service, serviceNumber(Share.Service));
    while (Previous != PreviousEnd && Previous->Address < Address)
      ++Previous;
    for (; Previous != PreviousEnd && Previous->Address == Address; ++Previous)
      Add(Recorded.nameOf(Previous->Service), Previous->Service);
    Take(Rule);
  }
}

route_rule route_activation::ruleOf(const rule_view &View) {
  route_rule Rule;
  Rule.Address = View.Address;
  Rule.Regions = View.Regions;
  Rule.OwnerRegions = View.OwnerRegions;
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

static std::uint64_t hashOf(const allowed_regions &Regions,
                            std::uint64_t Seed) {
  if (!Regions.isRestricted())
    return Seed;
  std::uint64_t Hash = XXH3_64bits_withSeed(nullptr, 0, Seed);
  for (const std::string &Region : *Regions.regions())
    Hash = XXH3_64bits_withSeed(Region.data(), Region.size(), Hash);
  return Hash;
}

std::uint64_t route_activation::hashOf(const rule_view &View) {
  std::uint64_t Hash = View.Parts.size();
  Hash = internal::hashOf(View.Regions, Hash);
  Hash = internal::hashOf(View.OwnerRegions, Hash);
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
