//===- mechanism.h - Mechanisms that can be switched off --------*- C++ -*-===//
///
/// \file
/// The decisions of the forwarding processes, by name, so that an experiment
/// can find out what each is worth: the same days are played with and without
/// it. What each buys is tabled in docs/POLICY.md.
///
/// Not for operation. Some guard a promise, as SettleTime does; without it
/// flows break.
///
/// Usage:
/// \code
///   mechanism_set Without;
///   Without.add(mechanism::TwoChoices);
///   if (Without.has(mechanism::TwoChoices))
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
  /// A flow chooses the less loaded of its first two targets.
  TwoChoices,
  /// The own zone is left for one whose queue is shorter.
  ZoneOverflow,
  /// Requests in the queue count beside open flows.
  QueueWeight,
  /// A target that is warming up counts as slower.
  WarmUp,
  /// A target that answers more slowly than is usual counts as more loaded.
  Latency,
  /// Targets that fail more often than is usual get no new flows.
  FailurePlacing,
  /// Targets that give new flows back count as not answering.
  DeclineWatch,
  /// Agents that say nothing get no new flows.
  Suspicion,
  /// Open flows are kept in the store for the case that power is lost.
  FlowCheckpoints,
  /// Balancers announce targets whose agent the store refuses.
  PeerAnnouncements,
  /// Balancers that have known a target for long stand for the store's word.
  RegisteredNotices,
  /// Balancers that start tell the agents that they find.
  FoundRegistrations,
  /// A store that has not answered once is asked again soon.
  EarlyStoreRetry,
  /// A new target waits for its first flow until everyone knows it.
  SettleTime,
  /// A list that was cut is walked on by its balancer.
  LookupContinuation,
};

inline constexpr name_table<mechanism, 15> MechanismNames = {{
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
