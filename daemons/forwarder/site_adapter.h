//===- site_adapter.h - Translation of a site's formats ---------*- C++ -*-===//
///
/// \file
/// Hooks that translate a site's own formats of packets, store objects and
/// target reports for the forwarding processes. An adapter only translates; it
/// makes no decisions.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_SITE_ADAPTER_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_SITE_ADAPTER_H

#include "marjoramrail/forward.h"
#include "marjoramrail/platform.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail::daemons {

enum class target_call_kind { Report, Leave, Malformed };

/// A decoded call from a target to its agent.
struct target_call {
  target_call_kind Kind = target_call_kind::Malformed;
  target_report Report;
  /// Why the call is malformed.
  std::string Reason;
};

struct site_adapter {
  segment_codec Codec;
  platform_dialect Dialect;
  std::function<route_reader(const platform_object &)> ReadRoutes;
  /// Returns nothing if the request is not a call of a target.
  std::function<std::optional<target_call>(const page_request &)>
      DecodeTargetCall;
  /// Whether the request is the site's readiness probe.
  std::function<bool(const page_request &)> IsReadinessProbe;
  /// The id of the request that starts in the packet, or "".
  std::function<std::string(bytes_view Packet)> RequestIdOf;
  /// The status code of the answer that starts in the packet, or 0.
  std::function<int(bytes_view Packet)> StatusOf;
};

/// The reason that is logged with the event process-started.
inline std::string startReason(const mechanism_set &DisabledMechanisms) {
  const std::string Reason = "settings are in force";
  return DisabledMechanisms.empty()
             ? Reason
             : Reason + "; without " + toText(DisabledMechanisms);
}

/// Settings of the client with which process \p Name calls the site's store.
inline platform_client_settings
storeSettings(const std::string &Name, const endpoint &Store,
              const site_adapter &Adapter,
              const mechanism_set &DisabledMechanisms) {
  /// The store usually answers within milliseconds and may become 100 times
  /// slower under overload.
  constexpr duration Timeout = std::chrono::milliseconds(1500);
  /// Shorter, because callers wait for it: if all processes were lost while the
  /// store does not respond, no process serves them until its first call ends.
  constexpr duration FirstTimeout = std::chrono::milliseconds(500);
  platform_client_settings Client;
  if (!DisabledMechanisms.has(mechanism::EarlyStoreRetry))
    Client.FirstTimeout = FirstTimeout;
  Client.Servers = {Store};
  Client.Writer = Name;
  Client.Timeout = Timeout;
  Client.Dialect = Adapter.Dialect;
  return Client;
}

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_SITE_ADAPTER_H
