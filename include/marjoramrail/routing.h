//===- routing.h - Which target owns a flow ---------------------*- C++ -*-===//
///
/// \file
/// Owners of flows, computed from what every balancer and every agent of a
/// service knows: the service's view. Pure code: no sockets, clocks or state
/// that a packet changes, so that any balancer gives the same answer.
///
/// Any packet of a flow may land on any balancer and a flow lasts for hours
/// while targets change. A view therefore keeps past *generations* (target
/// sets with their weights) for as long as flows opened under them live, and a
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

/// What the fleet holds of a target's life.
enum class target_state {
  /// Announced a short while ago: gets a growing share of new flows.
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

/// One target host as the balancers see it.
struct target {
  host_id Id{};
  /// Where the agent beside the target takes routed packets (UDP).
  endpoint Agent;
  zone_id Zone{};
  target_state State = target_state::Ready;
  /// Grows with each restart of the agent.
  std::uint32_t Incarnation = 0;

  bool operator==(const target &) const = default;
};

/// A target's part in one generation.
struct member {
  host_id Host{};
  /// The share of new flows, relative to the other members; 0 to MaxWeight.
  std::uint16_t Weight = 0;

  bool operator==(const member &) const = default;
};

inline constexpr std::uint16_t MaxWeight = 1000;

/// One target set of a service. A change of members or weights makes a new
/// one; an old one stays until no agent reports flows that need it.
struct generation {
  std::uint64_t Number = 0;
  std::vector<member> Members;

  bool operator==(const generation &) const = default;
};

/// All that is needed to route one service's packets.
struct service_view {
  service_id Id{};
  std::string Name;
  /// Where callers reach the service.
  endpoint Address;
  /// Grows with every change of this view; a node never goes back.
  std::uint64_t Version = 0;
  /// Every host of any generation.
  std::vector<target> Targets;
  /// Newest first; at most MaxGenerations.
  std::vector<generation> Generations;

  bool operator==(const service_view &) const = default;
};

/// Targets of one service that a router holds.
inline constexpr std::size_t MaxTargets = 65535;

/// More generations than this would make routing slow and packets long; the
/// writer of a view coalesces changes before it gets there.
inline constexpr std::size_t MaxGenerations = 8;

/// Members of a generation that may own one flow: an agent over its share
/// hands a SYN to the next (see OPERATORS.md on imbalance). Four of seven hold
/// max/mean at 1.07 when one host loses its flows and they come again at once.
inline constexpr std::size_t ChoicesPerGeneration = 4;

/// Positions in service_view::Targets, most likely owner first; no repeats.
class owner_list {
public:
  /// The choices of all generations, even if no two have one in common: an
  /// owner that did not fit would be a flow broken by a planned change.
  static constexpr std::size_t Capacity = MaxGenerations * ChoicesPerGeneration;

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }
  std::uint16_t operator[](std::size_t Index) const { return Items[Index]; }
  const std::uint16_t *begin() const { return Items.data(); }
  const std::uint16_t *end() const { return Items.data() + Count; }
  bool contains(std::uint16_t Item) const;
  /// Adds \p Item unless it is there or the list is full.
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
  /// Takes the first MaxGenerations of \p View and at most MaxTargets; weights
  /// above MaxWeight count as MaxWeight, members that are no target as absent.
  explicit service_router(const service_view &View);

  service_id id() const { return Id; }
  std::uint64_t version() const { return Version; }

  /// Where a new flow goes: the newest generation's choices in order, without
  /// targets that are draining or down. Behind the first come those in its
  /// zone: an agent over its share hands a SYN to the next, and links between
  /// zones cost more and drop packets. Load still decides, for each of them
  /// hands on what is too much, in the end to another zone. Always among
  /// owners(), so the choices are picked by weight first and filtered by state
  /// afterwards: a balancer that has not heard of a drain would otherwise look
  /// elsewhere.
  owner_list choices(const flow_key &Flow) const;

  /// Who may own an existing flow: the choices of every generation, newest
  /// first, each generation's first choices before anyone's second; once a
  /// generation was let go, then all other targets as far as the list goes.
  /// Without targets that are down.
  owner_list owners(const flow_key &Flow) const;

  /// Whether owners() has room for every target, so that a flow will be found
  /// when no generation names its owner any more.
  bool listsEveryTarget() const;

  const target &targetAt(std::uint16_t Position) const {
    return Targets[Position];
  }

  std::size_t targetCount() const { return Targets.size(); }
  /// The target whose agent listens on \p Agent, or null.
  const target *findAgent(const endpoint &Agent) const;

  /// Bytes that this router holds, for the budget of 32 MB per node.
  std::size_t bytes() const;

private:
  void preferZoneOfFirst(owner_list &Choices) const;
  void collectLiveTargets(const service_view &View);

  /// owners() for rows of \p Generations weights, a number known to the
  /// compiler so that it can work on several at a time.
  template <std::size_t Generations>
  owner_list ownersOver(const flow_key &Flow) const;

  service_id Id;
  std::uint64_t Version;
  /// Generations, rounded up to a power of two; those past the last have no
  /// members.
  std::size_t RowSize;
  std::vector<target> Targets;
  /// One row for each target: its weight in each generation, newest first; 0
  /// where it is no member.
  std::vector<std::uint16_t> Weights;
  /// Positions of the targets that are not down, by their numbers.
  std::vector<std::uint16_t> Live;
  /// A generation has been let go, and a flow's owner may be named by none that
  /// is left. As long as none was, the shorter walk tells callers of a dead
  /// owner sooner.
  bool HasDroppedGeneration = false;
};

/// The share of new flows, in percent of its full one, that a target should
/// take \p Age after its start: ColdStartFloor at first, then evenly up to 100
/// at \p ColdStart. For an agent's own limit rather than for weights: each
/// change of a weight would be another generation.
std::uint32_t coldStartPercent(duration Age, duration ColdStart);

/// A target's caches fill by work alone, so it is never without any.
inline constexpr std::uint32_t ColdStartFloor = 10;

/// Which targets to believe healthy. Targets' health endpoints lag or mislead,
/// so what they claim is checked against what became of requests.
///
/// The load patterns it answers: a target that fails every request and calls
/// itself healthy draws work all the faster for failing fast; a probe that
/// hangs while work is done well would empty a good target; and one fault of
/// the probes' own path makes all look bad at once, when turning all away ends
/// the service for certain.
class health_view {
public:
  /// A claim says nothing once it is older: three missed readings of a usual
  /// endpoint, which is read every few seconds.
  static constexpr duration ClaimLifetime = std::chrono::seconds(10);
  /// Outcomes count for as long as the claim that they check.
  static constexpr duration OutcomeLifetime = std::chrono::seconds(10);
  /// Failures in a row that refute a claim: one caller's bad requests make two
  /// or three, an ill target makes five within a fraction of a second.
  static constexpr std::uint32_t FailuresToRefute = 5;

  void claim(host_id Host, bool Healthy, instant Now);
  void outcome(host_id Host, bool Succeeded, instant Now);
  void forget(host_id Host) { Hosts.erase(Host); }

  /// What is believed of one target alone.
  bool seemsHealthy(host_id Host, instant Now) const;

  /// The targets among \p Candidates to use: those that seem healthy, or all
  /// when more than half do not: then the view is wrong, or nothing is lost.
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
