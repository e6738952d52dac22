#include "directory/route_gate.h"

namespace marjoramrail::internal {

static std::set<std::pair<endpoint, std::string>>
pairsOf(const route_table &Table) {
  std::set<std::pair<endpoint, std::string>> Pairs;
  for (const route &Route : Table.Routes)
    for (const service_share &Share : Route.Shares)
      Pairs.emplace(Route.Address, Share.Service);
  return Pairs;
}

bool route_gate::addsTo(const route_table &Base,
                        const route_table &Table) const {
  const auto Known = pairsOf(Base);
  for (const auto &Pair : pairsOf(Table))
    if (!Known.contains(Pair))
      return true;
  return false;
}

bool route_gate::take(const route_table &Table, const route_record &Record,
                      instant Now) {
  if (Newest && Table.Version <= Newest->Version)
    return false;
  const bool IsFirst = !Newest;
  Newest = Table;
  if (IsFirst) {
    // What was on record before this process started is known to whoever can
    // be asked about its flows.
    InForce = Table;
    for (const auto &Pair : pairsOf(Table))
      if (!Record.holds(Pair.first, Pair.second))
        Withheld.insert(Pair);
    if (!Withheld.empty())
      Due = Now + SettleTime;
    return true;
  }
  if (!addsTo(InForce, Table)) {
    InForce = Table;
    if (Withheld.empty())
      Due.reset();
    return true;
  }
  // A change that comes while another one waits does not make that one wait
  // longer: changes in quick succession would otherwise never take effect.
  if (!Due)
    Due = Now + SettleTime;
  return true;
}

bool route_gate::advance(instant Now) {
  if (!Due || Now < *Due)
    return false;
  Due.reset();
  Withheld.clear();
  InForce = *Newest;
  return true;
}

std::optional<instant> route_gate::nextChange() const { return Due; }

static void addHolder(std::vector<std::string> &Holders,
                      const std::string &Service) {
  if (std::find(Holders.begin(), Holders.end(), Service) == Holders.end())
    Holders.push_back(Service);
}

std::vector<route_rule> route_gate::rules(const route_record &Record) const {
  std::map<endpoint, route_rule> Rules;
  for (const route &Route : InForce.Routes) {
    route_rule &Rule = Rules[Route.Address];
    Rule.Address = Route.Address;
    for (const service_share &Share : Route.Shares)
      if (!Withheld.contains({Route.Address, Share.Service}))
        Rule.Shares.push_back(Share);
  }
  for (const route_table *Table : {&InForce, newest()}) {
    if (!Table)
      continue;
    for (const route &Route : Table->Routes) {
      route_rule &Rule = Rules[Route.Address];
      Rule.Address = Route.Address;
      for (const service_share &Share : Route.Shares)
        addHolder(Rule.Holders, Share.Service);
    }
  }
  std::vector<route_rule> All;
  for (auto &[Address, Rule] : Rules) {
    for (const std::string &Service : Record.servicesOf(Address))
      addHolder(Rule.Holders, Service);
    All.push_back(std::move(Rule));
  }
  return All;
}

} // namespace marjoramrail::internal
