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

/// A target counts as failing if it fails this much more often than the median
/// of its service, in thousandths: two failures of its own among some twenty
/// answers are chance, three are not. Measured against the median, a service
/// whose targets all fail alike keeps them all, and at most half are left out.
constexpr std::uint16_t FailingAbove = 100;

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

bool placement::isFailing(const placing_view &Target, const typical &Typical) {
  return Target.Failing > Typical.Failing + FailingAbove;
}

/// The median, or a value-initialized one of none; reorders \p Values.
template <typename Value> static Value medianOf(std::vector<Value> &Values) {
  if (Values.empty())
    return Value();
  const auto Middle = Values.begin() + (Values.size() - 1) / 2;
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

placement::typical
placement::typicalOf(const std::vector<placing_view> &Targets) {
  typical Typical;
  std::vector<duration> Latencies;
  std::vector<std::uint16_t> Failing;
  double Flows = 0;
  double Slots = 0;
  for (const placing_view &Target : Targets) {
    if (!Target.Reported)
      continue;
    Flows += Target.Flows;
    Slots += slotsOf(Target);
    Failing.push_back(Target.Failing);
    if (Target.Latency > duration::zero())
      Latencies.push_back(Target.Latency);
  }
  if (Slots > 0)
    Typical.FlowsPerSlot = Flows / Slots;
  Typical.Latency = medianOf(Latencies);
  Typical.Failing = medianOf(Failing);
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

/// Who is asked before whom.
enum class rank {
  /// Has reported and answers.
  Well,
  /// Not heard yet: may not admit.
  New,
  /// Answers much of what it is asked with a failure.
  Failing,
  /// Says nothing, or takes nothing.
  Suspect,
};

static rank rankOf(const placing_view &Target,
                   const placement::typical &Typical) {
  if (Target.Suspect)
    return rank::Suspect;
  if (placement::isFailing(Target, Typical))
    return rank::Failing;
  return Target.Reported ? rank::Well : rank::New;
}

static candidate_set candidates(const std::vector<placing_view> &Targets,
                                const std::vector<std::size_t> &Order,
                                const placement::typical &Typical, rank Rank) {
  candidate_set Set;
  for (const std::size_t Position : Order) {
    const placing_view &Target = Targets[Position];
    if (!Target.Admitting || rankOf(Target, Typical) != Rank)
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
                              const placement::typical &Typical,
                              const std::vector<std::size_t> &Positions) {
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
                               const placement::typical &Typical,
                               const candidate_set &Set) {
  if (Set.OwnZone.empty())
    return lessLoaded(Targets, Typical, Set.OtherZones);
  const double Own = shortestQueue(Targets, Set.OwnZone);
  const bool IsFull =
      Own >= FullZone &&
      shortestQueue(Targets, Set.OtherZones) + WorthTheWay <= Own;
  return lessLoaded(Targets, Typical, IsFull ? Set.OtherZones : Set.OwnZone);
}

std::optional<std::size_t>
placement::choose(const std::vector<placing_view> &Targets,
                  const std::vector<std::size_t> &Order) const {
  const typical Typical = typicalOf(Targets);
  const auto Ranked = [&](rank Rank) {
    return candidates(Targets, Order, Typical, Rank);
  };
  // A target of the own zone that was not heard yet goes before one of another
  // zone that was: after a restart of the balancer none was.
  candidate_set Heard = Ranked(rank::Well);
  const candidate_set New = Ranked(rank::New);
  if (Heard.OwnZone.empty())
    Heard.OwnZone = New.OwnZone;
  if (Heard.OtherZones.empty())
    Heard.OtherZones = New.OtherZones;
  if (!Heard.empty())
    return withinZones(Targets, Typical, Heard);
  for (const rank Rank : {rank::Failing, rank::Suspect})
    if (const candidate_set Left = Ranked(Rank); !Left.empty())
      return withinZones(Targets, Typical, Left);
  return std::nullopt;
}

} // namespace marjoramrail
