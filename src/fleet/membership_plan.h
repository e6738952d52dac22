//===- membership_plan.h - Plans the next membership ------------*- C++ -*-===//
///
/// \file
/// Computes, as a pure function, the membership that a shard's lease holder
/// writes next. It bounds the effect of these situations:
///
/// - Many hosts change at once (a rollout, the loss of a zone): at most one new
///   generation a second, since each generation makes packets' owner lists
///   longer and has to be acknowledged by agents before new flows open under
///   it.
/// - Many hosts are wrongly considered dead: at most a third of the serving
///   targets leave per step, so that the others can take their load and the
///   mistake is noticed before the whole service is down.
/// - The last serving target is neither drained nor marked dead: a target that
///   may be dead serves better than none.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_MEMBERSHIP_PLAN_H
#define MARJORAMRAIL_FLEET_MEMBERSHIP_PLAN_H

#include "fleet/message.h"

#include <map>
#include <set>

namespace marjoramrail::internal {

/// Minimum interval between two new generations of one service.
inline constexpr duration GenerationInterval = std::chrono::seconds(1);

/// How long the entry of a host that was declared dead is kept: an agent that
/// resumes within this time learns that its flows were given up.
inline constexpr duration DownRetention = std::chrono::minutes(10);

/// What is known of one host from reports.
struct host_evidence {
  host_heartbeat Heartbeat;
  instant ReceivedAt;
  /// Confirmed by enough balancers.
  bool Dead = false;
  /// The incarnation that was found dead.
  std::uint32_t DeadIncarnation = 0;
  /// The oldest generation that the host needs; unknown until its agent
  /// reported one.
  std::optional<std::uint64_t> Needs;
};

struct plan_input {
  const membership *Current = nullptr;
  /// The platform holds an older membership than Current: it lost a write.
  bool PlatformBehind = false;
  /// Empty if the operator removed the service.
  std::optional<service_spec> Spec;
  std::uint64_t SpecVersion = 0;
  /// The term of the lease under which the membership will be written.
  std::uint64_t Term = 0;
  /// The highest version of this view known anywhere in the fleet.
  std::uint64_t KnownVersion = 0;
  std::map<std::string, host_evidence> Evidence;
  /// Hosts drained by operators.
  std::set<std::string> Drained;
  std::map<std::string, zone_id> Zones;
  instant Now;
  /// When the last generation was added.
  instant LastGeneration;
  /// When hosts were declared dead, as far as this lease holder knows.
  std::map<std::string, instant> DeadSince;
};

/// Why a plan leaves out part of what was requested.
enum class held_back {
  None,
  /// A drain would leave no serving target.
  LastTarget,
  /// Every target seems dead; the last one is kept.
  AllDead,
  /// More than a third would leave at once; the others follow in later steps.
  Paced,
  /// All generations are still needed by flows.
  GenerationsFull,
  /// The previous generation is less than a second old.
  Coalesced,
};

inline constexpr name_table<held_back, 6> HeldBackNames = {{
    {held_back::None, "none"},
    {held_back::LastTarget, "last-target"},
    {held_back::AllDead, "all-silent"},
    {held_back::Paced, "paced"},
    {held_back::GenerationsFull, "generations-full"},
    {held_back::Coalesced, "coalesced"},
}};

struct membership_plan {
  membership Next;
  /// The plan differs from what is stored and must be written.
  bool Changed = false;
  bool NewGeneration = false;
  std::vector<std::string> DeclaredDead;
  std::set<held_back> HeldBack;
};

membership_plan planMembership(const plan_input &Input);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_MEMBERSHIP_PLAN_H
