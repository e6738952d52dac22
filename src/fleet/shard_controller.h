//===- shard_controller.h - Writes the membership of services --------*- C++
//-*-===//
///
/// \file
/// What a node does for the services of the shards that it holds: it gathers
/// what balancers report of hosts, plans the next membership, writes it under
/// its term, and reports status. Reports are repeated by those who send them
/// until the view agrees, so a new holder starts from the platform alone.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_SHARD_CONTROLLER_H
#define MARJORAMRAIL_FLEET_SHARD_CONTROLLER_H

#include "fleet/membership_plan.h"
#include "fleet/platform_writer.h"

#include <map>
#include <set>

namespace marjoramrail::internal {

/// On how many nodes a view is in force, as far as reports have come in.
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
    /// The term under which this node holds the service's shard, if it does.
    std::function<std::optional<std::uint64_t>(const std::string &)> Term;
    /// Whether this node holds, or may come to hold, the service's shard.
    std::function<bool(const std::string &)> HoldsShard;
    /// The newest view of a service that the node knows.
    std::function<const membership *(const std::string &)> NewestView;
    /// A membership that now stands in the platform.
    std::function<void(const membership &)> OnWritten;
    /// An object that was written, for the feed.
    std::function<void(const platform_object &)> OnObject;
    /// Asks a few other balancers for a second opinion on a host.
    std::function<void(const probe_request &)> Probe;
    /// Balancers alive, and whether this node's link deserves trust.
    std::function<std::size_t()> Balancers;
    std::function<bool()> IsLinkTrusted;
    std::function<applied_summary(const std::string &)> Applied;
    std::function<std::int64_t()> WallClockMs;
    std::function<void(const std::string &)> Note;
  };

  shard_controller(timer_service &Timers, platform_writer &Writer,
                   fleet_counters &Counters, hooks Hooks);

  /// An object of the platform that changed.
  void take(const platform_object &Object);
  void take(const host_report &Report);

  /// A shard was taken over: everything in it has to be looked at, and its
  /// memberships get the new term before anything else is written.
  void recheckAll();

  /// \p Synced: the platform has been read since the duty was taken.
  void tick(bool Synced);

  /// The view is in force on more nodes than before.
  void appliedChanged(const std::string &Service);

private:
  struct unresponsive_host {
    std::map<std::string, instant> By;
    instant Since;
    /// When others were last asked.
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
    std::map<std::string, instant> DownSince;
    instant LastGeneration;
    instant RetryAt;
    bool Busy = false;
    std::set<held_back> HeldBack;
    std::string Invalid;
    service_status Status;
    std::uint64_t StatusVersion = 0;
    instant StatusAt;
    bool StatusBusy = false;
    /// The view version that was seen in force everywhere. Balancers that join
    /// later have it before they are ready: the status need not follow them.
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
  /// Who has a service number or an address, over all shards.
  std::map<service_id, std::string> Numbers;
  std::map<endpoint, std::string> Addresses;
  std::map<std::string, zone_id> Zones;
  std::set<std::string> Drained;
  /// Services to look at in the next tick.
  std::set<std::string> Due;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_SHARD_CONTROLLER_H
