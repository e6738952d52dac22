//===- audit.h - Checks the records of an experiment ------------*- C++ -*-===//
///
/// \file
/// Compares the callers' logs with the targets' records and counts violations.
/// Does no file access: input and output are plain data.
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

/// One ended attempt from a caller's log.
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

/// One flow event from a caller's log.
struct flow_line {
  std::string Service;
  std::string Event;
  std::string Flow;
  std::string Host;
  std::string Reason;
  std::int64_t AtUs = 0;
};

/// One injected fault from a caller's log.
struct fault_line {
  std::string Action;
  std::string Subject;
  std::string Argument;
  std::int64_t AtUs = 0;
};

/// One line of a target's record.
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

/// All records of one experiment.
struct audit_input {
  std::vector<attempt_line> Attempts;
  std::vector<flow_line> Flows;
  std::vector<fault_line> Faults;
  std::vector<run_line> Runs;

  /// Adds the lines of a caller's log or a target's record. A line that is
  /// incomplete because its process was killed is counted and skipped.
  void read(std::istream &In);
  std::uint64_t MalformedLines = 0;
};

/// Hosts that get special treatment in the audit.
struct audit_settings {
  /// Hosts that the fault plan kills; their flows may break.
  std::set<std::string> KilledHosts;
  /// Hosts that the fault plan freezes, drains or kills; left out of the
  /// imbalance figures.
  std::set<std::string> ExcludedHosts;
};

/// The counts and violations that the audit found.
struct audit_result {
  std::uint64_t Requests = 0;
  std::uint64_t Ok = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  /// Answers that were incomplete or belonged to another request.
  std::uint64_t Wrong = 0;
  std::uint64_t BrokenFlows = 0;
  /// Broken flows whose host was killed; these are no violations.
  std::uint64_t AllowedBroken = 0;
  std::uint64_t MovedFlows = 0;
  std::uint64_t Misrouted = 0;
  std::uint64_t RanTwice = 0;
  /// Attempts that ran on a target although the caller was told that they did
  /// not run.
  std::uint64_t RefusedButRan = 0;
  std::map<std::string, service_shares> Services;

  double worstImbalance() const;
  /// Whether the experiment had requests and no violation was found.
  bool passed() const;
  /// Like passed(), but ignores broken flows. A machine short of CPU time can
  /// pause a process for longer than its peers wait, which breaks flows without
  /// a fault in the software, so tests don't fail for them.
  bool passedIgnoringBrokenFlows() const;
};

/// Checks \p Input and returns what was found.
audit_result audit(const audit_input &Input, const audit_settings &Settings);

/// Returns the summary as `name=value` pairs in one line, for scripts.
std::string summaryLine(const audit_result &Result);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_AUDIT_H
