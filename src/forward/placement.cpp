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
//
// How a target answers goes before how loaded it is: one that fails its
// requests at once is idle and quick, and by load alone gets more of them the
// more it fails. In the model of bench/forward, with two of fifteen targets
// failing four requests in ten, 263 requests fail instead of 809 with the hash
// alone and 1,026 with the least loaded.

/// ChoicesPerFlow compared for a flow.
static constexpr std::size_t ChoicesPerFlow = 2;

/// Latency is relative to the service's typical_values one; a factor beyond
/// says nothing more than "much slower".
static constexpr double MaxSlowdown = 4.0;
/// Targets say that they are warming up, not by how much it slows them; users'
/// targets take about this much longer.
static constexpr double WarmupSlowdown = 1.6;

/// What a request in the queue, a slot, counts relative to the usual number of
/// flows a slot: a queue of two a slot outweighs a whole target's usual flows,
/// as it delays each of their requests.
static constexpr double QueueWeight = 0.5;
/// A service with few flows: a flow a slot is the least that counts as usual.
static constexpr double MinFlowsPerSlot = 1.0;

/// Own zone is left when requests queue there, a slot, for so many others: each
/// makes a caller wait as long as a request takes, several times the way to
/// another zone,
constexpr double OverflowQueue = 1.0;
/// and the queue that it would get in another zone is shorter by this.
constexpr double MinQueueGain = 0.75;

/// So many targets of other zones tell how full these are.
constexpr std::size_t MinRecentReports = 3;

/// A target counts as failing if it fails this much more often than the median
/// of its service, in thousandths: two failures of its own among some twenty
/// answers are chance, three are not. Measured against the median, a service
/// whose targets all fail alike keeps them all, and at most half are left out.
constexpr std::uint16_t FailingMargin = 100;

static double slotsOf(const placement_candidate &Target) {
  return std::max<std::uint32_t>(Target.Slots, 1);
}

/// Requests that wait for a slot, for each slot.
static double queueOf(const placement_candidate &Target) {
  return (Target.Active + Target.Placed - slotsOf(Target)) / slotsOf(Target);
}

namespace {

/// What is usual among the targets of a service.
struct typical_values {
  duration Latency = duration::zero();
  double FlowsPerSlot = 0;
  /// The median, in thousandths.
  std::uint16_t Failing = 0;
};

/// Positions of targets that a flow may be placed at, in its own order.
struct candidate_set {
  std::vector<std::size_t> OwnZone;
  std::vector<std::size_t> OtherZones;

  bool empty() const { return OwnZone.empty() && OtherZones.empty(); }
};

/// Who is asked before whom.
enum class rank {
  /// Has reported and answers.
  Healthy,
  /// Not heard yet: may not admit.
  Unreported,
  /// Answers much of what it is asked with a failure.
  Failing,
  /// Says nothing, or takes nothing.
  Suspect,
};

/// The choice for one flow.
class flow_choice {
public:
  flow_choice(const std::vector<placement_candidate> &Targets,
              const std::vector<std::size_t> &Order,
              const mechanism_set &DisabledMechanisms);

  std::optional<std::size_t> choose() const;

private:
  candidate_set candidates(rank Rank) const;
  rank rankOf(const placement_candidate &Target) const;
  bool isFailing(const placement_candidate &Target) const;
  double loadOf(const placement_candidate &Target) const;
  double slowdownOf(const placement_candidate &Target) const;
  double shortestQueue(const std::vector<std::size_t> &Positions) const;
  std::size_t lessLoaded(const std::vector<std::size_t> &Positions) const;
  std::size_t chooseByZone(const candidate_set &Set) const;
  std::vector<std::size_t>
  recentlyReported(const std::vector<std::size_t> &Positions) const;

  const std::vector<placement_candidate> &Targets;
  const std::vector<std::size_t> &Order;
  const mechanism_set &DisabledMechanisms;
  typical_values Typical;
};

} // namespace

