//===- directory.h - A balancer's routes and targets ------------*- C++ -*-===//
///
/// \file
/// The routes, services and targets that a balancer uses, and the point in time
/// up to which this information is complete. All durable data is kept in the
/// platform's store. Balancers read it from the store and copy it from each
/// other, so that a balancer whose store calls are refused still gets current
/// data.
///
/// Usage:
/// \code
///   directory Directory(Timers, {Store.apiFor("config"),
///   Store.apiFor("site")},
///                       {.Name = "balancer-1", ...},
///                       {.OnRules = [&](const rule_changes &Changes) {
///                          Core.changeRoutes(Changes, Timers.now());
///                        },
///                        .OnTargets = [&] {
///                          Core.setTargets(Directory.targets(), Timers.now());
///                        }, ...});
///   Directory.start();
/// \endcode
///
/// An agent registers its target with a target_registrar and tracks the
/// target's own reports with target_reports.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_H
#define MARJORAMRAIL_DIRECTORY_H

#include "marjoramrail/base.h"
#include "marjoramrail/mechanism.h"
#include "marjoramrail/places.h"
#include "marjoramrail/platform.h"
#include "marjoramrail/service_level.h"
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

/// The weight of a service among the new flows of a route.
struct service_share {
  std::string Service;
  std::uint32_t Weight = 1;

  bool operator==(const service_share &) const = default;
};

/// An address that callers connect to, and the services that its new flows are
/// distributed to.
struct route {
  endpoint Address;
  std::vector<service_share> Shares;
  /// The regions that flows of the route may be sent to.
  region_restriction Regions = {};
  /// How urgent the route's requests are; nothing if the configuration does not
  /// say.
  std::optional<service_level> Level = {};

  bool operator==(const route &) const = default;
};

/// How many new flows a second a target of a service bears while it is warming
/// up.
struct service_warmup {
  std::string Service;
  /// In flows per 1,000 seconds.
  std::uint32_t Rate = 0;

  bool operator==(const service_warmup &) const = default;
};

/// How many flows a target of a service can hold.
struct service_flow_limit {
  std::string Service;
  std::uint32_t MaxFlows = 0;

  bool operator==(const service_flow_limit &) const = default;
};

/// One accepted configuration.
struct route_table {
  /// Increases with each accepted configuration.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  /// Idle timeout: state of a flow without packets for longer than this may be
  /// dropped.
  duration IdleFlow = std::chrono::minutes(5);
  /// Services with a limit for targets that are warming up.
  std::vector<service_warmup> Warmups;
  /// Services whose targets can hold a limited number of flows.
  std::vector<service_flow_limit> FlowLimits = {};

  bool operator==(const route_table &) const = default;
};

/// Reads one configuration in steps, so that packets can be forwarded between
/// them: appends up to \p MaxRoutes further routes to \p Table and returns true
/// when the table is complete. Fails with step::ValidateObject at the first
/// part that cannot be decoded.
using route_reader =
    std::function<result<bool>(std::size_t MaxRoutes, route_table &Table)>;

/// The routing rule that a balancer currently applies for one address.
struct route_rule {
  endpoint Address;
  /// The services that new flows are distributed to; empty while the route is
  /// being removed.
  std::vector<service_share> Shares;
  /// All services that may own flows of this address: current, upcoming and
  /// previous ones.
  std::vector<std::string> OwnerServices;
  /// The regions that new flows of this address may be sent to.
  region_restriction Regions = {};
  /// The regions in which flows of this address may have their owner: those of
  /// the current and of an upcoming configuration.
  region_restriction OwnerRegions = {};
  /// The service level of the active configuration.
  std::optional<service_level> Level = {};

  bool operator==(const route_rule &) const = default;
};

/// The rules that differ from the previous set, and the addresses that no
/// longer have a rule.
struct rule_changes {
  std::vector<route_rule> Changed;
  std::vector<endpoint> Removed;

