//===- level_queue.h - Waiting requests of all priorities -------*- C++ -*-===//
///
/// \file
/// Waiting requests of all priorities, in the order in which they run.
///
/// Load pattern: the least urgent requests arrive at 1.2 to 5 times the rate of
/// the slots, while the more urgent ones alone would fit. In one common order
/// the urgent requests wait as long as the others, and the target works on
/// requests whose latency objective has passed while others could still be
/// answered in time.
///
/// The order is strict by priority. Within a priority, requests that can still
/// be answered by their aim precede late ones. They are taken from an
/// aimed_queue: oldest first, or newest first while the priority is overloaded,
/// that is, for one aim period after a request of it has become late. Late
/// requests follow: first those whose aim has not passed, the latest aim first,
/// because they may still be answered by it; then by deadline, then those
/// without one by arrival.
///
/// Every PriorityTurnInterval-th freed slot goes to the waiting priority that
/// was served least recently, and takes the next request in the order of that
/// priority. While n less urgent priorities wait beside a more urgent one that
/// takes all other slots, each of them gets one slot in
/// n * PriorityTurnInterval. The order within a priority does not change, so an
/// overload of a single priority loses no slot to this rule.
///
/// Requests of priority 0 without an aim are kept in a fair_queue. They take
/// turns with the other requests of priority 0 that are not late.
///
/// Each operation costs a logarithm of the number of waiting requests: there is
/// an index for each time at which a request has to be moved or removed.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_LEVEL_QUEUE_H
#define MARJORAMRAIL_SRC_WORK_LEVEL_QUEUE_H

#include "work/aimed_queue.h"
#include "work/fair_queue.h"

#include <array>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace marjoramrail::internal {

class level_queue {
public:
  level_queue(std::size_t CallerQueues, std::size_t PriorityTurnInterval,
              std::uint64_t Seed);

  std::size_t size() const { return Entries.size(); }
  /// Number of waiting requests of \p Priority.
  std::size_t size(std::uint8_t Priority) const;
  /// Number of waiting requests of \p Priority and of more urgent ones.
  std::size_t sizeUpTo(std::uint8_t Priority) const;
  /// Number of waiting requests that are not committed.
  std::size_t refusable() const;
  bool empty(work_kind Kind) const { return kind(Kind).ByAge.empty(); }
  /// Expected seconds in a slot of all waiting requests.
  double work(work_kind Kind) const { return kind(Kind).Work; }
  /// The part of work() that belongs to \p Caller and to callers that share its
  /// queue.
  double workOf(std::uint64_t Caller, work_kind Kind) const;
  /// Expected seconds in a slot of all waiting requests of \p Priority and of
  /// more urgent ones.
  double workUpTo(std::uint8_t Priority) const;
  /// Expected work that would run before \p Request.
  double workAhead(const work_request &Request) const;
  /// An upper bound of workAhead() that costs no search.
  double maxWorkAhead(const work_request &Request) const;

  /// Adds a request. It is late once less than \p Margin is left until its aim,
  /// or less than half of the time until then if that is shorter.
  void push(waiting_request Waiting, duration Margin);
  /// Clears all tags, see fair_queue::resetTags().
  void resetTags();
  /// Removes and returns the next request to run; long work only if \p
  /// AllowLong. \p Bound: see fair_queue::pop().
  std::optional<waiting_request> pop(bool AllowLong, duration Bound,
                                     instant Now);
  std::optional<waiting_request> remove(request_id Id);
  /// Removes and returns all requests for which \p Predicate is true. This
  /// visits all waiting requests.
  std::vector<waiting_request>
  removeIf(const std::function<bool(const waiting_request &)> &Predicate);

