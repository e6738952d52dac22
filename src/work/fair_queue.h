//===- fair_queue.h - Fair queue of waiting requests ------------*- C++ -*-===//
///
/// \file
/// Start-time fair queueing over callers (Goyal, Vin and Cheng, 1996), with
/// long and short work in separate queues.
///
/// Load pattern: three callers bring 70% of the load, and one request in twenty
/// takes fifty times as long as the others. In a single first-in-first-out
/// queue light callers would wait behind heavy ones and short work behind long
/// work, and the p99 of light callers would rise to that of the heaviest. Here
/// each request gets a start tag: the finish tag of its caller's last request
/// or the current virtual time, whichever is later. The request with the lowest
/// tag runs first, so callers with few requests pass those with many. If many
/// callers are all slightly above their share, tags alone would let newcomers
/// pass the same request until its caller gives up; therefore the oldest
/// request goes first once it has waited long enough.
///
/// State is bounded: callers are mapped to a fixed number of tags by hash. A
/// light caller shares its tag with one of three heavy ones in 3 of 256 cases.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_FAIR_QUEUE_H
#define MARJORAMRAIL_SRC_WORK_FAIR_QUEUE_H

#include "marjoramrail/work.h"

#include <map>
#include <tuple>
#include <unordered_map>

namespace marjoramrail::internal {

struct waiting_request {
  work_request Request;
  /// Expected seconds in a slot.
  double ServiceSeconds = 0;
  instant Since;
};

class fair_queue {
public:
  fair_queue(std::size_t CallerQueues, std::uint64_t Seed);

  std::size_t size() const { return Places.size(); }
  bool empty(work_kind Kind) const { return queueOf(Kind).Entries.empty(); }
  /// Expected seconds in a slot of all waiting requests.
  double work(work_kind Kind) const { return queueOf(Kind).Work; }

  /// The part of work() that belongs to \p Caller and to callers that share its
  /// queue.
  double workOf(std::uint64_t Caller, work_kind Kind) const;
  /// Expected work that would run before a request of \p Caller.
  double workAhead(std::uint64_t Caller, work_kind Kind) const;

  void push(waiting_request Waiting);
  /// Clears all tags when a request ran without waiting. Nobody was delayed by
  /// past use, so a caller must not be charged later for slots that no other
  /// caller needed.
  void resetTags();
  /// Removes and returns the next request to run; long work only if \p
  /// AllowLong. The oldest request goes first if it has waited \p Bound, and
  /// every other time if it has waited half of that.
  std::optional<waiting_request> pop(bool AllowLong, duration Bound,
                                     instant Now);
  std::optional<waiting_request> remove(request_id Id);
  /// Whether the tag of waiting request \p Left precedes that of \p Right;
  /// short work precedes long work.
  bool runsBefore(request_id Left, request_id Right) const;
  /// The queue of \p Caller, less than the number of caller queues.
  std::size_t bucketOf(std::uint64_t Caller) const;
  /// Removes and returns all requests for which \p Predicate is true.
  std::vector<waiting_request>
  removeIf(const std::function<bool(const waiting_request &)> &Predicate);

private:
  struct tag {
    double Start;
    std::uint64_t Order;
    bool operator<(const tag &Other) const {
      return std::tie(Start, Order) < std::tie(Other.Start, Other.Order);
    }
  };
  struct kind_queue {
    std::map<tag, waiting_request> Entries;
    /// Tags in the order of arrival.
    std::map<std::uint64_t, tag> ByAge;
    double Work = 0;
    std::vector<double> WorkOf;
  };
  struct queue_position {
    work_kind Kind;
    tag Tag;
  };

  kind_queue &queueOf(work_kind Kind);
  const kind_queue &queueOf(work_kind Kind) const;
  double startFor(std::uint64_t Caller) const;
  const tag *agedRequest(work_kind Kind, duration Bound, instant Now) const;
  waiting_request take(work_kind Kind,
                       std::map<tag, waiting_request>::iterator);

  std::uint64_t Seed;
  std::vector<double> FinishTags;
  double VirtualTime = 0;
  std::uint64_t LastOrder = 0;
  bool TagFirst = true;
  kind_queue Short;
  kind_queue Long;
  std::unordered_map<request_id, queue_position> Places;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_FAIR_QUEUE_H
