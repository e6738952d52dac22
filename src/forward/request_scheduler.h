//===- request_scheduler.h - Order of requests at one target ----*- C++ -*-===//
///
/// \file
/// Decides which requests on the open flows of a target are delivered at once
/// and which wait at the agent, and whether the target has a slot for another
/// flow. The order is that of admission (see work.h), which also schedules the
/// requests that marjoramrail's own agents run.
///
/// Load pattern: more requests than the target can run at the same time, of
/// different urgency. A target queues them in the order of their arrival, so
/// urgent requests wait behind others, and once the queue is longer than
/// callers are willing to wait, almost every answer is late although all slots
/// are busy.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_REQUEST_SCHEDULER_H
#define MARJORAMRAIL_FORWARD_REQUEST_SCHEDULER_H

#include "forward/service_time.h"
#include "marjoramrail/agent_messages.h"
#include "marjoramrail/work.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace marjoramrail::internal {

class request_scheduler {
public:
  /// For how long a new flow reserves a slot for its first request, which
  /// arrives one round trip to the caller later.
  static constexpr duration ReservationTime = std::chrono::milliseconds(50);

  enum class verdict { Deliver, Hold };

  /// A held request that is to be delivered now.
  struct ready_request {
    flow_key Flow;
    std::uint8_t Priority = 0;
    duration Waited = duration::zero();
  };

  explicit request_scheduler(std::uint64_t Seed);

  /// The target runs \p Slots requests concurrently.
  void setSlots(std::uint32_t Slots) { Work.setSlots(Slots); }

  /// A request begins on \p Flow.
  verdict onRequest(const flow_key &Flow, const service_level &Level,
                    instant Now);
  /// The target has begun to answer the request on \p Flow.
  void onAnswer(const flow_key &Flow, bool Failed, instant Now);
  /// The request on \p Flow, if any, needs no answer any more.
  void onEnd(const flow_key &Flow, instant Now);
  /// Removes all requests. The target has stopped.
  void clear(instant Now);
  /// Returns the held requests that are to be delivered now, in order.
  std::vector<ready_request> takeReady(instant Now);
  /// When takeReady() has to be called at the latest.
  std::optional<instant> nextChange() const { return Work.nextTick(); }

  /// A new flow was offered to the target. It reserves a slot until its first
  /// request begins, for ReservationTime at most.
  void reserveSlot(const flow_key &Flow, instant Now);
  /// Number of flows that reserve a slot and for which \p Predicate holds.
  std::size_t
  countReserved(instant Now,
                const std::function<bool(const flow_key &)> &Predicate);
  /// Returns how long the first request of another new flow would wait; zero if
  /// it would be delivered at once.
  duration waitOf(const service_level &Level, instant Now);
  /// The typical time that the target needs for a request; zero if not known.
  duration serviceTime() const { return ServiceTime.value(); }
  capacity_report capacity(instant Now);

  std::size_t waiting() const { return Work.waiting(); }

private:
  enum class request_state { Held, Queued, Started };

  struct tracked_request {
    flow_key Flow;
    std::uint8_t Priority = 0;
    /// When the request arrived, was delivered to the target, or got a slot
    /// there, whichever was last.
    instant Since;
    request_state State = request_state::Held;
  };
  struct reservation {
    flow_key Flow;
    instant Until;
  };

  void onDelivered(request_id Id, instant Now);
  void removeStarted(request_id Id, instant Now);
  void removeReservation(const flow_key &Flow);
  void removeExpiredReservations(instant Now);
  std::size_t freeSlots(instant Now);

  admission Work;
  service_time ServiceTime;
  std::uint64_t LastId = 0;
  std::unordered_map<flow_key, request_id, flow_key_hash> Ids;
  std::unordered_map<request_id, tracked_request> Requests;
  /// Requests that were delivered while all slots were in use, in order.
  std::deque<request_id> Queued;
  /// Number of requests that have a slot at the target.
  std::size_t Started = 0;
  /// In the order of their end.
  std::deque<reservation> Reservations;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_REQUEST_SCHEDULER_H
