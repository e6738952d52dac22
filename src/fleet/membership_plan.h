//===- membership_plan.h - The next membership of a service -----*- C++ -*-===//
///
/// \file
/// What a duty holder writes, computed from what it knows; pure. It answers
/// these loads:
///
/// - Many hosts change at once (a rollout, a zone that goes): at most one new
///   generation a second, since each makes packets' owner lists longer and
///   agents acknowledge each before new flows open under it.
/// - A wrong belief about many hosts: at most a third of the serving targets
///   leave per step, so that the rest can take their load and the mistake shows
///   before the service is gone.
/// - The last serving target: it is not drained, and not given up for dead. A
///   target that may be dead serves better than none.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_MEMBERSHIP_PLAN_H
#define MARJORAMRAIL_FLEET_MEMBERSHIP_PLAN_H

#include "fleet/message.h"

#include <map>
#include <set>

namespace marjoramrail::internal {

/// Between two new generations of one service.
inline constexpr duration GenerationInterval = std::chrono::seconds(1);

/// How long a host that was declared down keeps its entry: an agent that wakes
/// up within this learns that its flows were given up.
inline constexpr duration DownRetention = std::chrono::minutes(10);

/// What the holder heard of one host.
struct host_evidence {
  host_heartbeat Heartbeat;
  instant ReceivedAt;
  /// Confirmed by enough balancers.
  bool Dead = false;
  /// The incarnation that is dead.
  std::uint32_t DeadIncarnation = 0;
  /// The oldest generation that it needs; unknown until an agent said so.
  std::optional<std::uint64_t> Needs;
};

struct plan_input {
  const membership *Current = nullptr;
  /// The platform holds an older membership than Stands: it lost a write.
  bool PlatformBehind = false;
  /// Nothing if the operator removed the service.
  std::optional<service_spec> Spec;
  std::uint64_t SpecVersion = 0;
  /// The term of the lease under which it will be written.
  std::uint64_t Term = 0;
  /// The highest version of this view known anywhere in the fleet.
  std::uint64_t KnownVersion = 0;
  std::map<std::string, host_evidence> Evidence;
  /// Hosts that operators drain.
  std::set<std::string> Drained;
  std::map<std::string, zone_id> Zones;
  instant Now;
  /// When the last generation was added.
  instant LastGeneration;
  /// When hosts were declared down, as far as this holder knows.
  std::map<std::string, instant> DownSince;
};

/// Why the plan is not all that was asked for.
enum class held_back {
  None,
  /// A drain would leave no serving target.
  LastTarget,
  /// Every target seems dead; the last ones stay.
  AllSilent,
  /// More than a third would leave at once; the rest follows.
  Paced,
  /// All generations are still needed by flows.
  GenerationsFull,
  /// The previous generation is less than a second old.
  Coalesced,
};

inline constexpr name_table<held_back, 6> HeldBackNames = {{
    {held_back::None, "none"},
    {held_back::LastTarget, "last-target"},
    {held_back::AllSilent, "all-silent"},
    {held_back::Paced, "paced"},
    {held_back::GenerationsFull, "generations-full"},
    {held_back::Coalesced, "coalesced"},
}};

struct membership_plan {
  membership Next;
  /// Something that must be written differs.
  bool Changed = false;
  bool NewGeneration = false;
  std::vector<std::string> DeclaredDead;
  std::set<held_back> HeldBack;
};

membership_plan planMembership(const plan_input &Input);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_MEMBERSHIP_PLAN_H
