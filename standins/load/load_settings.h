//===- load_settings.h - One experiment -------------------------*- C++ -*-===//
///
/// \file
/// What marjoram-load opens, sends and breaks, read from JSON with comments.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_LOAD_SETTINGS_H
#define MARJORAMRAIL_STANDINS_LOAD_SETTINGS_H

#include "marjoramrail/runtime.h"

#include <string>
#include <vector>

namespace marjoramrail::standins {

/// The flows and requests that go to one service.
struct service_load {
  std::string Name;
  endpoint Address;
  std::uint32_t Flows = 0;
  std::uint32_t OpenPerSecond = 0;
  std::uint32_t RequestsPerSecond = 0;
  /// Flows that keep a long stream (status, alerts) open.
  std::uint32_t StreamPercent = 0;
  std::uint32_t StreamIntervalMs = 1000;
  /// Requests that carry an Idempotency-Key.
  std::uint32_t KeyedPercent = 0;
  std::uint32_t WorkMs = 1;
  /// Long work among short.
  std::uint32_t LongPercent = 0;
  std::uint32_t LongWorkMs = 1;
  /// More than 0: documents of this size instead of work.
  std::uint32_t DocumentBytes = 0;
  std::uint32_t DeadlineMs = 2000;
  /// The first SkewFlows flows send SkewPercent of the requests.
  std::uint32_t SkewFlows = 0;
  std::uint32_t SkewPercent = 0;
};

/// What is done to the site, and when.
enum class fault_action {
  Kill,
  Freeze,
  Thaw,
  /// Asks whoever started the processes to start one (this tool starts none).
  Start,
  /// Sends Argument, a JSON object, to the fabric's control address.
  Fabric,
  /// Sends Argument, a JSON object, to the platform's fault page.
  Platform,
  /// Asks for a script step of that name: a drain, a change of configuration.
  Step,
};

inline constexpr name_table<fault_action, 7> FaultActionNames = {{
    {fault_action::Kill, "kill"},
    {fault_action::Freeze, "freeze"},
    {fault_action::Thaw, "thaw"},
    {fault_action::Start, "start"},
    {fault_action::Fabric, "fabric"},
    {fault_action::Platform, "platform"},
    {fault_action::Step, "step"},
}};

struct planned_fault {
  duration At = duration::zero();
  fault_action Action{};
  /// A process's name (its pid is in PIDS/NAME.pid) or a step.
  std::string Subject;
  std::string Argument;
};

struct load_settings {
  std::uint64_t Seed = 1;
  /// How long requests are sent after the last flow has been opened.
  duration SendDuration = duration::zero();
  /// How long requests under way may take at the end.
  duration Grace = duration::zero();
  endpoint Local;
  endpoint Fabric;
  endpoint FabricControl;
  endpoint Platform;
  /// Callers' addresses start here; one per 1,000 flows.
  std::uint32_t FirstCaller = 0;
  /// Where attempts are recorded and pid files stand.
  std::string Folder;
  /// Hosts whose flows may break, because the plan kills them.
  std::vector<std::string> KilledHosts;
  std::vector<service_load> Services;
  std::vector<planned_fault> Faults;
};

result<load_settings> readLoadSettings(settings_reader &Reader);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_LOAD_SETTINGS_H
