//===- record_completeness.h - Completeness of key records ------*- C++ -*-===//
///
/// \file
/// Tracks for which generations a replica has complete records.
///
/// A replica that has restarted, or became a replica by a change of the view,
/// has no record of a key that ran a minute ago. If its grant were enough, the
/// key would run twice, and the caller could see two answers to one amendment.
/// The replica therefore marks its grants as made with incomplete records until
/// another replica has sent its records, or until all records that it may lack
/// have exceeded their lifetime.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_RECORD_COMPLETENESS_H
#define MARJORAMRAIL_SRC_WORK_RECORD_COMPLETENESS_H

#include "work/key_ring.h"

#include <map>

namespace marjoramrail::internal {

class record_completeness {
public:
  record_completeness(host_id Self, duration Lifetime, replica_history History)
      : Self(Self), Lifetime(Lifetime), FirstView(true), History(History) {}

  /// Takes a view, which may add or remove generations.
  void take(const key_view &View, instant Now);
  /// Marks all records as possibly incomplete, because this agent may have
  /// missed claims.
  void resetRecords(instant Now);
  /// Records that \p Host has sent all records that both hosts store, and that
  /// its records are complete for \p Generations.
  void recordsReceived(host_id Host,
                       const std::vector<std::uint64_t> &Generations);

  bool isCompleteFor(const std::string &Key, instant Now) const;
  /// Whether \p Host may have records that this agent lacks.
  bool needsRecordsFrom(host_id Host, instant Now) const;
  bool settled(instant Now) const;
  /// Generations for which this agent has all records of the keys that it
  /// stores.
  std::vector<std::uint64_t> completeGenerations(instant Now) const;

private:
  struct generation_records {
    key_generation Generation;
    instant Since;
    /// This agent was asked in every claim of the keys that it stores under
    /// this generation.
    bool SawAllClaims = false;
    /// All records are present: either this agent has been running since the
    /// generation was created, and so was asked in every claim of the keys that
    /// it stores, or it has fetched all records.
    bool Complete = false;
    std::set<host_id> SyncedHosts;
  };

  generation_records startTracking(const key_generation &Generation,
                                   instant Now) const;
  bool complete(const generation_records &Each, instant Now) const;
  void checkComplete(generation_records &Each) const;

  host_id Self;
  duration Lifetime;
  bool FirstView;
  replica_history History;
  /// By number. A generation that left the view stays here until it is
  /// complete.
  std::map<std::uint64_t, generation_records> Generations;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_RECORD_COMPLETENESS_H
