#include "load_printing.h"
#include "printing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace marjoramrail::ctl {

using ordered_json = nlohmann::ordered_json;
using std::chrono::milliseconds;

static constexpr const char *WaitingHead = "WAITING 0/1/2/3+";

static std::string percent(double Share) {
  return std::to_string(std::lround(Share * 100)) + "%";
}

static std::string msText(milliseconds Time) {
  return std::to_string(Time.count()) + " ms";
}

static std::string secondsText(milliseconds Time) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.1f s",
                static_cast<double>(Time.count()) / 1000);
  return Text.data();
}

template <typename Numbers>
static std::string slashed(const Numbers &ByPriority) {
  std::string Text;
  for (const auto Number : ByPriority)
    Text += (Text.empty() ? "" : "/") + std::to_string(Number);
  return Text;
}

static std::string joined(const std::vector<std::string> &Parts) {
  std::string Text;
  for (const std::string &Part : Parts)
    Text += (Text.empty() ? "" : ", ") + Part;
  return Text;
}

//===----------------------------------------------------------------------===//
// Text for a terminal
//===----------------------------------------------------------------------===//

static std::string headLine(const load_report_view &View) {
  std::string Text = "balancers: " + std::to_string(View.Load.Balancers) +
                     " of " + std::to_string(View.Asked) + " read";
  if (!View.Load.EvacuatedZones.empty())
    Text += "; evacuated zones: " + joined({View.Load.EvacuatedZones.begin(),
                                            View.Load.EvacuatedZones.end()});
  return Text;
}

static std::string rejectedText(const service_load &Service,
                                std::size_t Balancers) {
  const auto From = Service.rejectedFrom();
  if (!From)
    return "none";
  return "from priority " + std::to_string(*From) + " at " +
         std::to_string(Service.rejecting()) + " of " +
         std::to_string(Balancers) + " balancers for " +
         secondsText(Service.rejectingSince()) + ", " +
         std::to_string(Service.refused()) + " flows";
}

static std::vector<std::string> figureRow(std::string Service, std::string Zone,
                                          const load_figures &Figures,
                                          std::string Rejected) {
  return {std::move(Service),
          std::move(Zone),
          std::to_string(Figures.Targets),
          std::to_string(Figures.TakingFlows),
          std::to_string(Figures.Stale),
          std::to_string(Figures.Slots),
          percent(Figures.busyShare()),
          Figures.Known == 0 ? "-" : std::to_string(Figures.FreeSlots),
          slashed(Figures.Waiting),
          msText(Figures.longestWait()),
          std::to_string(Figures.Flows),
          std::move(Rejected)};
}

static std::string stateText(const agent_load &Load) {
  std::vector<std::string> States;
  if (!Load.ReportAge)
    States.emplace_back("no report");
  else if (isStale(Load))
    States.emplace_back("stale");
  if (Load.Suspect)
    States.emplace_back("suspect");
  if (Load.Evacuated)
    States.emplace_back("evacuated");
  if (!Load.Admitting)
    States.emplace_back("not admitting");
  return States.empty() ? "ok" : joined(States);
}

static std::vector<std::string> targetRow(const agent_load &Load) {
  std::vector<std::string> Row = {toText(Load.Agent), Load.Service, Load.Zone};
  if (!Load.ReportAge) {
    Row.insert(Row.end(), {"-", "-", "-", "-", "-", "-", "-", "-"});
  } else {
    Row.insert(Row.end(),
               {std::to_string(Load.Slots), std::to_string(Load.Active),
                percent(std::min(Load.Busy / 1000.0, 1.0))});
    // The free slots of a stale report may be in use by now.
    const bool IsFreeKnown = Load.Capacity && !isStale(Load);
    Row.push_back(IsFreeKnown ? std::to_string(Load.Capacity->FreeSlots) : "-");
    Row.push_back(Load.Capacity ? slashed(Load.Capacity->Waiting) : "-");
    Row.push_back(Load.Capacity ? msText(longestWaitAt(Load)) : "-");
    Row.push_back(std::to_string(Load.Flows));
    Row.push_back(msText(*Load.ReportAge));
  }
  Row.push_back(stateText(Load));
  return Row;
}

static void append(std::vector<std::string> &Lines, const text_table &Table) {
  Lines.emplace_back();
  const std::vector<std::string> More = Table.lines();
  Lines.insert(Lines.end(), More.begin(), More.end());
}

static text_table serviceTable(const load_summary &Load) {
  text_table Table({"SERVICE", "ZONE", "TARGETS", "TAKING FLOWS", "STALE",
                    "SLOTS", "BUSY", "FREE", WaitingHead, "LONGEST WAIT",
                    "FLOWS", "REJECTED"});
  for (const auto &[Name, Service] : Load.Services) {
    Table.add(figureRow(Name, "all", Service.Total,
                        rejectedText(Service, Load.Balancers)));
    for (const auto &[Zone, Figures] : Service.Zones)
      Table.add(figureRow("", Zone, Figures, "-"));
  }
  return Table;
}

static text_table targetTable(const load_summary &Load, std::size_t Shown) {
  text_table Table({"TARGET", "SERVICE", "ZONE", "SLOTS", "ACTIVE", "BUSY",
                    "FREE", WaitingHead, "LONGEST WAIT", "FLOWS", "REPORT AGE",
                    "STATE"});
  for (std::size_t I = 0; I < Shown; ++I)
    Table.add(targetRow(Load.Targets[I]));
  return Table;
}

