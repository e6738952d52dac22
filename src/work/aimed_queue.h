//===- aimed_queue.h - Waiting requests of one priority ---------*- C++ -*-===//
///
/// \file
/// Waiting requests of one priority and kind, fair among callers, oldest or
/// newest first.
///
/// Load pattern: requests arrive at 1.2 to 5 times the rate of the slots, and
/// each has a latency objective. With oldest first, every request waits until
/// its objective has just passed and almost none is answered in time. With
/// newest first, the requests that run have hardly waited, and the others
/// could not have been answered in time in any order.
///
/// Fairness is start-time fair queueing as in fair_queue, with one tag for each
/// caller instead of one for each request: a caller is charged when a request
/// runs. Tags assigned on arrival would charge callers for requests that become
/// late and never run, and under overload no new request could be eligible.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_AIMED_QUEUE_H
#define MARJORAMRAIL_SRC_WORK_AIMED_QUEUE_H

#include "marjoramrail/work.h"

#include <map>
#include <set>
#include <tuple>

namespace marjoramrail::internal {

enum class queue_order {
  /// The request with the lowest tag; among equal tags, the oldest.
  OldestFirst,
  /// The newest request of an eligible caller, one whose start tag is at most
  /// the virtual time. The virtual time advances only when no caller is
  /// eligible: a caller that has been served waits until the others have been.
  /// If it advanced with the service time divided by the number of waiting
  /// callers, heavy callers would keep half of the slots while light ones wait.
  NewestFirst,
};

class aimed_queue {
public:
  explicit aimed_queue(std::size_t CallerQueues);

  bool empty() const { return ByStart.empty(); }

  /// Adds request number \p Order, which is greater than all before, of the
  /// callers in \p Bucket.
  void push(std::uint64_t Order, std::size_t Bucket, request_id Id,
            double ServiceSeconds);
  /// Removes the next request to run and charges its caller. The queue must not
  /// be empty.
  request_id pop(queue_order By);
  /// Removes a request that does not run from this queue.
  void remove(std::uint64_t Order, std::size_t Bucket);
  /// Removes a request that runs out of turn, and charges its caller.
  void take(std::uint64_t Order, std::size_t Bucket);
  /// Clears the tags of an empty queue, see fair_queue::resetTags().
  void resetTags();

private:
  struct item {
    request_id Id;
    double ServiceSeconds;
  };
  struct caller {
    std::map<std::uint64_t, item> Waiting;
    /// Start tag of the next request.
    double Start = 0;
  };

  /// Adds the caller of \p Bucket to the indexes if it has waiting requests.
  void link(std::size_t Bucket);
  /// Undoes link(). Has to be called before the caller is changed.
  void unlink(std::size_t Bucket);
  /// Advances the virtual time; callers become eligible by it.
  void advance(double Time);
  request_id charge(std::size_t Bucket,
                    std::map<std::uint64_t, item>::iterator Where);

  std::size_t CallerQueues;
  /// Allocated with the first request.
  std::vector<caller> Callers;
  double VirtualTime = 0;
  /// Callers with waiting requests: start tag, oldest request, bucket.
  std::set<std::tuple<double, std::uint64_t, std::size_t>> ByStart;
  /// Eligible callers with waiting requests: newest request, bucket.
  std::set<std::pair<std::uint64_t, std::size_t>> ByNewest;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_AIMED_QUEUE_H
