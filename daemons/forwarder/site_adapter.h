//===- site_adapter.h - What a site's own formats bring ---------*- C++ -*-===//
///
/// \file
/// The hooks through which the forwarding processes meet a site whose packets,
/// objects and reports are spelled in its own way. An adapter only translates.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_SITE_ADAPTER_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_SITE_ADAPTER_H

#include "marjoramrail/forward.h"
#include "marjoramrail/platform.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail::daemons {

enum class target_call_kind { Report, Leave, Malformed };

/// A call that a target made to its agent.
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
  /// Nothing if the request is no call of a target.
  std::function<std::optional<target_call>(const page_request &)>
      DecodeTargetCall;
  /// Whether the request asks if this process may get traffic.
  std::function<bool(const page_request &)> IsReadinessRequest;
  /// The id of the request that a packet begins, or "".
  std::function<std::string(bytes_view Packet)> RequestIdOf;
  /// The status code of the answer that a packet begins, or 0.
  std::function<int(bytes_view Packet)> StatusOf;
};

/// What a process says at its start.
inline std::string startReason(const mechanism_set &DisabledMechanisms) {
  const std::string Reason = "settings are in force";
  return DisabledMechanisms.empty()
             ? Reason
             : Reason + "; without " + toText(DisabledMechanisms);
}

/// How a process called \p Name reaches the site's store.
inline platform_client_settings
storeSettings(const std::string &Name, const endpoint &Store,
              const site_adapter &Adapter,
              const mechanism_set &DisabledMechanisms) {
  /// The store answers in milliseconds, 100 times slower on a bad day.
  constexpr duration Timeout = std::chrono::milliseconds(1500);
  /// After a loss of all processes while the store is silent, callers wait this
  /// much less for the first one that serves them.
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
