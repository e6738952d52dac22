//===- directory.h - Routes and targets, and how sure we are ----*- C++ -*-===//
///
/// \file
/// What a balancer knows of the site: which services a route may use, which
/// targets those services have, and as of when it knows that. Everything that
/// must last lies in the platform's store; balancers read it there and from
/// each other, so that a store that refuses some of them holds nobody up.
///
/// Usage:
/// \code
///   directory Directory(Timers, {Store.apiFor("config"),
///   Store.apiFor("site")},
///                       {.Name = "balancer-1", ...},
///                       {.OnRules = [&](const rule_changes &Changes) {
///                          Core.changeRoutes(Changes);
///                        },
///                        .OnTargets = [&] {
///                          Core.setTargets(Directory.targets(), Timers.now());
///                        }, ...});
///   Directory.start();
/// \endcode
///
/// An agent announces its target with a target_registrar and hears the target
/// itself through target_reports.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_H
#define MARJORAMRAIL_DIRECTORY_H

#include "marjoramrail/base.h"
#include "marjoramrail/mechanism.h"
#include "marjoramrail/platform.h"
#include "marjoramrail/timeline.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramrail {

//===----------------------------------------------------------------------===//
// Routes
//===----------------------------------------------------------------------===//

/// A service's share of a route's new flows.
struct service_share {
  std::string Service;
  std::uint32_t Weight = 1;

  bool operator==(const service_share &) const = default;
};

/// An address that callers connect to, and where its new flows go.
struct route {
  endpoint Address;
  std::vector<service_share> Shares;

  bool operator==(const route &) const = default;
};

/// One accepted configuration.
struct route_table {
  /// Grows with each accepted configuration.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  /// A flow that is silent for longer may be forgotten.
  duration IdleFlow = std::chrono::minutes(5);

  bool operator==(const route_table &) const = default;
};

/// Reads one configuration in parts, so that packets pass between them: takes
/// up to \p Most routes more into \p Table, and is true when that is whole.
/// Fails with step::ValidateObject at the first part that cannot be read.
using route_reader =
    std::function<result<bool>(std::size_t Most, route_table &Table)>;

/// A route as a balancer uses it now.
struct route_rule {
  endpoint Address;
  /// Where new flows go; empty for a route that is only being left.
  std::vector<service_share> Shares;
  /// Every service that may still hold flows of this address: present, coming
  /// and former ones.
  std::vector<std::string> OwnerServices;

  bool operator==(const route_rule &) const = default;
};

/// Rules that are other than before, and addresses that have none any more.
struct rule_changes {
  std::vector<route_rule> Changed;
  std::vector<endpoint> Removed;

  bool empty() const { return Changed.empty() && Removed.empty(); }
};

/// The number under which packets between our processes name a service.
service_id serviceNumber(std::string_view Name);

//===----------------------------------------------------------------------===//
// Targets
//===----------------------------------------------------------------------===//

/// One target as its agent has written it to the store.
struct target_entry {
  /// The VM's name.
  std::string Name;
  std::string Service;
  /// Where the agent takes routed packets.
  endpoint Agent;
  std::string Zone;
  /// Requests that the target runs at once.
  std::uint32_t Slots = 1;
  /// It leaves: no new flows.
  bool Draining = false;
  /// A balancer wrote it for an agent that the store refused, which writes it
  /// anew as soon as it can. Until then it may have been known to some for a
  /// moment only.
  bool ByPeer = false;

  bool operator==(const target_entry &) const = default;
};

std::string encodeTarget(const target_entry &Target);
/// Fails with step::ValidateObject.
result<target_entry> decodeTarget(const std::string &Name,
                                  const std::string &Body);

/// An agent that the store refuses asks balancers, in one datagram, to write
/// its entry.
std::vector<std::uint8_t> encodeRegistrationRequest(const target_entry &Target);
bool isRegistrationRequest(std::span<const std::uint8_t> Bytes);
/// Fails with step::DecodeMessage or step::ValidateObject.
result<target_entry>
decodeRegistrationRequest(std::span<const std::uint8_t> Bytes);

