//===- target_admission.h - When a target gets new flows --------*- C++ -*-===//
///
/// \file
/// A target gets new flows once everyone who may be asked about them can know
/// it, and as long as it has not said that it leaves.
///
/// Without the wait a balancer that has not heard of a new target yet would
/// find that nobody holds one of its flows, and have it reset. A target that
/// was in the store before this process started needs no wait; nor does it need
/// to be heard first: what the store says of it was true a short while ago, and
/// its next report comes before anyone relies on it for long.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_TARGET_ADMISSION_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_TARGET_ADMISSION_H

#include "marjoramrail/directory.h"

namespace marjoramrail::daemons {

class target_admission {
public:
  /// The store holds the entry; \p Existed before this process wrote it.
  void onStored(bool Existed, instant Now) {
    if (!KnownSince)
      KnownSince = Existed ? Now - SettleTime : Now;
  }

  /// The entry was taken out of the store: what follows is as for a new target.
  void onUnregistered() { KnownSince.reset(); }

  /// A balancer has known the entry for SettleTime: so has everyone, although
  /// the store cannot be asked now.
  void onRegistered(instant Now) {
    if (!KnownSince)
      KnownSince = Now - SettleTime;
  }

  bool admits(const target_reports &Reports, instant Now) const {
    return KnownSince && Now - *KnownSince >= SettleTime &&
           Reports.acceptsNewFlows();
  }

  /// When the wait is over.
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
