//===- resource.h - What operators declare ----------------------*- C++ -*-===//
///
/// \file
/// The objects of the resource API, their checks and their JSON forms. Desired
/// state ("spec") is the operators'; "status" is written by the system. Both
/// are kept as separate platform objects (KIND and KIND-status), so that an
/// operator's write and the system's report never race for one version.
///
/// Usage:
/// \code
///   BOOST_LEAF_AUTO(Ledger, parseService(JsonText, "ledger"));
///   BOOST_LEAF_CHECK(checkAgainst(Ledger, Standing));
///   Write({{"service", Ledger.Name}, toJson(Ledger)});
/// \endcode
///
/// Every refusal is one failure with step::ValidateObject whose peer is
/// KIND/NAME and whose reason names each field at fault, why, and the range
/// allowed. Unknown fields are refused: a misspelt rule would otherwise leave a
/// default in force without a word.
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

/// The kinds that operators write.
enum class resource_kind { Service, Zone, Drain };

inline constexpr name_table<resource_kind, 3> ResourceKindNames = {{
    {resource_kind::Service, "service"},
    {resource_kind::Zone, "zone"},
    {resource_kind::Drain, "drain"},
}};

enum class service_protocol {
  /// Opaque bytes, spliced to the target.
  Tcp,
  /// Requests are told apart, refused, relayed and run at most once.
  Http2,
};

inline constexpr name_table<service_protocol, 2> ServiceProtocolNames = {{
    {service_protocol::Tcp, "tcp"},
    {service_protocol::Http2, "http2"},
}};

/// A service, the zones it runs in and its rules for spreading connections.
struct service_spec {
  std::string Name;
  /// Chosen by the operator, unique, never reused for another service.
  service_id Number{};
  endpoint Address;
  service_protocol Protocol = service_protocol::Http2;
  std::vector<std::string> Zones;
  /// Requests that one target runs at a time.
  std::uint32_t SlotsPerTarget = 4;
  /// An agent hands a SYN on when it has more than this share of the mean of
  /// its service, in percent (100 = never above the mean).
  std::uint32_t MaxSharePercent = 105;
  /// How long a new target takes to reach its full share of new flows.
  std::uint32_t ColdStartSeconds = 10;
  /// Flows that end silently are closed after this.
  std::uint32_t SilentFlowSeconds = 60;

  bool operator==(const service_spec &) const = default;
};

struct zone_spec {
  std::string Name;
  zone_id Number{};
  std::string Region;

  bool operator==(const zone_spec &) const = default;
};

/// The wish that a target host or a balancer takes no new work, so that its VM
/// can be stopped. Named after the host.
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

/// Checks one service against the others that stand: numbers and addresses are
/// unique, or a packet for one could be taken for another's.
result<void> checkAgainst(const service_spec &Service,
                          const std::vector<service_spec> &Existing);

/// One object of a file that an operator applies:
///   {"kind": "service", "name": "ledger", "spec": {...}}
/// A file holds one, or a list of them, as JSON with comments.
struct resource_object {
  resource_kind Kind{};
  std::string Name;
  /// The JSON text that the platform keeps.
  std::string Spec;

  bool operator==(const resource_object &) const = default;
};

/// Reads and checks a whole file, also the objects against each other. The
/// failure's peer is the file, and its reason tells every fault with its
/// object, so that nothing is applied of a file with a mistake in it.
result<std::vector<resource_object>> parseObjectFile(std::string_view Text,
                                                     const std::string &File);

/// One condition of a status: what, since when, why.
struct condition {
  std::string Type;
  bool Holds = false;
  std::string Reason;
  /// Wall clock, milliseconds since 1970.
  std::int64_t SinceMs = 0;

  bool operator==(const condition &) const = default;
};

/// What the system reports of a service.
struct service_status {
  std::string Name;
  /// The platform version of the spec that this answers.
  std::uint64_t AcceptedVersion = 0;
  /// The version of the view that carries it.
  std::uint64_t ViewVersion = 0;
  std::uint32_t AppliedOn = 0;
  std::uint32_t Nodes = 0;
  /// At most a few names; the count is Nodes - AppliedOn.
  std::vector<std::string> Lagging;
  std::uint32_t TargetsReady = 0;
  std::uint32_t TargetsDraining = 0;
  std::vector<condition> Conditions;

  bool operator==(const service_status &) const = default;
};

result<service_status> parseServiceStatus(std::string_view Json,
                                          const std::string &Name);
std::string toJson(const service_status &Status);

/// What the system reports of a drain: whether the VM can be stopped yet.
struct drain_status {
  std::string Host;
  /// Flows and requests that the host still holds.
  std::uint32_t Flows = 0;
  std::uint32_t Requests = 0;
  /// Stopping the VM now cuts off nothing.
  bool SafeToStop = false;
  /// When the drain took hold; wall clock, milliseconds since 1970.
  std::int64_t SinceMs = 0;

  bool operator==(const drain_status &) const = default;
};

result<drain_status> parseDrainStatus(std::string_view Json,
                                      const std::string &Name);
std::string toJson(const drain_status &Status);

/// The kinds that the system writes, each beside the operators' kind.
inline constexpr std::string_view ServiceStatusKind = "service-status";
inline constexpr std::string_view DrainStatusKind = "drain-status";

/// Fails unless \p Name can name an object: 1 to 63 of a-z, 0-9 and "-",
/// beginning with a letter or digit. Names go into paths, file names and
/// metrics.
result<void> checkName(std::string_view Kind, std::string_view Name);

/// Parses and checks an object of any operators' kind by itself.
result<void> checkObject(resource_kind Kind, std::string_view Json,
                         const std::string &Name);

} // namespace marjoramrail

#endif // MARJORAMRAIL_RESOURCE_H
