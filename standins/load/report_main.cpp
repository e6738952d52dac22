// marjoram-report: audits the records of an experiment and writes its report.

#include "audit_report.h"

#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

using namespace marjoramrail;
using namespace marjoramrail::standins;

DEFINE_string(folder, "", "Folder of the callers' logs and targets' records.");
DEFINE_string(prefix, "report", "The word before the summary line.");
DEFINE_string(title, "An experiment", "The heading of the report.");
DEFINE_string(killed, "", "Hosts that the plan kills, separated by commas.");
DEFINE_string(excluded, "",
              "Hosts that the plan freezes or drains; not part of imbalance.");

DEFINE_bool(timing_free, false,
            "Print broken flows, but ignore them in the exit code.");

static std::set<std::string> namesIn(const std::string &List) {
  std::set<std::string> Names;
  std::istringstream In(List);
  for (std::string Name; std::getline(In, Name, ',');)
    Names.insert(Name);
  return Names;
}

static audit_input readFolder(const std::string &Folder) {
  audit_input Input;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
    if (Entry.path().extension() != ".jsonl")
      continue;
    std::ifstream In(Entry.path());
    Input.read(In);
  }
  return Input;
}

static void printBalance(const audit_result &Result) {
  for (const auto &[Name, Shares] : Result.Services) {
    std::cout << Name << ": work imbalance " << Shares.WorkImbalance
              << ", flow imbalance " << Shares.FlowImbalance << ", flows";
    for (const host_share &Host : Shares.Hosts)
      std::cout << " " << Host.Host << "=" << Host.Flows;
    std::cout << "\n";
  }
}

static void writeReport(const audit_input &Input, const audit_result &Result) {
  const experiment_report Report = reportOf(FLAGS_title, Input, Result);
  std::ofstream(FLAGS_folder + "/report.json") << toJson(Report);
  std::ofstream(FLAGS_folder + "/report.html") << toHtml(Report);
  std::cout << "report: " << FLAGS_folder << "/report.html\n";
}

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("Audits the records of an experiment; exit code 1 "
                          "if a violation was found.");
  gflags::ParseCommandLineFlags(&Argc, &Argv, /*remove_flags=*/true);
  if (!std::filesystem::is_directory(FLAGS_folder)) {
    std::cerr << "marjoram-report: --folder=" << FLAGS_folder
              << " is not a folder\n";
    return 2;
  }
  const audit_input Input = readFolder(FLAGS_folder);
  audit_settings Settings;
  Settings.KilledHosts = namesIn(FLAGS_killed);
  Settings.ExcludedHosts = namesIn(FLAGS_excluded);
  const audit_result Result = audit(Input, Settings);
  printBalance(Result);
  writeReport(Input, Result);
  if (Input.MalformedLines > 0)
    std::cout << "lines cut short: " << Input.MalformedLines << "\n";
  if (Result.Wrong > 0 || Result.RefusedButRan > 0)
    std::cout << "wrong answers: " << Result.Wrong
              << ", refused but ran: " << Result.RefusedButRan << "\n";
  std::cout << FLAGS_prefix << ": " << summaryLine(Result) << std::endl;
  const bool Passed =
      FLAGS_timing_free ? Result.passedIgnoringBrokenFlows() : Result.passed();
  return Passed ? 0 : 1;
}
