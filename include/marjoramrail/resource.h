//===- resource.h - Objects of the resource API -----------------*- C++ -*-===//
///
/// \file
/// The objects of the resource API, their validation and their JSON forms.
/// Operators write the desired state ("spec"); the system writes the "status".
/// The two are separate platform objects (KIND and KIND-status), so that writes
/// of an operator and of the system never conflict on one object version.
///
/// Usage:
/// \code
///   BOOST_LEAF_AUTO(Ledger, parseService(JsonText, "ledger"));
///   BOOST_LEAF_CHECK(checkAgainst(Ledger, Existing));
///   Write({{"service", Ledger.Name}, toJson(Ledger)});
/// \endcode
///
/// An invalid object gives one failure with step::ValidateObject. Its peer is
/// KIND/NAME, and its reason names each invalid field, the error and the
/// allowed range. Unknown fields are rejected: a misspelt rule would otherwise
/// leave a default in effect without any error.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_RESOURCE_H
#define MARJORAMRAIL_RESOURCE_H

#include "marjoramrail/base.h"
#include "marjoramrail/routing.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramrail {

/// The kinds of objects that operators write.
enum class resource_kind { Service, Zone, Drain };

inline constexpr name_table<resource_kind, 3> ResourceKindNames = {{
    {resource_kind::Service, "service"},
    {resource_kind::Zone, "zone"},
    {resource_kind::Drain, "drain"},
}};

enum class service_protocol {
  /// The bytes are passed to the target without being interpreted.
  Tcp,
  /// Single requests are recognized, and can be refused, relayed and run at
  /// most once.
  Http2,
};

inline constexpr name_table<service_protocol, 2> ServiceProtocolNames = {{
    {service_protocol::Tcp, "tcp"},
    {service_protocol::Http2, "http2"},
}};

/// A service, its zones and its rules for distributing connections.
struct service_spec {
  std::string Name;
  /// Chosen by the operator, unique, never reused for another service.
  service_id Number{};
  endpoint Address;
  service_protocol Protocol = service_protocol::Http2;
  std::vector<std::string> Zones;
  /// Maximum number of requests that one target runs concurrently.
  std::uint32_t SlotsPerTarget = 4;
  /// An agent passes a SYN to the next choice if it has more than this
  /// percentage of its service's mean (100 = never above the mean).
  std::uint32_t MaxSharePercent = 105;
  /// Time in which a new target's share of new flows rises to the full share.
  std::uint32_t ColdStartSeconds = 10;
  /// A flow whose caller has stopped responding without closing it is closed
  /// after this time.
  std::uint32_t SilentFlowSeconds = 60;

  bool operator==(const service_spec &) const = default;
};

struct zone_spec {
  std::string Name;
  zone_id Number{};
  std::string Region;

  bool operator==(const zone_spec &) const = default;
};

/// A request that a target host or a balancer takes no new work, so that its VM
/// can be stopped. The object has the name of the host.
struct drain_spec {
  std::string Host;
  std::string Reason;

  bool operator==(const drain_spec &) const = default;
};

result<service_spec> parseService(std::string_view Json,
                                  const std::string &Name);
result<zone_spec> parseZone(std::string_view Json, const std::string &Name);
result<drain_spec> parseDrain(std::string_view Json, const std::string &Name);

std::string toJson(const service_spec &Service);
std::string toJson(const zone_spec &Zone);
std::string toJson(const drain_spec &Drain);

/// Checks one service against the existing ones. Numbers and addresses must be
/// unique; otherwise a packet for one service could be delivered to another.
/// The number of an existing service must not change.
result<void> checkAgainst(const service_spec &Service,
                          const std::vector<service_spec> &Existing);

/// One object of a file that an operator applies:
///   {"kind": "service", "name": "ledger", "spec": {...}}
/// A file holds one, or a list of them, as JSON with comments.
struct resource_object {
  resource_kind Kind{};
  std::string Name;
  /// The JSON text that the platform stores.
  std::string Spec;

  bool operator==(const resource_object &) const = default;
};

/// Reads a file and checks its objects, each by itself and against the others.
/// The failure's peer is the file, and its reason lists every error with its
/// object. Nothing of a file with an error is applied.
result<std::vector<resource_object>> parseObjectFile(std::string_view Text,
                                                     const std::string &File);

/// One condition of a status, with the reason and the time of its last change.
struct condition {
  std::string Type;
  bool Holds = false;
  std::string Reason;
  /// Wall clock, milliseconds since 1970.
  std::int64_t SinceMs = 0;

  bool operator==(const condition &) const = default;
};

/// The status of a service, written by the system.
struct service_status {
  std::string Name;
  /// The platform version of the spec that this status refers to.
  std::uint64_t AcceptedVersion = 0;
  /// The version of the view that contains this spec.
  std::uint64_t ViewVersion = 0;
  /// Number of nodes that have applied the view.
  std::uint32_t AppliedOn = 0;
  std::uint32_t Nodes = 0;
  /// The names of some of the nodes that have not applied the view yet.
  std::vector<std::string> Lagging;
  std::uint32_t TargetsReady = 0;
  std::uint32_t TargetsDraining = 0;
  std::vector<condition> Conditions;

  bool operator==(const service_status &) const = default;
};

result<service_status> parseServiceStatus(std::string_view Json,
                                          const std::string &Name);
std::string toJson(const service_status &Status);

/// The status of a drain: whether the VM can be stopped yet.
struct drain_status {
  std::string Host;
  /// Flows and requests that are still open on the host.
  std::uint32_t Flows = 0;
  std::uint32_t Requests = 0;
  /// Stopping the VM now interrupts no flow or request.
  bool SafeToStop = false;
  /// When the drain took effect; wall clock, milliseconds since 1970.
  std::int64_t SinceMs = 0;

  bool operator==(const drain_status &) const = default;
};

result<drain_status> parseDrainStatus(std::string_view Json,
                                      const std::string &Name);
std::string toJson(const drain_status &Status);

/// The kinds of objects that the system writes.
inline constexpr std::string_view ServiceStatusKind = "service-status";
inline constexpr std::string_view DrainStatusKind = "drain-status";

/// Fails unless \p Name is a valid object name: 1 to 63 characters of a-z, 0-9
/// and "-", beginning with a letter or digit. The set is limited because names
/// are used in paths, file names and metrics.
result<void> checkName(std::string_view Kind, std::string_view Name);

/// Parses and checks a single object of any kind that operators write.
result<void> checkObject(resource_kind Kind, std::string_view Json,
                         const std::string &Name);

} // namespace marjoramrail

#endif // MARJORAMRAIL_RESOURCE_H
