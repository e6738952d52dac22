#include "audit.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace marjoramrail::standins {

using nlohmann::json;

static std::string text(const json &Line, const char *Field) {
  return Line.value(Field, std::string());
}

static std::int64_t number(const json &Line, const char *Field) {
  return Line.value(Field, std::int64_t{0});
}

static attempt_line toAttempt(const json &Line) {
  return {text(Line, "service"),    text(Line, "request"),
          text(Line, "key"),        text(Line, "outcome"),
          text(Line, "status"),     text(Line, "host"),
          number(Line, "first_us"), number(Line, "sent_us"),
          number(Line, "ended_us")};
}

static flow_line toFlow(const json &Line) {
  return {text(Line, "service"), text(Line, "event"), text(Line, "flow"),
          text(Line, "host"),    text(Line, "why"),   number(Line, "at_us")};
}

static fault_line toFault(const json &Line) {
  return {text(Line, "action"), text(Line, "who"), text(Line, "argument"),
          number(Line, "at_us")};
}

static run_line toRun(const json &Line) {
  return {text(Line, "event"),     text(Line, "host"),    text(Line, "service"),
          text(Line, "meant"),     text(Line, "request"), text(Line, "key"),
          number(Line, "work_us"), number(Line, "at_us")};
}

void audit_input::read(std::istream &In) {
  std::string Text;
  while (std::getline(In, Text)) {
    const json Line = json::parse(Text, nullptr, false);
    if (!Line.is_object()) {
      ++MalformedLines;
      continue;
    }
    const std::string Kind = text(Line, "line");
    if (Kind == "attempt")
      Attempts.push_back(toAttempt(Line));
    else if (Kind == "flow")
      Flows.push_back(toFlow(Line));
    else if (Kind == "fault")
      Faults.push_back(toFault(Line));
    else
      Runs.push_back(toRun(Line));
  }
}

/// Returns the part of a request's name that all its attempts share.
static std::string baseOf(const std::string &Request) {
  return Request.substr(0, Request.find('/'));
}

static void countOutcomes(const audit_input &Input, audit_result &Result) {
  std::map<std::string, std::string> Last;
  for (const attempt_line &Attempt : Input.Attempts) {
    std::string &Outcome = Last[baseOf(Attempt.Request)];
    if (Outcome != "ok")
      Outcome = Attempt.Outcome;
    if (Attempt.Outcome == "wrong")
      ++Result.Wrong;
  }
  Result.Requests = Last.size();
  for (const auto &[Request, Outcome] : Last) {
    Result.Ok += Outcome == "ok" ? 1 : 0;
    Result.Refused += Outcome == "refused" ? 1 : 0;
    Result.Unknown += Outcome == "unknown" ? 1 : 0;
  }
}

static void countFlows(const audit_input &Input, const audit_settings &Settings,
                       audit_result &Result) {
  for (const flow_line &Flow : Input.Flows) {
    if (Flow.Event == "moved")
      ++Result.MovedFlows;
    if (Flow.Event != "broken")
      continue;
    ++Result.BrokenFlows;
    if (Settings.KilledHosts.count(Flow.Host) != 0)
      ++Result.AllowedBroken;
  }
}

static void countRuns(const audit_input &Input, audit_result &Result) {
  std::set<std::string> Begun;
  std::map<std::string, std::uint64_t> BegunByKey;
  for (const run_line &Run : Input.Runs) {
    if (Run.Event != "begin")
      continue;
    Begun.insert(Run.Request);
    if (Run.IntendedService != Run.Service)
      ++Result.Misrouted;
    if (!Run.Key.empty())
      ++BegunByKey[Run.Key];
  }
  for (const auto &[Key, Count] : BegunByKey)
    Result.RanTwice += Count > 1 ? 1 : 0;
  for (const attempt_line &Attempt : Input.Attempts)
    if (Attempt.Outcome == "refused" && Begun.count(Attempt.Request) != 0)
      ++Result.RefusedButRan;
}

/// Work and flows per host, keyed by service name and host name.
using shares_by_host = std::map<std::string, std::map<std::string, host_share>>;

static shares_by_host addShares(const audit_input &Input) {
  constexpr double MicrosecondsPerSecond = 1e6;
  shares_by_host Shares;
  for (const run_line &Run : Input.Runs)
    if (Run.Event == "end")
      Shares[Run.Service][Run.Host].Work +=
          static_cast<double>(Run.WorkUs) / MicrosecondsPerSecond;
  for (const flow_line &Flow : Input.Flows)
    if (Flow.Event == "living" && !Flow.Host.empty())
      Shares[Flow.Service][Flow.Host].Flows += 1;
  return Shares;
}

static void measureBalance(const audit_input &Input,
                           const audit_settings &Settings,
                           audit_result &Result) {
  for (auto &[Service, Hosts] : addShares(Input)) {
    service_shares &Shares = Result.Services[Service];
    Shares.Service = Service;
    for (auto &[Host, Share] : Hosts) {
      Share.Host = Host;
      Share.Excluded = Settings.ExcludedHosts.count(Host) != 0;
      Shares.Hosts.push_back(Share);
    }
    Shares.FlowImbalance = imbalanceOf(Shares.Hosts, &host_share::Flows);
    Shares.WorkImbalance = imbalanceOf(Shares.Hosts, &host_share::Work);
  }
}

audit_result audit(const audit_input &Input, const audit_settings &Settings) {
  audit_result Result;
  countOutcomes(Input, Result);
  countFlows(Input, Settings, Result);
  countRuns(Input, Result);
  measureBalance(Input, Settings, Result);
  return Result;
}

double audit_result::worstImbalance() const {
  double Worst = 1;
  for (const auto &[Name, Balance] : Services)
    Worst = std::max(Worst, Balance.WorkImbalance);
  return Worst;
}

bool audit_result::passedIgnoringBrokenFlows() const {
  return Requests > 0 && Misrouted == 0 && RanTwice == 0 &&
         RefusedButRan == 0 && Wrong == 0;
}

bool audit_result::passed() const {
  return passedIgnoringBrokenFlows() && BrokenFlows == AllowedBroken;
}

std::string summaryLine(const audit_result &Result) {
  std::ostringstream Out;
  Out << "requests=" << Result.Requests << " ok=" << Result.Ok
      << " refused=" << Result.Refused << " unknown=" << Result.Unknown
      << " broken_flows=" << Result.BrokenFlows
      << " allowed_broken=" << Result.AllowedBroken
      << " imbalance=" << std::fixed << std::setprecision(2)
      << Result.worstImbalance() << " misrouted=" << Result.Misrouted
      << " ran_twice=" << Result.RanTwice;
  return Out.str();
}

} // namespace marjoramrail::standins
