#include "marjoramrail/forward.h"

#include <algorithm>

namespace marjoramrail {

// The load: callers open a flow and keep it for many requests, or open one for
// each; targets differ in slots, warm up, and turn slow; zones fill unevenly.
//
// Without a choice by load, the hash of the flow alone spreads a few hundred
// flows so unevenly that some targets queue while others idle; without the
// preference for the zone every second packet crosses to another one; without
// its limit a burst in one zone is refused while the next one has free slots.

/// A target counts as good as the best one within this: then the flow's own
/// order decides, and balancers that have not heard of the flow look for it
/// where it is. Wider spreads flows less evenly.
static constexpr double GoodEnough = 1.08;
/// And within one flow more a target, where there are few flows.
static constexpr double OneFlow = 1.01;

/// Latency is relative to the service's typical one; a factor beyond says
/// nothing more than "much slower".
static constexpr double MostSlowdown = 4.0;
/// Targets say that they are warming up, not by how much it slows them; users'
/// targets take about this much longer.
static constexpr double WarmupSlowdown = 1.6;

/// Own zone is left when its least busy target has so much of its slots in use
/// (thousandths): beyond, waiting for a slot costs more than the way to another
/// zone,
static constexpr std::uint16_t FullZone = 800;
/// and another zone's target is less busy by this.
static constexpr std::uint16_t WorthTheWay = 250;

double placement::loadOf(const placing_view &Target, duration TypicalLatency) {
  const double Flows = static_cast<double>(Target.Flows + Target.Placed + 1);
  double Slowdown = 1;
  if (Target.Latency > TypicalLatency && TypicalLatency > duration::zero())
    Slowdown = std::min(static_cast<double>(Target.Latency.count()) /
                            static_cast<double>(TypicalLatency.count()),
                        MostSlowdown);
  if (Target.Warmup > duration::zero())
    Slowdown = std::max(Slowdown, WarmupSlowdown);
  const double Busy = 1.0 + static_cast<double>(Target.Busy) / 1000.0;
  return Flows / std::max<std::uint32_t>(Target.Slots, 1) * Slowdown * Busy;
}

static duration typicalLatency(const std::vector<placing_view> &Targets) {
  std::vector<duration> Latencies;
  for (const placing_view &Target : Targets)
    if (Target.Latency > duration::zero())
      Latencies.push_back(Target.Latency);
  if (Latencies.empty())
    return duration::zero();
  const auto Middle = Latencies.begin() + (Latencies.size() - 1) / 2;
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  return *Middle;
}

namespace {

/// The targets that a flow may be placed at, by how far away they are.
struct candidate_set {
  std::vector<std::size_t> OwnZone;
  std::vector<std::size_t> OtherZones;
};

} // namespace

static candidate_set candidates(const std::vector<placing_view> &Targets,
                                const std::vector<std::size_t> &Order,
                                bool Suspects) {
  candidate_set Set;
  for (const std::size_t Position : Order) {
    const placing_view &Target = Targets[Position];
    if (!Target.Admitting || Target.Suspect != Suspects)
      continue;
    (Target.OwnZone ? Set.OwnZone : Set.OtherZones).push_back(Position);
  }
  return Set;
}

static std::uint16_t leastBusy(const std::vector<placing_view> &Targets,
                               const std::vector<std::size_t> &Positions) {
  std::uint16_t Least = UINT16_MAX;
  for (const std::size_t Position : Positions)
    Least = std::min(Least, Targets[Position].Busy);
  return Least;
}

static std::size_t leastLoaded(const std::vector<placing_view> &Targets,
                               const std::vector<std::size_t> &Positions) {
  const duration Typical = typicalLatency(Targets);
  double Least = placement::loadOf(Targets[Positions.front()], Typical);
  for (const std::size_t Position : Positions)
    Least = std::min(Least, placement::loadOf(Targets[Position], Typical));
  for (const std::size_t Position : Positions) {
    const double Load = placement::loadOf(Targets[Position], Typical);
    const double Slack =
        OneFlow / std::max<std::uint32_t>(Targets[Position].Slots, 1);
    if (Load <= std::max(Least * GoodEnough, Least + Slack))
      return Position;
  }
  return Positions.front();
}

std::optional<std::size_t>
placement::choose(const std::vector<placing_view> &Targets,
                  const std::vector<std::size_t> &Order) const {
  candidate_set Set = candidates(Targets, Order, /*Suspects=*/false);
  if (Set.OwnZone.empty() && Set.OtherZones.empty())
    Set = candidates(Targets, Order, /*Suspects=*/true);
  if (Set.OwnZone.empty() && Set.OtherZones.empty())
    return std::nullopt;
  if (Set.OwnZone.empty())
    return leastLoaded(Targets, Set.OtherZones);
  const std::uint16_t Own = leastBusy(Targets, Set.OwnZone);
  const bool IsFull = Own >= FullZone && !Set.OtherZones.empty() &&
                      leastBusy(Targets, Set.OtherZones) + WorthTheWay <= Own;
  return leastLoaded(Targets, IsFull ? Set.OtherZones : Set.OwnZone);
}

} // namespace marjoramrail
