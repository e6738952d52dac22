//===- target_admission.h - When a target gets new flows --------*- C++ -*-===//
///
/// \file
/// A target gets new flows once all balancers and agents that may receive their
/// packets have had time to learn of the target, and until the target reports
/// that it leaves.
///
/// Without this delay, a balancer that does not know a new target yet would
/// find no owner candidate for one of its flows and have the flow reset. A
/// target that was in the store before this process started needs no delay. It
/// also need not report first: its entry in the store was accurate a short
/// while ago, and its next report arrives soon.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_TARGET_ADMISSION_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_TARGET_ADMISSION_H

#include "marjoramrail/directory.h"

namespace marjoramrail::daemons {

class target_admission {
public:
  /// The store holds the entry. \p Existed: it was there before this process
  /// wrote it.
  void onStored(bool Existed, instant Now) {
    if (!KnownSince)
      KnownSince = Existed ? Now - SettleTime : Now;
  }

  /// The entry was removed from the store, so the delay starts again as for a
  /// new target.
  void onUnregistered() { KnownSince.reset(); }

  /// A balancer reports that it has known the entry for SettleTime. So have all
  /// others, and admission need not wait for the store, which may be
  /// unavailable.
  void onRegistered(instant Now) {
    if (!KnownSince)
      KnownSince = Now - SettleTime;
  }

  bool admits(const target_reports &Reports, instant Now) const {
    return KnownSince && Now - *KnownSince >= SettleTime &&
           Reports.acceptsNewFlows();
  }

  /// When the delay ends, or nothing if it has not started.
  std::optional<instant> settledAt() const {
    if (!KnownSince)
      return std::nullopt;
    return *KnownSince + SettleTime;
  }

private:
  std::optional<instant> KnownSince;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_TARGET_ADMISSION_H