  /// Removes and returns all committed requests whose deadline has passed,
  /// earliest first.
  std::vector<waiting_request> removeDue(instant Now);
  /// Removes and returns all other requests that cannot be answered by their
  /// deadline any more or that have waited longer than \p MaxShortWait or \p
  /// MaxLongWait, in the order of runsBefore().
  std::vector<waiting_request> removeExpired(duration MaxShortWait,
                                             duration MaxLongWait, instant Now);
  /// When removeDue() or removeExpired() has to be called for a deadline.
  std::optional<instant> nextDeadline() const;

private:
  struct entry {
    /// The request itself is in Plain if IsPlain.
    waiting_request Waiting;
    work_kind Kind = work_kind::Short;
    std::uint8_t Priority = 0;
    bool Committed = false;
    bool IsPlain = false;
    bool IsLate = false;
    /// Number of the request in the order of arrival.
    std::uint64_t Order = 0;
    /// The queue of its caller, see fair_queue::bucketOf().
    std::size_t Bucket = 0;
    double ServiceSeconds = 0;
    instant Since;
    /// The request is late after this moment; nothing without an aim.
    std::optional<instant> LatestStart;
    /// When the request has to run or be refused.
    std::optional<instant> EndOfWait;
    /// Order among late requests: the deadline, or the maximum without one.
    instant LateKey;
  };
  using time_index = std::set<std::tuple<instant, std::uint64_t, request_id>>;
  using age_index = std::map<std::uint64_t, request_id>;

  struct kind_index {
    age_index ByAge;
    /// Those that are not committed.
    age_index Refusable;
    double Work = 0;
    std::vector<double> WorkOf;
  };
  struct level {
    explicit level(std::size_t CallerQueues)
        : InTime{{aimed_queue(CallerQueues), aimed_queue(CallerQueues)}} {}

    /// Short and long requests.
    std::array<aimed_queue, 2> InTime;
    std::array<time_index, 2> Late;
    time_index ByLatestStart;
    /// Requests of Late, by aim, until their aim has passed.
    std::array<time_index, 2> LateBeforeAim;
    instant OverloadedUntil;
    std::size_t Size = 0;
    double Work = 0;
    /// Position in the turns of plain, short and long requests.
    std::size_t Turn = 0;
    /// Value of Popped when a request of this priority was last popped; zero if
    /// none was.
    std::size_t LastServed = 0;
  };

  static std::size_t indexOf(work_kind Kind) {
    return Kind == work_kind::Long ? 1 : 0;
  }
  const kind_index &kind(work_kind Kind) const { return Kinds[indexOf(Kind)]; }
  level &levelOf(std::uint8_t Priority);
  time_index &deadlines(const entry &Entry) {
    return Entry.Committed ? Due : Expiring;
  }
  void addToIndexes(request_id Id, const entry &Entry);
  void removeFromIndexes(request_id Id, const entry &Entry);
  entry entryOf(const waiting_request &Waiting, duration Margin);
  void addToLevel(request_id Id, entry &Entry);
  waiting_request take(request_id Id, bool Runs);
  void moveLate(instant Now);
  std::optional<waiting_request> popPlain(bool AllowLong, duration Bound,
                                          instant Now);
  /// Takes the next request of \p Level. \p HasPlain: the level is that of
  /// priority 0, to which the requests in Plain belong.
  std::optional<waiting_request> popFrom(level &Level, bool HasPlain,
                                         bool AllowLong, duration Bound,
                                         instant Now);
  std::optional<waiting_request> popLate(level &Level, bool AllowLong,
                                         instant Now);
  std::optional<waiting_request> popTurn(bool AllowLong, duration Bound,
                                         instant Now);
  /// The order in which expired requests are returned: by tag those in Plain,
  /// then the others by priority and arrival.
  bool runsBefore(request_id Left, request_id Right) const;

  std::size_t CallerQueues;
  std::size_t PriorityTurnInterval;
  fair_queue Plain;
  std::map<std::uint8_t, level> Levels;
  std::unordered_map<request_id, entry> Entries;
  std::array<kind_index, 2> Kinds;
  /// Committed requests by deadline, and others by the time from which they
  /// cannot be answered by their deadline.
  time_index Due;
  time_index Expiring;
  std::uint64_t LastOrder = 0;
  /// Number of calls of pop() that found a request waiting.
  std::size_t Popped = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_LEVEL_QUEUE_H
