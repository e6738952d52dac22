//===- load_settings.h - Settings of one experiment -------------*- C++ -*-===//
///
/// \file
/// The flows, requests and faults of marjoram-load, read from JSON with
/// comments.
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
  /// Share of the flows that keep a long-lived stream (status, alerts) open.
  std::uint32_t StreamPercent = 0;
  std::uint32_t StreamIntervalMs = 1000;
  /// Share of the requests with an Idempotency-Key header field.
  std::uint32_t KeyedPercent = 0;
  std::uint32_t WorkMs = 1;
  /// Share of the requests that take LongWorkMs instead of WorkMs.
  std::uint32_t LongPercent = 0;
  std::uint32_t LongWorkMs = 1;
  /// If more than 0, requests fetch documents of this size instead of doing
  /// work.
  std::uint32_t DocumentBytes = 0;
  std::uint32_t DeadlineMs = 2000;
  /// The first SkewFlows flows send SkewPercent of the requests.
  std::uint32_t SkewFlows = 0;
  std::uint32_t SkewPercent = 0;
};

/// The kinds of faults that can be injected.
enum class fault_action {
  Kill,
  Freeze,
  Thaw,
  /// Requests the start of a process from scripts/site.
  Start,
  /// Sends Argument, a JSON object, to the fabric's control address.
  Fabric,
  /// Sends Argument, a JSON object, to /v1/faults of the platform stand-in.
  Platform,
  /// Requests a named step from scripts/site, such as a drain or a change of
  /// the configuration.
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

/// One entry of the fault plan.
struct planned_fault {
  duration At = duration::zero();
  fault_action Action{};
  /// Name of a process (its pid is in FOLDER/NAME.pid) or of a step.
  std::string Subject;
  std::string Argument;
};

/// All settings of one experiment.
struct load_settings {
  std::uint64_t Seed = 1;
  /// How long requests are sent after the last flow has been opened.
  duration SendDuration = duration::zero();
  /// How long outstanding requests may take at the end.
  duration Grace = duration::zero();
  endpoint Local;
  endpoint Fabric;
  endpoint FabricControl;
  endpoint Platform;
  /// First address of the callers; each 1,000 flows use one address.
  std::uint32_t FirstCaller = 0;
  /// Folder of the attempt logs and pid files.
  std::string Folder;
  /// Hosts that the fault plan kills; their flows may break.
  std::vector<std::string> KilledHosts;
  std::vector<service_load> Services;
  std::vector<planned_fault> Faults;
};

/// Reads the settings; fails with step::ParseSettings.
result<load_settings> readLoadSettings(settings_reader &Reader);

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_LOAD_SETTINGS_H