/// The median, or a value-initialized one of none; reorders \p Values.
template <typename Value> static Value medianOf(std::vector<Value> &Values) {
  if (Values.empty())
    return Value();
  const auto Middle = Values.begin() + (Values.size() - 1) / 2;
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

static typical_values
typicalOf(const std::vector<placement_candidate> &Targets) {
  typical_values Typical;
  std::vector<duration> Latencies;
  std::vector<std::uint16_t> Failing;
  double Flows = 0;
  double Slots = 0;
  for (const placement_candidate &Target : Targets) {
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

flow_choice::flow_choice(const std::vector<placement_candidate> &Targets,
                         const std::vector<std::size_t> &Order,
                         const mechanism_set &DisabledMechanisms)
    : Targets(Targets), Order(Order), DisabledMechanisms(DisabledMechanisms),
      Typical(typicalOf(Targets)) {}

/// How much longer than usual the target takes.
double flow_choice::slowdownOf(const placement_candidate &Target) const {
  double Slowdown = 1;
  const bool IsSlow =
      Target.Latency > Typical.Latency && Typical.Latency > duration::zero();
  if (IsSlow && !DisabledMechanisms.has(mechanism::Latency))
    Slowdown = std::min(static_cast<double>(Target.Latency.count()) /
                            static_cast<double>(Typical.Latency.count()),
                        MaxSlowdown);
  if (Target.Warmup > duration::zero() &&
      !DisabledMechanisms.has(mechanism::WarmUp))
    Slowdown = std::max(Slowdown, WarmupSlowdown);
  return Slowdown;
}

/// The load of a target relative to what it can do: open flows a slot, and
/// requests beyond the slots; more for one that is slow or warming up.
double flow_choice::loadOf(const placement_candidate &Target) const {
  const double Flows = (Target.Flows + Target.Placed + 1) / slotsOf(Target);
  const double Queued = DisabledMechanisms.has(mechanism::QueueWeight)
                            ? 0
                            : std::max(queueOf(Target), 0.0);
  const double Usual = std::max(Typical.FlowsPerSlot, MinFlowsPerSlot);
  return (Flows + Queued * QueueWeight * Usual) * slowdownOf(Target);
}

/// Whether the target fails its callers much more often than is usual.
bool flow_choice::isFailing(const placement_candidate &Target) const {
  return Target.Failing > Typical.Failing + FailingMargin &&
         !DisabledMechanisms.has(mechanism::FailurePlacing);
}

rank flow_choice::rankOf(const placement_candidate &Target) const {
  if (Target.Suspect)
    return rank::Suspect;
  if (isFailing(Target))
    return rank::Failing;
  return Target.Reported ? rank::Healthy : rank::Unreported;
}

candidate_set flow_choice::candidates(rank Rank) const {
  candidate_set Set;
  for (const std::size_t Position : Order) {
    const placement_candidate &Target = Targets[Position];
    if (!Target.Admitting || rankOf(Target) != Rank)
      continue;
    (Target.OwnZone ? Set.OwnZone : Set.OtherZones).push_back(Position);
  }
  return Set;
}

double
flow_choice::shortestQueue(const std::vector<std::size_t> &Positions) const {
  double Least = std::numeric_limits<double>::infinity();
  for (const std::size_t Position : Positions)
    Least = std::min(Least, queueOf(Targets[Position]));
  return Least;
}

std::size_t
flow_choice::lessLoaded(const std::vector<std::size_t> &Positions) const {
  const std::size_t Compared =
      DisabledMechanisms.has(mechanism::TwoChoices) ? 1 : ChoicesPerFlow;
  std::size_t Best = Positions.front();
  double Least = loadOf(Targets[Best]);
  for (std::size_t I = 1; I < std::min(Positions.size(), Compared); ++I) {
    const double Load = loadOf(Targets[Positions[I]]);
    if (Load >= Least)
      continue;
    Best = Positions[I];
    Least = Load;
  }
  return Best;
}

std::size_t flow_choice::chooseByZone(const candidate_set &Set) const {
  if (Set.OwnZone.empty())
    return lessLoaded(Set.OtherZones);
  const std::size_t OwnZoneBest = lessLoaded(Set.OwnZone);
  const double Own = shortestQueue(Set.OwnZone);
  if (Own < OverflowQueue || Set.OtherZones.empty() ||
      DisabledMechanisms.has(mechanism::ZoneOverflow))
    return OwnZoneBest;
  const std::vector<std::size_t> Others = recentlyReported(Set.OtherZones);
  const std::size_t OtherZoneBest = lessLoaded(Others);
  const double Gain =
      queueOf(Targets[OwnZoneBest]) - queueOf(Targets[OtherZoneBest]);
  const bool IsWorthLeaving =
      shortestQueue(Others) + MinQueueGain <= Own && Gain >= MinQueueGain;
  return IsWorthLeaving ? OtherZoneBest : OwnZoneBest;
}

/// Those that have reported just now, if they are enough to tell how full their
/// zones are. The others were idle when they were last heard, and would have to
/// be found full one by one.
std::vector<std::size_t>
flow_choice::recentlyReported(const std::vector<std::size_t> &Positions) const {
  std::vector<std::size_t> Recent;
  for (const std::size_t Position : Positions)
    if (Targets[Position].Fresh)
      Recent.push_back(Position);
  return Recent.size() >= MinRecentReports ? Recent : Positions;
}

std::optional<std::size_t> flow_choice::choose() const {
  // A target of the own zone that was not heard yet goes before one of another
  // zone that was: after a restart of the balancer none was.
  candidate_set Healthy = candidates(rank::Healthy);
  const candidate_set Unreported = candidates(rank::Unreported);
  if (Healthy.OwnZone.empty())
    Healthy.OwnZone = Unreported.OwnZone;
  if (Healthy.OtherZones.empty())
    Healthy.OtherZones = Unreported.OtherZones;
  if (!Healthy.empty())
    return chooseByZone(Healthy);
  for (const rank Rank : {rank::Failing, rank::Suspect})
    if (const candidate_set Left = candidates(Rank); !Left.empty())
      return chooseByZone(Left);
  return std::nullopt;
}

std::optional<std::size_t>
placement::choose(const std::vector<placement_candidate> &Targets,
                  const std::vector<std::size_t> &Order) const {
  return flow_choice(Targets, Order, DisabledMechanisms).choose();
}

} // namespace marjoramrail
