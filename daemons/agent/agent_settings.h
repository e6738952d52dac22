//===- agent_settings.h - Settings of one agent -----------------*- C++ -*-===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_AGENT_SETTINGS_H
#define MARJORAMRAIL_DAEMONS_AGENT_AGENT_SETTINGS_H

#include "marjoramrail/resource.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail {

struct agent_settings {
  /// The target host's name; it outlives restarts.
  std::string Name;
  std::string Service;
  std::string Zone;
  /// Routed packets, fleet and agent-to-agent messages (UDP).
  endpoint RoutedListen;
  /// Relayed requests and key records (TCP).
  endpoint RelayListen;
  endpoint StatusListen;
  /// Where packets to callers go (UDP).
  endpoint FabricReturn;
  /// The target's own listener.
  endpoint Target;
  /// Where the service's own rules are read from; without it those of this file
  /// hold.
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
  /// 0: the clock and the process's number give it.
  std::uint32_t Seed = 0;
};

/// Fails with every fault of the file at \p Path.
result<agent_settings> readAgentSettings(const std::string &Path);

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_AGENT_SETTINGS_H
