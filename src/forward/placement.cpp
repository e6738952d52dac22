#include "marjoramrail/forward.h"

#include <algorithm>
#include <limits>

namespace marjoramrail {

// Load pattern: callers open a flow and keep it for many requests, or open one
// for each; targets differ in slots, are slower after their start, and may
// become slow; zones fill unevenly.
//
// If flows were placed by their hash alone, a few hundred flows would be spread
// so unevenly that some targets queue while others idle. If all balancers chose
// the least loaded target, a target that has just joined would get every new
// flow, and its queue would overflow before its next report. So a flow chooses
// between the first two targets of its own order: a new target then gets at
// most two flows in n. Without the preference for the own zone every second
// packet would cross to another one; without its limit a burst in one zone
// would be refused while the next one has free slots.
//
// The failure rate of a target takes precedence over its load. A target that
// fails its requests at once is idle and fast, and by load alone gets more
// requests the more it fails. In the model of bench/forward, with two of
// fifteen targets failing four requests in ten, 263 requests fail instead of
// 809 with the hash alone and 1,026 with the least loaded.

/// Number of targets compared for a flow.
static constexpr std::size_t ChoicesPerFlow = 2;

/// Latency is relative to the typical latency of the service. A larger factor
/// carries no more information than "much slower".
static constexpr double MaxSlowdown = 4.0;
/// Targets report that they are warming up, but not by how much it slows them
/// down; typical targets take about this much longer.
static constexpr double WarmupSlowdown = 1.6;

/// Weight of one queued request per slot, relative to the usual number of flows
/// per slot. With a queue of two per slot, the queue outweighs a target's usual
/// number of flows, because it delays each of their requests.
static constexpr double QueueWeight = 0.5;
/// Lower bound of the usual number of flows per slot, for services with few
/// flows.
static constexpr double MinFlowsPerSlot = 1.0;

/// Queued requests per slot in the own zone from which other zones are
/// considered. Each makes a caller wait for the duration of a request, which is
/// several times the transit time to another zone.
constexpr double OverflowQueue = 1.0;
/// A flow leaves its zone only if the queue per slot in the other zone is
/// shorter by at least this.
constexpr double MinQueueGain = 0.75;

/// Number of recent reports from other zones that suffices to estimate their
/// load.
constexpr std::size_t MinRecentReports = 3;

/// A target counts as failing if its failure share exceeds the median of its
/// service by this much, in thousandths: two failures among some twenty answers
/// are chance, three are not. Because of the comparison with the median, a
/// service whose targets all fail equally keeps them all, and at most half are
/// excluded.
constexpr std::uint16_t FailingMargin = 100;

static double slotsOf(const placement_candidate &Target) {
  return std::max<std::uint32_t>(Target.Slots, 1);
}

/// Requests waiting for a slot, per slot.
static double queueOf(const placement_candidate &Target) {
  return (Target.Active + Target.Placed - slotsOf(Target)) / slotsOf(Target);
}

namespace {

/// Typical values among the targets of a service.
struct typical_values {
  duration Latency = duration::zero();
  duration ServiceTime = duration::zero();
  double FlowsPerSlot = 0;
  /// The median, in thousandths.
  std::uint16_t Failing = 0;
};

/// Positions of targets that a flow may be placed at, in the flow's own order.
struct candidate_set {
  std::vector<std::size_t> OwnZone;
  std::vector<std::size_t> OtherZones;