  bool empty() const { return Changed.empty() && Removed.empty(); }
};

/// The numeric id of a service in packets between marjoramrail processes.
service_id serviceNumber(std::string_view Name);

//===----------------------------------------------------------------------===//
// Targets
//===----------------------------------------------------------------------===//

/// The entry of one target in the store, written by its agent.
struct target_entry {
  /// The name of the entry; one per VM.
  std::string Name;
  std::string Service;
  /// The address at which the agent receives routed packets.
  endpoint Agent;
  std::string Zone;
  /// The number of requests that the target processes concurrently.
  std::uint32_t Slots = 1;
  /// The target is leaving and must not get new flows.
  bool Draining = false;
  /// A balancer wrote the entry on behalf of an agent that the store refused.
  /// The agent rewrites the entry as soon as the store accepts its calls. Until
  /// then some processes may have learned of the target only a moment ago.
  bool ByPeer = false;

  bool operator==(const target_entry &) const = default;
};

std::string encodeTarget(const target_entry &Target);
/// Fails with step::ValidateObject.
result<target_entry> decodeTarget(const std::string &Name,
                                  const std::string &Body);

/// A registration request: one datagram by which an agent that the store
/// refuses asks balancers to write its entry.
std::vector<std::uint8_t> encodeRegistrationRequest(const target_entry &Target);
bool isRegistrationRequest(std::span<const std::uint8_t> Bytes);
/// Fails with step::DecodeMessage or step::ValidateObject.
result<target_entry>
decodeRegistrationRequest(std::span<const std::uint8_t> Bytes);

/// A status report that a target sends to its agent.
struct target_report {
  /// Identifies one run of the target's process.
  std::string Id;
  std::string Service;
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// The remaining time for which the target is slower than usual after its
  /// start.
  duration WarmupLeft = duration::zero();
  /// Increases with each report of one run.
  std::uint64_t Sequence = 0;
  /// Start time of the run in milliseconds since 1970, by the target's clock.
  /// Only compared with other values from the same machine.
  std::int64_t Born = 0;
};

enum class report_verdict {
  Accepted,
  /// Older than a report already accepted from the same run.
  Stale,
  /// From a run that is not known to be the present one.
  OtherRun,
  /// The report names a service other than the agent's.
  WrongService,
};

inline constexpr name_table<report_verdict, 4> ReportVerdictNames = {{
    {report_verdict::Accepted, "taken"},
    {report_verdict::Stale, "late"},
    {report_verdict::OtherRun, "other_run"},
    {report_verdict::WrongService, "wrong_service"},
}};

/// The latest accepted report of an agent's own target, and with it the run of
/// the target's process that is the present one.
///
/// A report that was delayed by a network partition can arrive after the next
/// run has registered. If it were accepted, it would stop new flows to a
/// healthy target or start them to one that has left. If, on the other hand,
/// the reports of the present run were taken for delayed ones, the target's
/// draining, slots and warm-up would be unknown for its whole life.
///
/// No field of a report tells which of two runs is the later one: the time of
/// day may have been stepped between their starts, sequence numbers start anew,
/// and the id may be the same. So runs are told apart by what a run that is
/// over cannot do, which is to go on reporting while no other run does:
///
/// - A report of the present run is accepted.
/// - A run that started later by the clock replaces the present one at once if
///   that one has left, has stopped, or has missed a report.
/// - Any other run replaces it once it has reported again while no other run
///   did for longer than the interval of reports. A run that was replaced in
///   error comes back in the same way.
class target_reports {
public:
  /// \p ReportPeriod: the interval at which a target reports. \p Now: when the
  /// agent began to receive reports.
  target_reports(std::string Service, duration ReportPeriod, instant Now)
      : Service(std::move(Service)), ReportPeriod(ReportPeriod),
        StartedAt(Now) {}

