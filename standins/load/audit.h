//===- audit.h - What an experiment proved or broke -------------*- C++ -*-===//
///
/// \file
/// Compares what callers were told with what the targets recorded. Pure: lines
/// in, findings out.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_AUDIT_H
#define MARJORAMRAIL_STANDINS_AUDIT_H

#include "marjoramrail/report.h"

#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramrail::standins {

/// One ended attempt, read from a caller's log.
struct attempt_line {
  std::string Service;
  std::string Request;
  std::string Key;
  std::string Outcome;
  std::string Status;
  std::string Host;
  std::int64_t FirstUs = 0;
  std::int64_t SentUs = 0;
  std::int64_t EndedUs = 0;
};

struct flow_line {
  std::string Service;
  std::string Event;
  std::string Flow;
  std::string Host;
  std::string Reason;
  std::int64_t AtUs = 0;
};

struct fault_line {
  std::string Action;
  std::string Subject;
  std::string Argument;
  std::int64_t AtUs = 0;
};

/// One line of a target's own record.
struct run_line {
  std::string Event;
  std::string Host;
  std::string Service;
  std::string IntendedService;
  std::string Request;
  std::string Key;
  std::int64_t WorkUs = 0;
  std::int64_t AtUs = 0;
};

struct audit_input {
  std::vector<attempt_line> Attempts;
  std::vector<flow_line> Flows;
  std::vector<fault_line> Faults;
  std::vector<run_line> Runs;

  /// Adds the lines of a caller's log or a target's record; a line cut short
  /// by a kill is counted and left out.
  void read(std::istream &In);
  std::uint64_t MalformedLines = 0;
};

struct audit_settings {
  /// Hosts that the plan kills: their flows may break.
  std::set<std::string> KilledHosts;
  /// Hosts that the plan freezes, drains or kills: no part of imbalance.
  std::set<std::string> ExcludedHosts;
};

struct audit_result {
  std::uint64_t Requests = 0;
  std::uint64_t Ok = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  /// Answers that were not whole or another request's.
  std::uint64_t Wrong = 0;
  std::uint64_t BrokenFlows = 0;
  /// Of these, flows whose own host was killed.
  std::uint64_t AllowedBroken = 0;
  std::uint64_t MovedFlows = 0;
  std::uint64_t Misrouted = 0;
  std::uint64_t RanTwice = 0;
  /// Attempts that a caller was told were not run, and that ran.
  std::uint64_t RefusedButRan = 0;
  std::map<std::string, service_shares> Services;

  double worstImbalance() const;
  /// No promise broke.
  bool passed() const;
  /// The same, but for broken flows: a starved machine can pause a process for
  /// longer than its peers wait for it, so they decide no test's verdict.
  bool passedIgnoringBrokenFlows() const;
};

audit_result audit(const audit_input &Input, const audit_settings &Settings);

/// The line that scripts read.
std::string summaryLine(const audit_result &Result);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_AUDIT_H