/// What a target says of itself.
struct target_report {
  /// Identifies one run of the target's process.
  std::string Id;
  std::string Service;
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// How long the target will still be slower than usual after its start.
  duration WarmupLeft = duration::zero();
  /// Grows with each report of one run.
  std::uint64_t Sequence = 0;
  /// When the run began, milliseconds since 1970 by the target's clock; only
  /// compared with other values of the same machine.
  std::int64_t Born = 0;
};

enum class report_verdict {
  Accepted,
  /// Of an earlier run, or overtaken by a later report of the same run.
  Stale,
  /// Names another service than this agent's.
  WrongService,
};

inline constexpr name_table<report_verdict, 3> ReportVerdictNames = {{
    {report_verdict::Accepted, "taken"},
    {report_verdict::Stale, "late"},
    {report_verdict::WrongService, "wrong_service"},
}};

/// The agent's memory of its own target. A report that a partition held up can
/// arrive after the next run has registered; taken at its word it would stop
/// new flows to a healthy target, or start them to one that has left.
class target_reports {
public:
  explicit target_reports(std::string Service) : Service(std::move(Service)) {}

  report_verdict take(const target_report &Report, instant Now);
  /// The target says that the run \p Id is over.
  report_verdict leave(const std::string &Id, instant Now);
  /// What the store holds of the target, until it has spoken itself.
  void restore(bool Draining, std::uint32_t Slots, instant Now);

  /// Whether new flows may go there, as far as the target has said.
  bool acceptsNewFlows() const {
    return HasReport && !HasLeft && !Last.Draining;
  }
  bool hasReport() const { return HasReport; }
  bool hasLeft() const { return HasLeft; }
  const target_report &last() const { return Last; }
  /// How long the target is still warming up.
  duration warmupLeft(instant Now) const;

private:
  bool isLate(const target_report &Report) const;

  std::string Service;
  target_report Last;
  instant LastAt;
  bool HasReport = false;
  bool HasLeft = false;
  bool OnlyRestored = false;
};

/// Keeps an agent's entry in the store. Every write is conditional on the
/// version read before: one whose answer was lost may take effect seconds
/// later, and would otherwise undo a newer one.
class target_registrar {
public:
  struct hooks {
    /// The store has the entry. \p Existed: it named this service and address
    /// before this process wrote anything.
    std::function<void(bool Existed)> OnStored;
    /// The store does not hold the entry that it shall hold; it is written
    /// next.
    std::function<void()> OnMissing;
    /// What the store held when it was first read, for look().
    std::function<void(const target_entry &)> OnFound;
    /// A call failed; \p Reason for the log.
    std::function<void(const std::string &Reason)> OnFailure;
    /// The store does not serve this process: balancers may announce the
    /// target, which does not leave. Called at each failure; may be empty.
    std::function<void(const target_entry &)> RequestPeerRegistration = {};
    /// The store was read for the first time. \p Existed: it held an entry, so
    /// there was a process before this one. May be empty.
    std::function<void(bool Existed)> OnFirstRead = {};
  };

  target_registrar(timer_service &Timers, platform_api Store, std::string Kind,
                   hooks Hooks);
  ~target_registrar();
  target_registrar(const target_registrar &) = delete;
  target_registrar &operator=(const target_registrar &) = delete;

