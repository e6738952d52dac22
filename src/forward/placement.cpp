#include "marjoramrail/forward.h"

#include <algorithm>
#include <limits>

namespace marjoramrail {

// The load: callers open a flow and keep it for many requests, or open one for
// each; targets differ in slots, warm up, and turn slow; zones fill unevenly.
//
// Without a choice by load, the hash of the flow alone spreads a few hundred
// flows so unevenly that some targets queue while others idle. With a choice of
// the least loaded by all balancers alike, a target that has just come takes
// every new flow of the moment, and its queue overflows before its next report.
// So a flow chooses between the first two of its own order: a new target gets
// at most two flows in n. Without the preference for the zone every second
// packet crosses to another one; without its limit a burst in one zone is
// refused while the next one has free slots.

/// Choices compared for a flow.
static constexpr std::size_t Choices = 2;

/// Latency is relative to the service's typical one; a factor beyond says
/// nothing more than "much slower".
static constexpr double MostSlowdown = 4.0;
/// Targets say that they are warming up, not by how much it slows them; users'
/// targets take about this much longer.
static constexpr double WarmupSlowdown = 1.6;

/// What a request in the queue, a slot, counts relative to the usual number of
/// flows a slot: a queue of two a slot outweighs a whole target's usual flows,
/// as it delays each of their requests.
static constexpr double QueueWeight = 0.5;
/// A service with few flows: a flow a slot is the least that counts as usual.
static constexpr double LeastFlowsPerSlot = 1.0;

/// Own zone is left when requests queue there, a slot, for so many others: each
/// makes a caller wait as long as a request takes, several times the way to
/// another zone,
constexpr double FullZone = 1.0;
/// and another zone's queue is shorter by this.
constexpr double WorthTheWay = 0.75;

static double slotsOf(const placing_view &Target) {
  return std::max<std::uint32_t>(Target.Slots, 1);
}

/// Requests that wait for a slot, for each slot.
static double queueOf(const placing_view &Target) {
  return (Target.Active + Target.Placed - slotsOf(Target)) / slotsOf(Target);
}

double placement::loadOf(const placing_view &Target, const typical &Typical) {
  double Slowdown = 1;
  if (Target.Latency > Typical.Latency && Typical.Latency > duration::zero())
    Slowdown = std::min(static_cast<double>(Target.Latency.count()) /
                            static_cast<double>(Typical.Latency.count()),
                        MostSlowdown);
  if (Target.Warmup > duration::zero())
    Slowdown = std::max(Slowdown, WarmupSlowdown);
  const double Flows = (Target.Flows + Target.Placed + 1) / slotsOf(Target);
  const double Queued = std::max(queueOf(Target), 0.0);
  const double Usual = std::max(Typical.FlowsPerSlot, LeastFlowsPerSlot);
  return (Flows + Queued * QueueWeight * Usual) * Slowdown;
}

placement::typical
placement::typicalOf(const std::vector<placing_view> &Targets) {
  typical Typical;
  std::vector<duration> Latencies;
  double Flows = 0;
  double Slots = 0;
  for (const placing_view &Target : Targets) {
    if (!Target.Reported)
      continue;
    Flows += Target.Flows;
    Slots += slotsOf(Target);
    if (Target.Latency > duration::zero())
      Latencies.push_back(Target.Latency);
  }
  if (Slots > 0)
    Typical.FlowsPerSlot = Flows / Slots;
  if (Latencies.empty())
    return Typical;
  const auto Middle = Latencies.begin() + (Latencies.size() - 1) / 2;
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  Typical.Latency = *Middle;
  return Typical;
}

namespace {

/// The targets that a flow may be placed at, in its own order.
struct candidate_set {
  std::vector<std::size_t> OwnZone;
  std::vector<std::size_t> OtherZones;

  bool empty() const { return OwnZone.empty() && OtherZones.empty(); }
};

} // namespace

/// \p Rank 0: those that have reported and answer; 1: those not heard yet,
/// which may not admit; 2: suspects, where nothing else is left.
static candidate_set candidates(const std::vector<placing_view> &Targets,
                                const std::vector<std::size_t> &Order,
                                int Rank) {
  candidate_set Set;
  for (const std::size_t Position : Order) {
    const placing_view &Target = Targets[Position];
    const int Own = Target.Suspect ? 2 : Target.Reported ? 0 : 1;
    if (!Target.Admitting || Own != Rank)
      continue;
    (Target.OwnZone ? Set.OwnZone : Set.OtherZones).push_back(Position);
  }
  return Set;
}

static double shortestQueue(const std::vector<placing_view> &Targets,
                            const std::vector<std::size_t> &Positions) {
  double Least = std::numeric_limits<double>::infinity();
  for (const std::size_t Position : Positions)
    Least = std::min(Least, queueOf(Targets[Position]));
  return Least;
}

static std::size_t lessLoaded(const std::vector<placing_view> &Targets,
                              const std::vector<std::size_t> &Positions) {
  const placement::typical Typical = placement::typicalOf(Targets);
  std::size_t Best = Positions.front();
  double Least = placement::loadOf(Targets[Best], Typical);
  for (std::size_t I = 1; I < std::min(Positions.size(), Choices); ++I) {
    const double Load = placement::loadOf(Targets[Positions[I]], Typical);
    if (Load >= Least)
      continue;
    Best = Positions[I];
    Least = Load;
  }
  return Best;
}

static std::size_t withinZones(const std::vector<placing_view> &Targets,
                               const candidate_set &Set) {
  if (Set.OwnZone.empty())
    return lessLoaded(Targets, Set.OtherZones);
  const double Own = shortestQueue(Targets, Set.OwnZone);
  const bool IsFull =
      Own >= FullZone &&
      shortestQueue(Targets, Set.OtherZones) + WorthTheWay <= Own;
  return lessLoaded(Targets, IsFull ? Set.OtherZones : Set.OwnZone);
}

std::optional<std::size_t>
placement::choose(const std::vector<placing_view> &Targets,
                  const std::vector<std::size_t> &Order) const {
  // A target of the own zone that was not heard yet goes before one of another
  // zone that was: after a restart of the balancer none was.
  candidate_set Heard = candidates(Targets, Order, 0);
  const candidate_set New = candidates(Targets, Order, 1);
  if (Heard.OwnZone.empty())
    Heard.OwnZone = New.OwnZone;
  if (Heard.OtherZones.empty())
    Heard.OtherZones = New.OtherZones;
  if (!Heard.empty())
    return withinZones(Targets, Heard);
  const candidate_set Suspects = candidates(Targets, Order, 2);
  if (Suspects.empty())
    return std::nullopt;
  return withinZones(Targets, Suspects);
}

} // namespace marjoramrail
