//===- agent_settings.h - Settings of one agent -----------------*- C++ -*-===//
///
/// \file
/// The settings file of marjoramrail-agent, validated at the start.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_AGENT_SETTINGS_H
#define MARJORAMRAIL_DAEMONS_AGENT_AGENT_SETTINGS_H

#include "marjoramrail/resource.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail {

struct agent_settings {
  /// The target host's name; it stays the same across restarts.
  std::string Name;
  std::string Service;
  std::string Zone;
  /// Receives routed packets and messages of balancers and agents (UDP).
  endpoint RoutedListen;
  /// Receives relayed requests and key records from other agents (TCP).
  endpoint RelayListen;
  endpoint StatusListen;
  /// The fabric's address for packets to callers (UDP).
  endpoint FabricReturn;
  /// The target's listening address.
  endpoint Target;
  /// Server of the platform's object API, from which the service's rules are
  /// read. If it is not set, the rules in this file apply.
  endpoint Platform;
  std::vector<endpoint> Balancers;
  service_protocol Protocol = service_protocol::Http2;
  std::uint32_t Slots = 4;
  std::uint32_t MaxSharePercent = 105;
  duration SilentFlow = std::chrono::seconds(60);
  /// How long a graceful shutdown may take.
  duration DrainBound = std::chrono::seconds(30);
  std::uint32_t ColdStartSeconds = 10;
  /// See key_settings::MaxRecords.
  std::uint32_t KeyRecords = 20000;
  /// 0: derived from the clock and the process id.
  std::uint32_t Seed = 0;
};

/// Reads the file at \p Path. The failure lists every fault in it.
result<agent_settings> readAgentSettings(const std::string &Path);

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_AGENT_SETTINGS_H