  report_verdict take(const target_report &Report, instant Now);
  /// Handles the target's message that the run \p Id has ended.
  report_verdict leave(const std::string &Id, instant Now);
  /// The process of the target has stopped, so that the present run is over.
  void onTargetStopped() { IsOver = true; }
  /// Sets the state from the target's entry in the store, used until the target
  /// sends its first report. If the entry says that the target is draining, a
  /// single report does not outweigh it, since that may be a delayed one.
  void restore(bool Draining, std::uint32_t Slots, instant Now);

  /// Whether the target accepts new flows according to its last report.
  bool acceptsNewFlows() const {
    return HasReport && !HasLeft && !Last.Draining;
  }
  bool hasReport() const { return HasReport; }
  bool hasLeft() const { return HasLeft; }
  /// The present run has reported again while no other run did. Until then the
  /// run may be an earlier one whose delayed report was the first to arrive.
  bool isRunConfirmed() const { return IsConfirmed; }
  /// The latest moment for which the reports show that the open flows are those
  /// of the present run; nothing if there is none. A run that has just started
  /// can open flows before its first report, and a late report of the run
  /// before may arrive after that: it shows nothing about flows that were
  /// opened meanwhile.
  std::optional<instant> onlyRunAsOf() const { return OnlyRunAsOf; }
  const target_report &last() const { return Last; }
  /// The remaining warm-up time at \p Now.
  duration warmupLeft(instant Now) const;

private:
  /// A run whose reports have arrived.
  struct run {
    std::string Id;
    std::int64_t Born = 0;
    /// Of its latest report.
    std::uint64_t Sequence = 0;
    /// The first report after the latest one of any other run.
    instant FirstAt;
    instant LastAt;

    bool isContinuedBy(const target_report &Report) const {
      return isSameRun(Report) && Report.Sequence > Sequence;
    }
    bool isSameRun(const target_report &Report) const {
      return Report.Id == Id && Report.Born == Born;
    }
  };

  /// A run that goes on has reported again within this time.
  duration maxSilence() const { return ReportPeriod * 3 / 2; }
  run *noteOther(const target_report &Report, instant Now);
  run &addOther(const run &Run);
  void noteReport(run &Run, const target_report &Report, instant Now) const;
  instant othersHeardAt(const run &Run) const;
  bool isAlone(const run &Run, instant Now) const;
  bool isAcceptedAtOnce(const target_report &Report, instant Now) const;
  void makePresent(const run &Run, instant Now);
  void continuePresent(const target_report &Report, instant Now);
  void noteAlone(instant Now);
  void accept(const target_report &Report, instant Now);

  std::string Service;
  duration ReportPeriod;
  instant StartedAt;
  /// The accepted state: the last report of the present run, or what the entry
  /// in the store says.
  target_report Last;
  instant LastAt;
  bool HasReport = false;
  bool HasLeft = false;
  /// Nothing until a report has been accepted.
  std::optional<run> Present;
  /// The present run has left or stopped.
  bool IsOver = false;
  bool IsConfirmed = false;
  std::optional<instant> OnlyRunAsOf;
  /// What OnlyRunAsOf was before the last report, or before the last ones if
  /// these arrived together.
  std::optional<instant> PreviousOnlyRunAsOf;
  /// Other runs that have reported.
  std::vector<run> Others;
};

/// Keeps an agent's entry in the store up to date. Every write is conditional
/// on the version that was read before: a write whose answer was lost may take
/// effect seconds later and would otherwise overwrite a newer one.
class target_registrar {
public:
  struct hooks {
    /// The store holds the entry. \p Existed: it already held this service and
    /// address before this process wrote anything.
    std::function<void(bool Existed)> OnStored;
    /// The wanted entry is missing from the store; it is written next.
    std::function<void()> OnMissing;
    /// The entry that the first read returned; for readExisting().
    std::function<void(const target_entry &)> OnFound;
    /// A call to the store failed; \p Reason is for the log.
    std::function<void(const std::string &Reason)> OnFailure;
    /// Called at each failed call: asks balancers to register the target on
    /// behalf of this agent. Not called for a target that is draining. May be
    /// empty.
    std::function<void(const target_entry &)> RequestPeerRegistration = {};
    /// The first read has succeeded. \p Existed: the store held an entry, so a
    /// previous process had registered it. May be empty.
    std::function<void(bool Existed)> OnFirstRead = {};
  };

