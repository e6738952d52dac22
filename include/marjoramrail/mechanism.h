//===- mechanism.h - Mechanisms that can be disabled ------------*- C++ -*-===//
///
/// \file
/// Names of the optional decision mechanisms of the forwarding processes. An
/// experiment can disable single mechanisms and compare the same scenario with
/// and without them; docs/POLICY.md tabulates the effect of each.
///
/// Not for production use. Some mechanisms are needed for correctness: without
/// SettleTime, for example, flows break.
///
/// Usage:
/// \code
///   mechanism_set Disabled;
///   Disabled.add(mechanism::TwoChoices);
///   if (Disabled.has(mechanism::TwoChoices))
///     return Order.front();
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_MECHANISM_H
#define MARJORAMRAIL_MECHANISM_H

#include "marjoramrail/base.h"

#include <bitset>
#include <string>

namespace marjoramrail {

enum class mechanism {
  /// A new flow goes to the less loaded of its first two targets.
  TwoChoices,
  /// A new flow leaves its own zone for one with a shorter queue.
  ZoneOverflow,
  /// Queued requests count as load in addition to open flows.
  QueueWeight,
  /// A target that is warming up counts as slower.
  WarmUp,
  /// A target that answers more slowly than usual counts as more loaded.
  Latency,
  /// Targets that fail more often than usual get no new flows.
  FailurePlacing,
  /// Targets that decline new flows are treated as not responding.
  DeclineWatch,
  /// Agents that send no reports get no new flows.
  Suspicion,
  /// Open flows are saved in the store so that they are known after a power
  /// loss.
  FlowCheckpoints,
  /// Balancers announce targets whose agent the store refuses.
  PeerAnnouncements,
  /// Balancers that have known a target for a long time confirm its
  /// registration in place of the store.
  RegisteredNotices,
  /// Starting balancers notify the agents whose registration they find.
  FoundRegistrations,
  /// A store that failed to answer once is asked again soon.
  EarlyStoreRetry,
  /// A new target gets its first flow only after every process knows it.
  SettleTime,
  /// If the list of owner candidates was truncated, the balancer continues the
  /// owner lookup.
  LookupContinuation,
  /// A balancer repeats an owner lookup that seems to have ended at an agent
  /// that is down.
  LookupRepetition,
  /// Agents hold requests that their target cannot run yet and deliver them in
  /// the order of their service levels.
  RequestScheduling,
  /// An agent whose target has no free slot passes new flows on.
  FreeSlotHandover,
  /// Balancers refuse new flows that no target can serve in time.
  AdmissionThreshold,
};

inline constexpr name_table<mechanism, 19> MechanismNames = {{
    {mechanism::TwoChoices, "two_choices"},
    {mechanism::ZoneOverflow, "zone_overflow"},
    {mechanism::QueueWeight, "queue_weight"},
    {mechanism::WarmUp, "warm_up"},
    {mechanism::Latency, "latency"},
    {mechanism::FailurePlacing, "failure_placing"},
    {mechanism::DeclineWatch, "decline_watch"},
    {mechanism::Suspicion, "suspicion"},
    {mechanism::FlowCheckpoints, "kept_flows"},
    {mechanism::PeerAnnouncements, "peer_announcements"},
    {mechanism::RegisteredNotices, "listed_notices"},
    {mechanism::FoundRegistrations, "found_notices"},
    {mechanism::EarlyStoreRetry, "early_store_retry"},
    {mechanism::SettleTime, "settle_time"},
    {mechanism::LookupContinuation, "walk_continuation"},
    {mechanism::LookupRepetition, "lookup_repetition"},
    {mechanism::RequestScheduling, "request_scheduling"},
    {mechanism::FreeSlotHandover, "free_slot_handover"},
    {mechanism::AdmissionThreshold, "admission_threshold"},
}};

class mechanism_set {
public:
  void add(mechanism Mechanism) { Bits.set(indexOf(Mechanism)); }
  bool has(mechanism Mechanism) const { return Bits[indexOf(Mechanism)]; }
  bool empty() const { return Bits.none(); }

private:
  static std::size_t indexOf(mechanism Mechanism) {
    return static_cast<std::size_t>(Mechanism);
  }

  std::bitset<MechanismNames.size()> Bits;
};

/// The names in the set, separated by spaces.
inline std::string toText(const mechanism_set &Set) {
  std::string Text;
  for (const auto &[Mechanism, Name] : MechanismNames)
    if (Set.has(Mechanism))
      Text += (Text.empty() ? "" : " ") + std::string(Name);
  return Text;
}

} // namespace marjoramrail

#endif // MARJORAMRAIL_MECHANISM_H