  bool empty() const { return OwnZone.empty() && OtherZones.empty(); }
};

/// Classes of targets, in order of preference.
enum class rank {
  /// Has reported, and responds.
  Healthy,
  /// Has not reported yet, and may not admit flows.
  Unreported,
  /// Answers many requests with an error.
  Failing,
  /// Does not respond, or accepts no flows.
  Suspect,
};

/// Chooses a target for one flow.
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

/// Returns the median, or a value-initialized value if \p Values is empty.
/// Reorders \p Values.
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
  std::vector<duration> ServiceTimes;
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
    if (Target.ServiceTime > duration::zero())
      ServiceTimes.push_back(Target.ServiceTime);
  }
  if (Slots > 0)
    Typical.FlowsPerSlot = Flows / Slots;
  Typical.Latency = medianOf(Latencies);
  Typical.ServiceTime = medianOf(ServiceTimes);
  Typical.Failing = medianOf(Failing);
  return Typical;
}

flow_choice::flow_choice(const std::vector<placement_candidate> &Targets,
                         const std::vector<std::size_t> &Order,
                         const mechanism_set &DisabledMechanisms)
    : Targets(Targets), Order(Order), DisabledMechanisms(DisabledMechanisms),
      Typical(typicalOf(Targets)) {}

static double ratioOf(duration Time, duration Usual) {
  return static_cast<double>(Time.count()) / static_cast<double>(Usual.count());
}

/// Returns the factor by which the target is slower than usual. The latency
/// includes the time that requests wait, so a target with a short queue has a
/// short latency without being fast: a factor below 1 needs a service time.
double flow_choice::slowdownOf(const placement_candidate &Target) const {
  double Slowdown = 1;
  const bool IsSpeedKnown = Target.ServiceTime > duration::zero();
  const bool IsSlow =
      Target.Latency > Typical.Latency && Typical.Latency > duration::zero();
  if (IsSpeedKnown && !DisabledMechanisms.has(mechanism::Latency))
    Slowdown = std::clamp(ratioOf(Target.ServiceTime, Typical.ServiceTime),
                          1 / MaxSlowdown, MaxSlowdown);
  else if (IsSlow && !DisabledMechanisms.has(mechanism::Latency))
    Slowdown = std::min(ratioOf(Target.Latency, Typical.Latency), MaxSlowdown);
  if (Target.Warmup > duration::zero() &&
      !DisabledMechanisms.has(mechanism::WarmUp))
    Slowdown = std::max(Slowdown, WarmupSlowdown);
  return Slowdown;
}

/// Returns the load of a target relative to its capacity: open flows per slot
/// plus weighted queued requests, multiplied by the slowdown.
double flow_choice::loadOf(const placement_candidate &Target) const {
  const double Flows = (Target.Flows + Target.Placed + 1) / slotsOf(Target);
  const double Queued = DisabledMechanisms.has(mechanism::QueueWeight)
                            ? 0
                            : std::max(queueOf(Target), 0.0);
  const double Usual = std::max(Typical.FlowsPerSlot, MinFlowsPerSlot);
  return (Flows + Queued * QueueWeight * Usual) * slowdownOf(Target);
}

/// Returns true if the target's failure share is far above the usual one.
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

/// Returns the targets that have reported recently, if they suffice to estimate
/// the load of their zones. The others were idle at their last report and may
/// be full by now; the balancer would notice this only by placing flows at
/// each.
std::vector<std::size_t>
flow_choice::recentlyReported(const std::vector<std::size_t> &Positions) const {
  std::vector<std::size_t> Recent;
  for (const std::size_t Position : Positions)
    if (Targets[Position].Fresh)
      Recent.push_back(Position);
  return Recent.size() >= MinRecentReports ? Recent : Positions;
}

std::optional<std::size_t> flow_choice::choose() const {
  // A target of the own zone that has not reported yet is preferred to one of
  // another zone that has: after a restart of the balancer none has reported.
  candidate_set Preferred = candidates(rank::Healthy);
  const candidate_set Unreported = candidates(rank::Unreported);
  if (Preferred.OwnZone.empty())
    Preferred.OwnZone = Unreported.OwnZone;
  if (Preferred.OtherZones.empty())
    Preferred.OtherZones = Unreported.OtherZones;
  if (!Preferred.empty())
    return chooseByZone(Preferred);
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
