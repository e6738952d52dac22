//===- routing.h - Flow owners by rendezvous hashing ------------*- C++ -*-===//
///
/// \file
/// Computes the owners of flows from the service's view, which every balancer
/// and every agent of the service has. The code uses no sockets, no clocks and
/// no state that a packet changes, so every balancer gives the same answer.
///
/// Any packet of a flow may arrive at any balancer, and a flow lasts for hours
/// while targets change. A view therefore keeps past *generations* (target sets
/// with their weights) for as long as flows opened under them exist, and a
/// packet carries the owners under all of them, newest first.
///
/// Usage:
/// \code
///   service_router Router(View);
///   owner_list Owners = Router.owners(Flow);   // any packet of the flow
///   owner_list Choices = Router.choices(Flow); // its first packet (SYN)
///   send(Router.targetAt(Choices[0]).Agent, Packet);
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_ROUTING_H
#define MARJORAMRAIL_ROUTING_H

#include "marjoramrail/base.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramrail {

/// Lifecycle state of a target as the fleet knows it.
enum class target_state {
  /// Recently registered: gets a growing share of new flows.
  Cold,
  Ready,
  /// Keeps its flows and gets no new work.
  Draining,
  /// Its flows are lost; nothing is sent to it.
  Down,
};

inline constexpr name_table<target_state, 4> TargetStateNames = {{
    {target_state::Cold, "cold"},
    {target_state::Ready, "ready"},
    {target_state::Draining, "draining"},
    {target_state::Down, "down"},
}};

/// One target host as the balancers know it.
struct target {
  host_id Id{};
  /// UDP address at which the agent beside the target receives routed packets.
  endpoint Agent;
  zone_id Zone{};
  target_state State = target_state::Ready;
  /// Increases with each restart of the agent.
  std::uint32_t Incarnation = 0;

  bool operator==(const target &) const = default;
};

/// A target's membership in one generation.
struct member {
  host_id Host{};
  /// Share of new flows relative to the other members; 0 to MaxWeight.
  std::uint16_t Weight = 0;

  bool operator==(const member &) const = default;
};

inline constexpr std::uint16_t MaxWeight = 1000;

/// One target set of a service. A change of members or weights creates a new
/// generation; an old one stays until no agent reports flows that need it.
struct generation {
  std::uint64_t Number = 0;
  std::vector<member> Members;

  bool operator==(const generation &) const = default;
};

/// Everything needed to route the packets of one service.
struct service_view {
  service_id Id{};
  std::string Name;
  /// Address at which callers reach the service.
  endpoint Address;
  /// Increases with every change of this view; a node never returns to a lower
  /// version.
  std::uint64_t Version = 0;
  /// All hosts of all generations.
  std::vector<target> Targets;
  /// Newest first; at most MaxGenerations.
  std::vector<generation> Generations;

  bool operator==(const service_view &) const = default;
};

/// Maximum number of targets of one service in a router.
inline constexpr std::size_t MaxTargets = 65535;

/// More generations would make routing slow and packets long. The writer of a
/// view coalesces changes before this limit is reached.
inline constexpr std::size_t MaxGenerations = 8;

/// Number of members of a generation that may own one flow: an agent that
/// exceeds its share passes a SYN to the next choice (see OPERATORS.md on
/// imbalance). With four of seven, max/mean stays at 1.07 when one host loses
/// its flows and they all reconnect at once.
inline constexpr std::size_t ChoicesPerGeneration = 4;

/// Positions in service_view::Targets, most likely owner first, without
/// repeats.
class owner_list {
public:
  /// Has room for the choices of all generations even if they are all
  /// different: an owner left out would mean a flow broken by a planned change.
  static constexpr std::size_t Capacity = MaxGenerations * ChoicesPerGeneration;

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }
  std::uint16_t operator[](std::size_t Index) const { return Items[Index]; }
  const std::uint16_t *begin() const { return Items.data(); }
  const std::uint16_t *end() const { return Items.data() + Count; }
  bool contains(std::uint16_t Item) const;
  /// Appends \p Item unless the list contains it or is full.
  void add(std::uint16_t Item);
  /// Moves the item at \p Index to the front; the others keep their order.
  void moveToFront(std::size_t Index);
  /// Moves the item at \p Index to the end; the others keep their order.
  void moveToBack(std::size_t Index);

private:
  std::array<std::uint16_t, Capacity> Items{};
  std::size_t Count = 0;
};

/// Routes the flows of one service under one version of its view.
class service_router {
public:
  /// Uses the first MaxGenerations of \p View and at most MaxTargets. Weights
  /// above MaxWeight are lowered to MaxWeight; members that are not in Targets
  /// are ignored.
  explicit service_router(const service_view &View);

