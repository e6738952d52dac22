#include "marjoramrail/report.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using ordered_json = nlohmann::ordered_json;

static ordered_json promises(const experiment_report &Report) {
  ordered_json List = ordered_json::array();
  for (const report_promise &Promise : Report.Promises)
    List.push_back({{"name", Promise.Name},
                    {"kept", Promise.Kept},
                    {"figure", Promise.Figure}});
  return List;
}

static ordered_json services(const experiment_report &Report) {
  ordered_json List = ordered_json::array();
  for (const service_shares &Service : Report.Services) {
    ordered_json Hosts = ordered_json::array();
    for (const host_share &Host : Service.Hosts)
      Hosts.push_back({{"host", Host.Host},
                       {"flows", Host.Flows},
                       {"work_seconds", Host.Work},
                       {"excluded", Host.Excluded}});
    List.push_back({{"service", Service.Service},
                    {"flow_imbalance", Service.FlowImbalance},
                    {"work_imbalance", Service.WorkImbalance},
                    {"hosts", Hosts}});
  }
  return List;
}

static ordered_json latencies(const experiment_report &Report) {
  ordered_json List = ordered_json::array();
  for (const latency_figures &Latency : Report.Latencies)
    List.push_back({{"kind", Latency.Kind},
                    {"count", Latency.Count},
                    {"p50_ms", Latency.P50},
                    {"p90_ms", Latency.P90},
                    {"p99_ms", Latency.P99},
                    {"p999_ms", Latency.P999},
                    {"max_ms", Latency.Max}});
  return List;
}

static ordered_json reasons(const experiment_report &Report) {
  ordered_json List = ordered_json::array();
  for (const reason_count &Reason : Report.Reasons)
    List.push_back({{"outcome", nameOf(AttemptOutcomeNames, Reason.End)},
                    {"reason", Reason.Reason},
                    {"count", Reason.Count}});
  return List;
}

static ordered_json seconds(const experiment_report &Report) {
  ordered_json List = ordered_json::array();
  for (const report_second &Second : Report.Seconds)
    List.push_back({{"ok", Second.Ok},
                    {"refused", Second.Refused},
                    {"unknown", Second.Unknown},
                    {"wrong", Second.Wrong},
                    {"p50_ms", Second.P50},
                    {"p99_ms", Second.P99}});
  return List;
}

static ordered_json marks(const experiment_report &Report) {
  ordered_json List = ordered_json::array();
  for (const report_mark &Mark : Report.Marks)
    List.push_back({{"second", Mark.Second}, {"what", Mark.What}});
  return List;
}

std::string toJson(const experiment_report &Report) {
  ordered_json Parameters = ordered_json::object();
  for (const auto &[Name, Value] : Report.Parameters)
    Parameters[Name] = Value;
  ordered_json Totals = ordered_json::object();
  for (const auto &[End, Name] : AttemptOutcomeNames)
    Totals[std::string(Name)] = Report.total(End);
  const ordered_json Json = {{"title", Report.Title},
                             {"kept", Report.kept()},
                             {"set", Parameters},
                             {"promises", promises(Report)},
                             {"requests", Totals},
                             {"flows",
                              {{"opened", Report.Flows.Opened},
                               {"moved", Report.Flows.Moved},
                               {"broken", Report.Flows.Broken},
                               {"allowed_broken", Report.Flows.AllowedBroken}}},
                             {"services", services(Report)},
                             {"latencies", latencies(Report)},
                             {"reasons", reasons(Report)},
                             {"seconds", seconds(Report)},
                             {"marks", marks(Report)}};
  return Json.dump(2, ' ', false, ordered_json::error_handler_t::replace) +
         "\n";
}

} // namespace marjoramrail