  /// Reads the entry called \p Name and leaves it as it is.
  void readExisting(const std::string &Name);
  /// From now on the store shall hold \p Entry.
  void set(const target_entry &Entry);
  /// From now on the store shall hold no entry.
  void withdraw();
  /// The entry may have been taken out by someone else: looks, and writes it
  /// again if it is missing.
  void recheck();
  /// True when the store holds what it shall.
  bool settled() const;
  /// This process has sent the entry to the store, whatever became of it.
  bool hasWritten() const;
  /// The store has said that it holds no entry, and nothing has been written
  /// since.
  bool knownMissing() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===----------------------------------------------------------------------===//
// The balancer's directory
//===----------------------------------------------------------------------===//

/// How long a new route or a new target waits after it became known before the
/// first flow uses it. Whoever is asked about a flow must know every service
/// and target that can hold one; with this wait, all who have heard of the
/// store within it do.
inline constexpr duration SettleTime = std::chrono::milliseconds(1200);

struct directory_settings {
  /// This balancer's name and where its peers reach it (UDP and HTTP).
  std::string Name;
  std::string Zone;
  endpoint Self;
  /// Peers to ask before the store has named any.
  std::vector<endpoint> Seeds;
  /// The kind and name of the accepted configuration.
  std::string RoutesKind = "config";
  std::string RoutesName = "main";
  /// The kind of our own objects: targets, balancers, services of routes.
  std::string SiteKind = "marjoramrail";
  /// The longest life of a flow: so long a former service keeps its flows.
  duration FlowLife = std::chrono::minutes(1);
  /// Switched off for an experiment.
  mechanism_set Without;
};

struct directory_platform {
  /// Watches and reads of RoutesKind and of SiteKind.
  platform_api Routes;
  platform_api Site;
};

struct directory_hooks {
  /// Translates the configuration object.
  std::function<route_reader(const platform_object &)> ReadRoutes;
  /// Runs a task after the packets that wait; it may outlive the directory.
  std::function<void(std::function<void()>)> Yield;
  /// Rules have changed. Kept apart from targets, which come and go several
  /// times a second: a pass over all routes for each of them would take all of
  /// a small VM's processor time, seen as packets and configurations that come
  /// late while targets are replaced.
  std::function<void(const rule_changes &)> OnRules;
  /// Targets have changed.
  std::function<void()> OnTargets;
  /// A datagram for a peer's Self.
  std::function<void(const endpoint &To, std::span<const std::uint8_t>)> Send;
  /// Lists \p Kind from a peer's copies; see directory::serve().
  std::function<void(const endpoint &Peer, const std::string &Kind,
                     platform_callback)>
      ListFromPeer;
  /// For the log: what became known, lost or regained.
  std::function<void(event_kind What, const std::string &Why)> OnEvent;
  /// What its longer pieces of work took; may be empty.
  turn_hook OnTurn;
};

class directory {
public:
  directory(timer_service &Timers, directory_platform Platform,
            directory_settings Settings, directory_hooks Hooks);
  ~directory();
  directory(const directory &) = delete;
  directory &operator=(const directory &) = delete;

  void start();

  /// More peers to ask, from settings that have changed.
  void addPeers(const std::vector<endpoint> &Peers);

  /// A datagram that belongs here: of another balancer, or an announcement.
  void input(const endpoint &From, std::span<const std::uint8_t> Bytes);
  static bool isForDirectory(std::span<const std::uint8_t> Bytes);

  /// The copies of \p Kind as the product's object API lists them, for peers.
  std::optional<std::string> serve(const std::string &Kind) const;

  /// True once routes and targets are known, from the store or from a peer.
  bool ready() const;
  std::vector<route_rule> rules() const;
  std::vector<target_entry> targets() const;
  /// The version of the configuration in force.
  std::uint64_t routesVersion() const;
  /// Everything that the store accepted before this moment is known here.
  std::optional<instant> knownAsOf() const;
  /// Takes the entries of an agent that is gone for good out of the store, if
  /// this balancer is the first of its zone; the others leave it to that one.
  void removeTarget(const endpoint &Agent);
  /// The targets of the own zone, if this balancer is the first of it and has
  /// been running for long enough to tell; none otherwise.
  std::vector<target_entry> supervisedTargets() const;
  /// Peers heard within the last seconds.
  std::size_t livePeers() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DIRECTORY_H
