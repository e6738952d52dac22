#include "forward/request_scheduler.h"

#include <algorithm>
#include <utility>

namespace marjoramrail::internal {

namespace {

/// Share of the latency aim that a request may spend between its arrival at the
/// agent and the beginning of its answer. The rest is for the network in both
/// directions and for an earlier attempt that failed.
constexpr double AimShareAtAgent = 0.75;

/// A request that has been running for longer no longer occupies a slot. Longer
/// than most answers take, even when they are slow.
constexpr duration StallBound = std::chrono::milliseconds(500);

/// One request queues at the target itself. A freed slot would otherwise be
/// idle until the agent has seen the answer and delivered the next request.
constexpr std::size_t Pipeline = 1;

/// One freed slot in sixteen goes to the waiting priority that was served least
/// recently, so that urgent requests cannot starve the others.
constexpr std::size_t PriorityTurnInterval = 16;

admission_settings workSettings() {
  admission_settings Settings;
  Settings.Slots = 1;
  Settings.ColdStart = duration::zero();
  Settings.Pipeline = Pipeline;
  Settings.LowerLimit = false;
  Settings.StallBound = StallBound;
  Settings.PriorityTurnInterval = PriorityTurnInterval;
  return Settings;
}

} // namespace

request_scheduler::request_scheduler(std::uint64_t Seed)
    : Work(workSettings(), /*PickPeer=*/nullptr, Seed) {}

request_scheduler::verdict
request_scheduler::onRequest(const flow_key &Flow, const service_level &Level,
                             instant Now) {
  onEnd(Flow, Now);
  removeReservation(Flow);
  work_request Request;
  Request.Id = request_id(++LastId);
  Request.Caller = Flow.Caller.Address;
  Request.Priority = Level.Priority;
  Request.Committed = true;
  if (Level.LatencyAim > duration::zero())
    Request.Aim = Now + std::chrono::duration_cast<duration>(Level.LatencyAim *
                                                             AimShareAtAgent);
  if (Level.TimeLimit > duration::zero())
    Request.Deadline = Now + Level.TimeLimit;
  Ids[Flow] = Request.Id;
  Requests[Request.Id] = {Flow, Level.Priority, Now};
  if (Work.offer(Request, Now).Verdict != marjoramrail::verdict::Run)
    return verdict::Hold;
  onDelivered(Request.Id, Now);
  return verdict::Deliver;
}

/// A target runs requests in the order of their arrival. A request that arrives
/// while all slots are in use gets one when an earlier request is answered; its
/// service time begins then.
void request_scheduler::onDelivered(request_id Id, instant Now) {
  tracked_request &Request = Requests.at(Id);
  Request.Since = Now;
  if (Started >= Work.limit(Now)) {
    Request.State = request_state::Queued;
    Queued.push_back(Id);
    return;
  }
  Request.State = request_state::Started;
  ++Started;
}

/// Removes a request. If it has a slot, the next queued request gets it.
void request_scheduler::removeStarted(request_id Id, instant Now) {
  const auto Found = Requests.find(Id);
  const request_state State = Found->second.State;
  Requests.erase(Found);
  if (State == request_state::Queued)
    std::erase(Queued, Id);
  if (State != request_state::Started)
    return;
  --Started;
  if (Queued.empty())
    return;
  tracked_request &Next = Requests.at(Queued.front());
  Queued.pop_front();
  Next.State = request_state::Started;
  Next.Since = Now;
  ++Started;
}

void request_scheduler::onAnswer(const flow_key &Flow, bool Failed,
                                 instant Now) {
  const auto Found = Ids.find(Flow);
  if (Found == Ids.end())
    return;
  const request_id Id = Found->second;
  const tracked_request &Request = Requests.at(Id);
  if (Request.State == request_state::Held)
    return;
  const duration Took = Now - Request.Since;
  // Two answers that arrive together do not show when the second request got
  // its slot.
  const bool IsTimeKnown =
      Request.State == request_state::Started && Took > duration::zero();
  if (IsTimeKnown && !Failed)
    ServiceTime.onAnswer(Took);
  // The time of a failure says nothing about the target's speed.
  const work_outcome Outcome =
      Failed ? work_outcome::Lost : work_outcome::Answered;
  Work.finished(Id, {.Elapsed = Took, .Outcome = Outcome}, Now);
  Ids.erase(Found);
  removeStarted(Id, Now);
}

void request_scheduler::onEnd(const flow_key &Flow, instant Now) {
  const auto Found = Ids.find(Flow);
  if (Found == Ids.end())
    return;
  const request_id Id = Found->second;
  Work.cancelled(Id, Now);
  Ids.erase(Found);
  removeStarted(Id, Now);
}

void request_scheduler::clear(instant Now) {
  for (const auto &[Flow, Id] : Ids)
    Work.cancelled(Id, Now);
  Ids.clear();
  Requests.clear();
  Queued.clear();
  Started = 0;
  Reservations.clear();
  ServiceTime = service_time();
}

std::vector<request_scheduler::ready_request>
request_scheduler::takeReady(instant Now) {
  std::vector<ready_request> Ready;
  for (const decision &Decision : Work.tick(Now)) {
    const auto Request = Requests.find(Decision.Id);
    if (Request == Requests.end())
      continue;
    const tracked_request Tracked = Request->second;
    onDelivered(Decision.Id, Now);
    Ready.push_back({Tracked.Flow, Tracked.Priority, Now - Tracked.Since});
  }
  return Ready;
}

void request_scheduler::reserveSlot(const flow_key &Flow, instant Now) {
  removeExpiredReservations(Now);
  removeReservation(Flow);
  Reservations.push_back({Flow, Now + ReservationTime});
}

void request_scheduler::removeReservation(const flow_key &Flow) {
  const auto Found =
      std::find_if(Reservations.begin(), Reservations.end(),
                   [&](const reservation &Item) { return Item.Flow == Flow; });
  if (Found != Reservations.end())
    Reservations.erase(Found);
}

void request_scheduler::removeExpiredReservations(instant Now) {
  while (!Reservations.empty() && Reservations.front().Until <= Now)
    Reservations.pop_front();
}

std::size_t request_scheduler::countReserved(
    instant Now, const std::function<bool(const flow_key &)> &Predicate) {
  removeExpiredReservations(Now);
  return static_cast<std::size_t>(std::count_if(
      Reservations.begin(), Reservations.end(),
      [&](const reservation &Item) { return Predicate(Item.Flow); }));
}

std::size_t request_scheduler::freeSlots(instant Now) {
  removeExpiredReservations(Now);
  const std::size_t Free = Work.freeSlots(Now);
  return Free - std::min(Free, Reservations.size());
}

duration request_scheduler::waitOf(const service_level &Level, instant Now) {
  removeExpiredReservations(Now);
  const std::size_t Limit = Work.limit(Now);
  const std::size_t Running = Limit - std::min(Limit, Work.freeSlots(Now));
  std::size_t Ahead = Running + Queued.size() + Reservations.size();
  // Requests that are less urgent would wait behind the new one.
  if (Work.waiting() > 0)
    Ahead += Work.waitingUpTo(Level.Priority);
  if (Ahead < Limit + Pipeline)
    return duration::zero();
  return ServiceTime.value() * (Ahead + 1 - Limit) / Limit;
}

capacity_report request_scheduler::capacity(instant Now) {
  const auto Capped = [](std::size_t Count) {
    return static_cast<std::uint16_t>(std::min<std::size_t>(Count, UINT16_MAX));
  };
  capacity_report Report;
  Report.FreeSlots = Capped(freeSlots(Now));
  std::size_t LessUrgent = Work.waiting();
  for (std::uint8_t Priority = 0; Priority + 1U < ReportedPriorities;
       ++Priority) {
    const std::size_t Waiting = Work.waiting(Priority);
    LessUrgent -= Waiting;
    Report.Waiting[Priority] = Capped(Waiting);
    Report.Wait[Priority] = Work.expectedWait(Priority, Now);
  }
  Report.Waiting.back() = Capped(LessUrgent);
  Report.Wait.back() = Work.expectedWait(UINT8_MAX, Now);
  Report.ServiceTime = ServiceTime.value();
  return Report;
}

} // namespace marjoramrail::internal