std::vector<std::string> loadScreen(const load_report_view &View,
                                    std::size_t Limit) {
  const load_summary &Load = View.Load;
  std::vector<std::string> Lines = {headLine(View)};
  for (const failure &Fault : View.Faults)
    Lines.push_back(Fault.Peer + ": " + Fault.Reason);
  if (!Load.Services.empty())
    append(Lines, serviceTable(Load));
  // Without this line, the sum would look like that of all targets.
  for (const auto &[Name, Service] : Load.Services)
    if (Service.Total.Known > 0 && Service.Total.Known < Service.Total.Targets)
      Lines.push_back(
          Name + ": the free slots of " +
          std::to_string(Service.Total.Targets - Service.Total.Known) + " of " +
          std::to_string(Service.Total.Targets) + " targets are not known");
  const std::size_t Shown = std::min(Limit, Load.Targets.size());
  if (Shown > 0)
    append(Lines, targetTable(Load, Shown));
  if (Shown < Load.Targets.size())
    Lines.push_back("and " + std::to_string(Load.Targets.size() - Shown) +
                    " more targets");
  return Lines;
}

//===----------------------------------------------------------------------===//
// JSON
//===----------------------------------------------------------------------===//

template <typename Times> static ordered_json waitsJson(const Times &Waits) {
  ordered_json List = ordered_json::array();
  for (const auto Wait : Waits)
    List.push_back(std::chrono::duration_cast<milliseconds>(Wait).count());
  return List;
}

static void addFigures(ordered_json &Json, const load_figures &Figures) {
  Json.update(
      {{"targets", Figures.Targets},
       {"taking_flows", Figures.TakingFlows},
       {"stale", Figures.Stale},
       {"slots", Figures.Slots},
       {"busy_share", Figures.busyShare()},
       {"free_slots",
        Figures.Known == 0 ? ordered_json() : ordered_json(Figures.FreeSlots)},
       {"free_slots_known_of", Figures.Known},
       {"waiting", Figures.Waiting},
       {"wait_ms", waitsJson(Figures.Wait)},
       {"longest_wait_ms", Figures.longestWait().count()},
       {"flows", Figures.Flows}});
}

static ordered_json priorityJson(const std::optional<std::uint8_t> &Priority) {
  return Priority ? ordered_json(*Priority) : ordered_json();
}

static ordered_json admissionJson(const service_load &Service) {
  ordered_json Balancers = ordered_json::array();
  for (const balancer_admission &Balancer : Service.Admission)
    Balancers.push_back(
        {{"balancer", Balancer.Balancer},
         {"refuses_from_priority", priorityJson(Balancer.State.FromPriority)},
         {"since_ms", Balancer.State.Since.count()},
         {"refused", Balancer.State.Refused}});
  return {{"refusing_balancers", Service.rejecting()},
          {"refuses_from_priority", priorityJson(Service.rejectedFrom())},
          {"since_ms", Service.rejectingSince().count()},
          {"refused", Service.refused()},
          {"balancers", Balancers}};
}

static ordered_json servicesJson(const load_summary &Load) {
  ordered_json Services = ordered_json::array();
  for (const auto &[Name, Service] : Load.Services) {
    ordered_json Json = {{"service", Name}};
    addFigures(Json, Service.Total);
    Json["zones"] = ordered_json::array();
    for (const auto &[Zone, Figures] : Service.Zones) {
      ordered_json ZoneJson = {{"zone", Zone}};
      addFigures(ZoneJson, Figures);
      Json["zones"].push_back(std::move(ZoneJson));
    }
    Json["admission"] = admissionJson(Service);
    Services.push_back(std::move(Json));
  }
  return Services;
}

static ordered_json targetJson(const agent_load &Load) {
  ordered_json Json = {
      {"agent", toText(Load.Agent)},
      {"service", Load.Service},
      {"zone", Load.Zone},
      {"admitting", Load.Admitting},
      {"suspect", Load.Suspect},
      {"evacuated", Load.Evacuated},
      {"stale", isStale(Load)},
      {"report_age_ms",
       Load.ReportAge ? ordered_json(Load.ReportAge->count()) : ordered_json()},
      {"flows", Load.Flows},
      {"busy", Load.Busy},
      {"active", Load.Active},
      {"slots", Load.Slots}};
  if (Load.Capacity)
    Json["capacity"] = {{"free_slots", Load.Capacity->FreeSlots},
                        {"waiting", Load.Capacity->Waiting},
                        {"wait_ms", waitsJson(Load.Capacity->Wait)}};
  return Json;
}

std::string loadJson(const load_report_view &View) {
  const load_summary &Load = View.Load;
  ordered_json Faults = ordered_json::array();
  for (const failure &Fault : View.Faults)
    Faults.push_back({{"balancer", Fault.Peer}, {"reason", Fault.Reason}});
  ordered_json Targets = ordered_json::array();
  for (const agent_load &Target : Load.Targets)
    Targets.push_back(targetJson(Target));
  const ordered_json Json = {{"balancers_asked", View.Asked},
                             {"balancers_read", Load.Balancers},
                             {"faults", Faults},
                             {"evacuated_zones", Load.EvacuatedZones},
                             {"services", servicesJson(Load)},
                             {"targets", Targets}};
  return Json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

} // namespace marjoramrail::ctl