  service_id id() const { return Id; }
  std::uint64_t version() const { return Version; }

  /// Targets for a new flow: the choices of the newest generation in order,
  /// without targets that are draining or down. After the first choice come
  /// those in its zone, because an agent that exceeds its share passes a SYN to
  /// the next choice, and links between zones cost more and drop packets. Load
  /// still takes precedence: each agent passes on what exceeds its share,
  /// eventually to another zone. The result is always a subset of owners(). For
  /// this, the choices are selected by weight first and filtered by state
  /// afterwards; otherwise a balancer that does not know of a drain yet would
  /// look for the flow at other targets.
  owner_list choices(const flow_key &Flow) const;

  /// Possible owners of an existing flow: the choices of every generation,
  /// newest first, with each generation's first choice before any second
  /// choice. Once a generation has been dropped, all other targets follow as
  /// far as the list has room. Targets that are down are left out.
  owner_list owners(const flow_key &Flow) const;

  /// Whether owners() has room for every target, so that a flow can still be
  /// found when no remaining generation contains its owner.
  bool listsEveryTarget() const;

  const target &targetAt(std::uint16_t Position) const {
    return Targets[Position];
  }

  std::size_t targetCount() const { return Targets.size(); }
  /// The target whose agent receives packets at \p Agent, or null.
  const target *findAgent(const endpoint &Agent) const;

  /// Memory used by this router in bytes; counts against the budget of 32 MB
  /// per node.
  std::size_t bytes() const;

private:
  void preferZoneOfFirst(owner_list &Choices) const;
  void collectLiveTargets(const service_view &View);

  /// owners() for rows of \p Generations weights. The number is a compile-time
  /// constant so that the compiler can vectorise the loop.
  template <std::size_t Generations>
  owner_list ownersOver(const flow_key &Flow) const;

  service_id Id;
  std::uint64_t Version;
  /// Number of generations, rounded up to a power of two; the surplus ones have
  /// no members.
  std::size_t RowSize;
  std::vector<target> Targets;
  /// One row for each target with its weight in each generation, newest first;
  /// 0 where it is not a member.
  std::vector<std::uint16_t> Weights;
  /// Positions of the targets that are not down, sorted by host id.
  std::vector<std::uint16_t> Live;
  /// True if a generation has been dropped, so that the owner of a flow may be
  /// in none of the remaining ones. Until then the shorter owner lookup is
  /// used, which informs callers of a dead owner sooner.
  bool HasDroppedGeneration = false;
};

/// Percentage of its full share of new flows that a target should take \p Age
/// after its start: ColdStartFloor at first, then rising linearly to 100 at \p
/// ColdStart. Meant for an agent's own limit, not for weights: each change of a
/// weight would create another generation.
std::uint32_t coldStartPercent(duration Age, duration ColdStart);

/// The lowest share is not zero, because a target's caches only fill while it
/// has work.
inline constexpr std::uint32_t ColdStartFloor = 10;

/// Decides which targets count as healthy. Health endpoints of targets lag or
/// report wrong states, so what they claim is checked against the outcomes of
/// requests.
///
/// It handles three load patterns. A target that fails every request but claims
/// to be healthy fails fast and so attracts even more work. A health probe that
/// hangs while requests succeed would remove a good target. A fault on the path
/// of the probes makes all targets look unhealthy at once, and rejecting all of
/// them would stop the service.
class health_view {
public:
  /// Older claims are ignored. This is three missed readings of a typical
  /// endpoint, which is read every few seconds.
  static constexpr duration ClaimLifetime = std::chrono::seconds(10);
  /// Outcomes are valid for as long as the claim that they check.
  static constexpr duration OutcomeLifetime = std::chrono::seconds(10);
  /// Consecutive failures that refute a claim: one caller's bad requests cause
  /// two or three, an unhealthy target causes five within a fraction of a
  /// second.
  static constexpr std::uint32_t FailuresToRefute = 5;

  void claim(host_id Host, bool Healthy, instant Now);
  void outcome(host_id Host, bool Succeeded, instant Now);
  void forget(host_id Host) { Hosts.erase(Host); }

  /// Whether \p Host alone counts as healthy.
  bool seemsHealthy(host_id Host, instant Now) const;

  /// The targets among \p Candidates to use: those that seem healthy, or all of
  /// them if more than half do not. In that case the view is probably wrong,
  /// and if it is right, nothing is lost by trying.
  std::vector<host_id> usable(const std::vector<host_id> &Candidates,
                              instant Now) const;

private:
  struct evidence {
    bool Claimed = true;
    std::optional<instant> ClaimedAt;
    std::uint32_t Failures = 0;
    std::optional<instant> FailedAt;
    std::optional<instant> SucceededAt;
  };

  std::map<host_id, evidence> Hosts;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_ROUTING_H
