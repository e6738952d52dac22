//===- shard_controller.h - Writes services' membership ---------*- C++ -*-===//
///
/// \file
/// The work of a lease holder for the services of its shards: it collects host
/// reports from other balancers, plans the next membership, writes it under its
/// lease term, and publishes the service status. Senders repeat their reports
/// until the view agrees with them, so a new lease holder needs only what the
/// platform stores.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_SHARD_CONTROLLER_H
#define MARJORAMRAIL_FLEET_SHARD_CONTROLLER_H

#include "fleet/membership_plan.h"
#include "fleet/platform_writer.h"

#include <map>
#include <set>

namespace marjoramrail::internal {

/// On how many nodes a view is in effect, according to the reports received so
/// far.
struct applied_summary {
  std::uint64_t Version = 0;
  std::uint32_t Nodes = 0;
  std::uint32_t Of = 0;
  bool All = false;
  std::vector<std::string> Lagging;
};

class shard_controller {
public:
  struct hooks {
    /// Returns the lease term if this node holds the service's shard.
    std::function<std::optional<std::uint64_t>(const std::string &)> Term;
    /// True if this node holds the lease of the service's shard.
    std::function<bool(const std::string &)> HoldsShard;
    /// Returns the newest view of a service that this node knows.
    std::function<const membership *(const std::string &)> NewestView;
    /// Called with a membership that is now stored in the platform.
    std::function<void(const membership &)> OnWritten;
    /// Called with an object that was just written, so that the feed does not
    /// report it again.
    std::function<void(const platform_object &)> OnObject;
    /// Requests that a few other balancers check a host themselves.
    std::function<void(const probe_request &)> Probe;
    /// Number of live balancers; IsLinkTrusted tells whether this node's own
    /// network link appears to work.
    std::function<std::size_t()> Balancers;
    std::function<bool()> IsLinkTrusted;
    std::function<applied_summary(const std::string &)> Applied;
    std::function<std::int64_t()> WallClockMs;
    std::function<void(const std::string &)> Note;
  };

  shard_controller(timer_service &Timers, platform_writer &Writer,
                   fleet_counters &Counters, hooks Hooks);

  /// Handles an object of the platform that changed.
  void take(const platform_object &Object);
  void take(const host_report &Report);

  /// Schedules a check of every service, e.g. after a shard was taken over: its
  /// memberships get the new term before anything else is written.
  void recheckAll();

  /// \p Synced: the platform has been read since the lease was acquired.
  void tick(bool Synced);

  /// Called when a view has taken effect on more nodes.
  void appliedChanged(const std::string &Service);

private:
  struct unresponsive_host {
    std::map<std::string, instant> By;
    instant Since;
    /// When other balancers were last requested to probe the host.
    instant ProbesRequestedAt;
    host_heartbeat About;
  };

  struct service_state {
    std::optional<service_spec> Spec;
    std::uint64_t SpecVersion = 0;
    std::optional<membership> Stored;
    std::uint64_t StoredVersion = 0;
    std::map<std::string, host_evidence> Evidence;
    std::map<std::string, unresponsive_host> UnresponsiveHosts;
    std::map<std::string, instant> DeadSince;
    instant LastGeneration;
    instant RetryAt;
    bool WritePending = false;
    std::set<held_back> HeldBack;
    std::string Invalid;
    service_status Status;
    std::uint64_t StatusVersion = 0;
    instant StatusAt;
    bool StatusWritePending = false;
    /// The view version that was seen in effect on all nodes. Balancers that
    /// join later load it before they are ready, so the status is not updated
    /// for them.
    std::uint64_t FullyAppliedVersion = 0;
  };

  void removeOldEvidence(service_state &State);
  void takeSpec(const platform_object &Object);
  result<service_spec> readSpec(const platform_object &Object);
  std::vector<service_spec> conflictingServices(const service_spec &Spec) const;
  void takeMembership(const platform_object &Object);
  void recordHeartbeat(service_state &State, const host_report &Report);
  void recordUnresponsive(service_state &State, const host_report &Report);
  bool evaluateUnresponsive(service_state &State);
  void requestProbes(const host_heartbeat &About);
  void step(const std::string &Service, service_state &State);
  plan_input inputFor(const std::string &Service, service_state &State,
                      std::uint64_t Term);
  void write(const std::string &Service, service_state &State,
             const membership_plan &Plan);
  void written(const std::string &Service, const membership &Next,
               bool NewGeneration, const write_result &Result);
  void report(const std::string &Service, service_state &State);
  service_status statusOf(const std::string &Service,
                          const service_state &State) const;
  void statusWritten(const std::string &Service, const service_status &Status,
                     const write_result &Result);
  void note(const std::string &Text) const;

  timer_service &Timers;
  platform_writer &Writer;
  fleet_counters &Counters;
  hooks Hooks;
  std::map<std::string, service_state> Services;
  /// Owners of service numbers and addresses, over all shards; used to refuse
  /// duplicates.
  std::map<service_id, std::string> Numbers;
  std::map<endpoint, std::string> Addresses;
  std::map<std::string, zone_id> Zones;
  std::set<std::string> Drained;
  /// Services to check in the next tick.
  std::set<std::string> Due;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_SHARD_CONTROLLER_H
