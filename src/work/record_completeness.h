//===- record_completeness.h - Whether a keeper knows all records ------*- C++
//-*-===//
///
/// \file
/// A keeper that has restarted, or became keeper by a change of the view, has
/// no record of a key that ran a minute ago. If it granted the key, the key
/// would run twice; one would see two answers to one amendment. For each
/// generation this keeps what the keeper can vouch for, so that it grants "not
/// sure" until another keeper has sent its records, or until all records that
/// it may lack have passed their lifetime.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_RECORD_COMPLETENESS_H
#define MARJORAMRAIL_SRC_WORK_RECORD_COMPLETENESS_H

#include "work/key_ring.h"

#include <map>

namespace marjoramrail::internal {

class record_completeness {
public:
  record_completeness(host_id Self, duration Lifetime, replica_history Past)
      : Self(Self), Lifetime(Lifetime), FirstView(true), Past(Past) {}

  /// A view with generations that may be new, or without some that were there.
  void take(const key_view &View, instant Now);
  /// This agent may have missed claims: it relies on nothing it had.
  void resetRecords(instant Now);
  /// \p Host has sent all records that both keep.
  void recordsReceived(host_id Host,
                       const std::vector<std::uint64_t> &Generations);

  bool isCompleteFor(const std::string &Key, instant Now) const;
  /// \p Host may have records that this agent lacks.
  bool needsRecordsFrom(host_id Host, instant Now) const;
  bool settled(instant Now) const;
  /// Generations of whose records this agent lacks none where it was keeper.
  std::vector<std::uint64_t> completeGenerations(instant Now) const;

private:
  struct generation_records {
    key_generation Generation;
    instant Since;
    /// Was asked in every claim of keys that it keeps under this generation.
    bool SawAllClaims = false;
    /// Created while this agent was there, so that it was asked in every
    /// claim since then of any key that it keeps; or all has been fetched.
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
  replica_history Past;
  /// By number. Those that left the view stay until they are complete.
  std::map<std::uint64_t, generation_records> Generations;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_RECORD_COMPLETENESS_H