  target_registrar(timer_service &Timers, platform_api Store, std::string Kind,
                   hooks Hooks);
  ~target_registrar();
  target_registrar(const target_registrar &) = delete;
  target_registrar &operator=(const target_registrar &) = delete;

  /// Reads the entry called \p Name without changing it.
  void readExisting(const std::string &Name);
  /// Writes \p Entry to the store and keeps it there.
  void set(const target_entry &Entry);
  /// Removes the entry from the store.
  void withdraw();
  /// Reads the entry again and rewrites it if another process has removed it.
  void recheck();
  /// True when the last known content of the store is the wanted one.
  bool settled() const;
  /// This process has sent at least one write of the entry to the store,
  /// whether or not it took effect.
  bool hasWritten() const;
  /// The last read returned no entry and nothing has been written since.
  bool knownMissing() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===----------------------------------------------------------------------===//
// The balancer's directory
//===----------------------------------------------------------------------===//

/// How long a new route or target is known before the first flow uses it. A
/// process that receives a packet of an unknown flow must know every service
/// and target that may own the flow; with this wait, every process whose view
/// of the store is younger than SettleTime does.
inline constexpr duration SettleTime = std::chrono::milliseconds(1200);

struct directory_settings {
  /// This balancer's name and the address at which its peers reach it (UDP and
  /// HTTP).
  std::string Name;
  std::string Zone;
  endpoint Self;
  /// Peers to contact before the store has listed any.
  std::vector<endpoint> Seeds;
  /// The kind and name of the configuration object.
  std::string RoutesKind = "config";
  std::string RoutesName = "main";
  /// The kind of the operators' evacuations, one object for each zone.
  std::string EvacuationsKind = "evacuations";
  /// The kind of marjoramrail's own objects: targets, balancers, services of
  /// routes.
  std::string SiteKind = "marjoramrail";
  /// The maximum lifetime of a flow. A previous service of a route is kept on
  /// record for this long.
  duration FlowLife = std::chrono::minutes(1);
  /// Mechanisms that are disabled for an experiment.
  mechanism_set DisabledMechanisms;
};

/// The moments at which one configuration took the steps into effect on this
/// balancer, by its steady clock.
struct routes_progress {
  std::uint64_t Version = 0;
  /// The store version of the object that it was read from.
  std::uint64_t ObjectVersion = 0;
  /// "the store", or the address of the peer that it was copied from.
  std::string Source;
  /// Some balancer knew the configuration, as far as this one has heard, and
  /// this balancer had started.
  instant FirstKnownAt;
  /// Its object arrived here.
  instant ArrivedAt;
  /// It was read completely.
  instant KnownAt;
  /// It came into effect; only set in that step.
  std::optional<instant> ActiveAt;
};

struct directory_platform {
  /// Store clients for RoutesKind, SiteKind and EvacuationsKind, with watches
  /// limited to that kind.
  platform_api Routes;
  platform_api Site;
  platform_api Evacuations;
};

struct directory_hooks {
  /// Creates the reader for a configuration object.
  std::function<route_reader(const platform_object &)> ReadRoutes;
  /// Runs a task after the packets that are waiting have been forwarded; the
  /// task may outlive the directory.
  std::function<void(std::function<void()>)> Yield;
  /// The routing rules have changed. Separate from OnTargets because targets
  /// change several times a second: a pass over all routes for each target
  /// change would use all processor time of a small VM, and packets and
  /// configurations would be delayed while targets are replaced.
  std::function<void(const rule_changes &)> OnRules;
  /// The set of targets, or one of their entries, has changed.
  std::function<void()> OnTargets;
  /// The set of evacuated zones has changed.
  std::function<void()> OnEvacuations;
  /// Sends a datagram to a peer's directory_settings::Self address.
  std::function<void(const endpoint &To, std::span<const std::uint8_t>)> Send;
  /// Fetches the list of \p Kind from a peer; see directory::serve().
  std::function<void(const endpoint &Peer, const std::string &Kind,
                     platform_callback)>
      ListFromPeer;
  /// Logs an event: data became known, the store became unavailable or
  /// available.
  std::function<void(event_kind What, const std::string &Why)> OnEvent;
  /// A configuration became known (event_kind::RoutesKnown) or came into effect
  /// (event_kind::RoutesActivated).
  std::function<void(event_kind What, const routes_progress &Progress)>
      OnRoutesProgress;
  /// Reports the duration of longer pieces of work; may be empty.
  callback_hook OnCallback;
};

class directory {
public:
  directory(timer_service &Timers, directory_platform Platform,
            directory_settings Settings, directory_hooks Hooks);
  ~directory();
  directory(const directory &) = delete;
  directory &operator=(const directory &) = delete;

