#include "report/svg_chart.h"

namespace marjoramrail {

using namespace internal;

static const char *const Style = R"(<style>
body { font: 15px/1.45 sans-serif; max-width: 960px; margin: 2em auto;
       padding: 0 1em; color: #222; background: #fff; }
table { border-collapse: collapse; margin: .5em 0 1.5em; }
th, td { padding: .2em .9em .2em 0; text-align: left; }
th { border-bottom: 1px solid #888; }
td.number, th.number { text-align: right; }
.kept { color: #17703a; } .broke { color: #b3261e; font-weight: bold; }
svg { width: 100%; height: auto; font: 11px sans-serif; }
.grid { stroke: #ddd; } .mark { stroke: #b3261e; stroke-dasharray: 3 3; }
.bar { fill: #3566a8; } .pale { fill: #c3cfe0; }
.legend { margin: 0 0 1em 60px; }
</style>
)";

static std::string cell(const std::string &Text, bool Number = false) {
  return std::string(Number ? "<td class=\"number\">" : "<td>") +
         escaped(Text) + "</td>";
}

static std::string count(std::uint64_t Value) { return std::to_string(Value); }

/// The head of a table. All columns but the first contain numbers.
static std::string tableHead(const std::vector<std::string> &Names) {
  std::string Html = "<table><tr>";
  for (std::size_t I = 0; I < Names.size(); ++I)
    Html.append(I == 0 ? "<th>" : "<th class=\"number\">")
        .append(escaped(Names[I]))
        .append("</th>");
  return Html + "</tr>\n";
}

static std::string promiseTable(const experiment_report &Report) {
  std::string Html = "<h2>Promises</h2>\n<table>\n";
  for (const report_promise &Promise : Report.Promises)
    Html += std::string("<tr><td class=\"") +
            (Promise.Kept ? "kept\">kept" : "broke\">BROKE") + "</td>" +
            cell(Promise.Name) + cell(Promise.Figure) + "</tr>\n";
  return Html + "</table>\n";
}

static std::string totalsTable(const experiment_report &Report) {
  std::string Html = "<h2>Requests and flows</h2>\n<table>\n";
  const auto Row = [&](const std::string &Name, std::uint64_t Value) {
    Html += "<tr>" + cell(Name) + cell(count(Value), true) + "</tr>\n";
  };
  for (const auto &[End, Name] : AttemptOutcomeNames)
    Row("attempts " + std::string(Name), Report.total(End));
  Row("flows opened", Report.Flows.Opened);
  Row("flows moved by the system's request", Report.Flows.Moved);
  Row("flows broken", Report.Flows.Broken);
  Row("of these, their own host was killed", Report.Flows.AllowedBroken);
  return Html + "</table>\n";
}

static std::string latencyTable(const experiment_report &Report) {
  std::string Html =
      "<h2>Latency of answered requests, ms</h2>\n" +
      tableHead({"kind", "count", "50%", "90%", "99%", "99.9%", "highest"});
  for (const latency_figures &Latency : Report.Latencies) {
    Html += "<tr>" + cell(Latency.Kind) + cell(count(Latency.Count), true);
    for (const double Value :
         {Latency.P50, Latency.P90, Latency.P99, Latency.P999, Latency.Max})
      Html += cell(shortNumber(Value), true);
    Html += "</tr>\n";
  }
  return Html + "</table>\n";
}

static std::string reasonTable(const experiment_report &Report) {
  if (Report.Reasons.empty())
    return "";
  std::string Html = "<h2>Why attempts were not answered</h2>\n" +
                     tableHead({"reason", "outcome", "count"});
  for (const reason_count &Reason : Report.Reasons)
    Html += "<tr>" + cell(Reason.Reason.empty() ? "-" : Reason.Reason) +
            cell(std::string(nameOf(AttemptOutcomeNames, Reason.End)), true) +
            cell(count(Reason.Count), true) + "</tr>\n";
  return Html + "</table>\n";
}

template <typename Member>
static std::vector<double> valuesOf(const experiment_report &Report,
                                    Member Part) {
  std::vector<double> Values;
  for (const report_second &Second : Report.Seconds)
    Values.push_back(static_cast<double>(Second.*Part));
  return Values;
}

static std::string timeCharts(const experiment_report &Report) {
  std::string Html = "<h2>Attempts by the second</h2>\n";
  Html += lineChart(
      {{"ok", "#17703a", valuesOf(Report, &report_second::Ok)},
       {"refused", "#c98500", valuesOf(Report, &report_second::Refused)},
       {"unknown", "#b3261e", valuesOf(Report, &report_second::Unknown)},
       {"wrong", "#000000", valuesOf(Report, &report_second::Wrong)}},
      Report.Marks, "/s");
  Html += "<h2>Latency by the second</h2>\n";
  Html += lineChart({{"50%", "#3566a8", valuesOf(Report, &report_second::P50)},
                     {"99%", "#7a3fa0", valuesOf(Report, &report_second::P99)}},
                    Report.Marks, "ms");
  if (Report.Marks.empty())
    return Html;
  Html += "<ol>\n";
  for (const report_mark &Mark : Report.Marks)
    Html += "<li>at " + shortNumber(Mark.Second) + " s: " + escaped(Mark.What) +
            "</li>\n";
  return Html + "</ol>\n";
}

static std::string shareCharts(const experiment_report &Report) {
  std::string Html;
  for (const service_shares &Service : Report.Services) {
    std::vector<chart_bar> Flows;
    std::vector<chart_bar> Work;
    for (const host_share &Host : Service.Hosts) {
      Flows.push_back({Host.Host, Host.Flows, Host.Excluded});
      Work.push_back({Host.Host, Host.Work, Host.Excluded});
    }
    Html += "<h2>" + escaped(Service.Service) + ": flows by host, imbalance " +
            shortNumber(Service.FlowImbalance) + "</h2>\n" + barChart(Flows);
    Html += "<h2>" + escaped(Service.Service) +
            ": work by host in seconds, imbalance " +
            shortNumber(Service.WorkImbalance) + "</h2>\n" + barChart(Work);
  }
  return Html;
}

std::string toHtml(const experiment_report &Report) {
  std::string Html = "<!DOCTYPE html>\n<html lang=\"en\"><head>"
                     "<meta charset=\"utf-8\"><title>" +
                     escaped(Report.Title) + "</title>\n" + Style +
                     "</head><body>\n<h1>" + escaped(Report.Title) + "</h1>\n";
  Html += Report.kept() ? "<p class=\"kept\">Every promise was kept.</p>\n"
                        : "<p class=\"broke\">A promise broke.</p>\n";
  Html += "<p>";
  for (const auto &[Name, Value] : Report.Parameters)
    Html += escaped(Name) + " " + escaped(Value) + "; ";
  Html += "</p>\n";
  Html += promiseTable(Report);
  Html += totalsTable(Report);
  Html += timeCharts(Report);
  Html += latencyTable(Report);
  Html += reasonTable(Report);
  Html += shareCharts(Report);
  return Html + "</body></html>\n";
}

} // namespace marjoramrail