  void start();

  /// The process is about to stop: other balancers take over the tasks of this
  /// one at once, while it goes on to use and pass on what it knows.
  void leave();

  /// Adds peers, for example after the settings have changed.
  void addPeers(const std::vector<endpoint> &Peers);

  /// Handles a datagram for which isForDirectory() is true: a sync message of
  /// another balancer or a registration request of an agent.
  void input(const endpoint &From, std::span<const std::uint8_t> Bytes);
  static bool isForDirectory(std::span<const std::uint8_t> Bytes);

  /// The objects of \p Kind in the format of the object API's list call, for
  /// peers.
  std::optional<std::string> serve(const std::string &Kind) const;

  /// True once routes and targets are known, from the store or from a peer.
  bool ready() const;
  std::vector<route_rule> rules() const;
  std::vector<target_entry> targets() const;
  /// The zones whose targets must not get new flows.
  const evacuations &evacuatedZones() const;
  /// The version of the configuration that is in effect.
  std::uint64_t routesVersion() const;
  /// The warm-up limits of the newest configuration, and its version; 0 if none
  /// is known.
  std::vector<service_warmup> warmupRates() const;
  /// The flow limits of the configuration routesVersion().
  std::vector<service_flow_limit> flowLimits() const;
  std::uint64_t newestRoutesVersion() const;
  /// For how long the newest configuration has been held up at one step, or has
  /// not been confirmed, if that is longer than it should be.
  std::optional<duration> routesLateFor() const;
  /// For how long a service that may own flows has not been on record, the one
  /// that is missing for longest; nothing if all are on record. A balancer that
  /// starts does not know a missing service.
  std::optional<duration> servicesMissingFor() const;
  /// Every change that the store accepted before this moment is known here.
  std::optional<instant> knownAsOf() const;
  /// The same for marjoramrail's own objects alone: the store answered a call
  /// of this or another balancer after this moment.
  std::optional<instant> storeAnsweredAt() const;
  /// Removes the store entries of an agent that has failed permanently. Only
  /// the first balancer of the zone (lowest address) does this; on the others
  /// the call has no effect.
  void removeTarget(const endpoint &Agent);
  /// The targets of this balancer's zone if this balancer is the first of the
  /// zone and has been running long enough to know that; otherwise none.
  std::vector<target_entry> supervisedTargets() const;
  /// Whether \p Peer is known to be a balancer of this balancer's zone.
  bool isInOwnZone(const endpoint &Peer) const;
  /// The number of peers from which a message arrived within the last seconds.
  std::size_t livePeers() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DIRECTORY_H
