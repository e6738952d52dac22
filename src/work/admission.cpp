/// Combines the admission decisions of this folder for each request of one
/// agent. The header of each component describes its load patterns and
/// thresholds.
///
/// A queue that is bounded only by length becomes long in time when the target
/// is slow: requests wait until their callers have given up, and the target
/// works for nobody. It is then fully used but has no goodput. Here a request
/// that would wait longer than the bound, or past its deadline, is refused on
/// arrival, with the time at which there will be capacity.
#include "marjoramrail/work.h"

#include "work/busy_share.h"
#include "work/concurrency_limit.h"
#include "work/level_queue.h"
#include "work/retry_after_estimator.h"
#include "work/retry_budget.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace marjoramrail {

using namespace internal;

namespace {

/// A request that was admitted by its estimate and still waits after this many
/// bounds is refused, because the target has slowed down in the meantime. Two
/// bounds are too few: four long requests that occupied all slots by chance
/// caused 83 late refusals in the saturation scenario.
constexpr int MaxWaitBounds = 4;
/// If all slots have been occupied for this many mean service times, the target
/// has stalled: with four slots and exponential times, this happens by chance
/// with probability e^-12.
constexpr int StallFactor = 3;

/// A request can still be answered by its aim if this many of its expected
/// service times are left.
constexpr double AimMarginFactor = 2;

double toSeconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Lower bound for service times, which are used as a divisor.
constexpr duration MinServiceTime = std::chrono::milliseconds(1);

duration toDuration(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

struct admission::impl {
  struct running_request {
    work_kind Kind;
    bool Alone;
    instant Since;
    /// Part of the elapsed time that the request spends in a slot. It is less
    /// than 1 if the target got more requests than it has slots.
    double SlotShare;
    /// False once the request has been running for StallBound.
    bool Counts;
  };
  using start_index = std::set<std::pair<instant, request_id>>;

  impl(const admission_settings &Settings, pick_peer PickPeer,
       std::uint64_t Seed)
      : Settings(Settings), PickPeer(std::move(PickPeer)),
        Queue(Settings.CallerQueues, Settings.PriorityTurnInterval, Seed),
        Limit(Settings), RetryEstimator(Settings.MaxRetryAfter, Seed + 1),
        Budget(Settings.RetryShare), Times(Settings.FirstEstimate) {}

  decision offer(const work_request &Request, instant Now);
  decision offerStream(const work_request &Request, instant Now);
  decision offerCommitted(const work_request &Request, double ServiceSeconds,
                          instant Now);
  decision hold(const work_request &Request, double ServiceSeconds,
                instant Now);
  decision enqueue(const work_request &Request, double ServiceSeconds,
                   instant Now);
  std::optional<decision> relay(const work_request &Request, relay_reason Why,
                                instant Now);
  decision run(const work_request &Request, instant Now);
  decision refuse(const work_request &Request, refusal Why, instant Now);
  void freeSlot(request_id Id);
  void runWaiting(instant Now);
  void runDue(instant Now);
  void refuseExpired(instant Now);
  void discountStalled(instant Now);
  /// The request no longer counts against the limit.
  void uncount(request_id Id, running_request &Request);
  void relayWaiting(relay_reason Why, instant Now);
  duration stalledFor(instant Now) const;
  duration waitBound(work_kind Kind) const;
  bool hasRoom(const work_request &Request, instant Now) const;
  bool retryAllowed(const work_request &Request, instant Now);

  /// Number of running requests that count against the limit.
  std::size_t inSlots() const { return ShortStarts.size() + LongStarts.size(); }
  start_index &startsOf(work_kind Kind) {
    return Kind == work_kind::Long ? LongStarts : ShortStarts;
  }
  std::size_t slots(instant Now) const {
    return Limit.pause(Now) > duration::zero() ? 0 : Limit.limit(Now);
  }
  bool stalled(instant Since, instant Now) const {
    return Settings.StallBound > duration::zero() &&
           Now - Since >= Settings.StallBound;
  }
  std::size_t longSlots(std::size_t Slots) const;
  duration aimMargin(double ServiceSeconds, instant Now) const;
  bool hasSlot(work_kind Kind, instant Now) const;
  double servers(work_kind Kind, instant Now) const;
  duration expectedWait(const work_request &Request, double Ahead,
                        instant Now) const;
  bool tooLate(const work_request &Request, double ServiceSeconds,
               instant Start) const;
  agent_load load(instant Now);
  void recordUse(instant Now);

  admission_settings Settings;
  pick_peer PickPeer;
  level_queue Queue;
  concurrency_limit Limit;
  retry_after_estimator RetryEstimator;
  retry_budget Budget;
  service_times Times;
  busy_share Busy;
  std::unordered_map<request_id, running_request> Running;
  /// Start times of the running requests that count against the limit.
  start_index ShortStarts;
  start_index LongStarts;
  std::size_t Streams = 0;
  bool Draining = false;
  /// Requests relayed after they had been admitted to the queue. If no peer
  /// runs such a request, it returns and must not be refused then, later than
  /// if it had never been admitted.
  std::unordered_set<request_id> RelayedFromQueue;
  std::vector<decision> Outbox;
  admission_counts Counts;
};

std::size_t admission::impl::longSlots(std::size_t Slots) const {
  if (Slots < 2)
    return Slots;
  const auto ReservedForShort =
      std::size_t(std::ceil(double(Slots) * Settings.ShortShare));
  return Slots - std::clamp<std::size_t>(ReservedForShort, 1, Slots - 1);
}

bool admission::impl::hasSlot(work_kind Kind, instant Now) const {
  const std::size_t Slots = slots(Now);
  if (Slots == 0 || inSlots() >= Slots + Settings.Pipeline)
    return false;
  return Kind != work_kind::Long || LongStarts.size() < longSlots(Slots);
}

/// Number of slots that serve the queue of \p Kind.
double admission::impl::servers(work_kind Kind, instant Now) const {
  const std::size_t Slots = std::max<std::size_t>(Limit.limit(Now), 1);
  const std::size_t ForLong = longSlots(Slots);
  if (Kind == work_kind::Long)
    return double(ForLong);
  const bool LongWaits = !Queue.empty(work_kind::Long);
  const std::size_t Taken =
      LongWaits ? ForLong : std::min(LongStarts.size(), ForLong);
  return double(std::max<std::size_t>(Slots - Taken, 1));
}

/// Time for which no short request in a slot has been answered although all are
/// overdue, or zero. A target that hangs produces no answer times, so without
/// this check requests would be admitted on the basis of its former speed and
/// refused late.
duration admission::impl::stalledFor(instant Now) const {
  if (ShortStarts.empty())
    return duration::zero();
  const duration Youngest = Now - ShortStarts.rbegin()->first;
  const duration Overdue =
      StallFactor * toDuration(Times.mean(work_kind::Short));
  return Youngest > Overdue ? Youngest : duration::zero();
}

duration admission::impl::expectedWait(const work_request &Request,
                                       double Ahead, instant Now) const {
  // The first slot becomes free after about one service time divided by the
  // number of slots.
  const double First = Times.mean(Request.Kind);
  return Limit.pause(Now) + stalledFor(Now) +
         toDuration((Ahead + First) / servers(Request.Kind, Now));
}

bool admission::impl::tooLate(const work_request &Request,
                              double ServiceSeconds, instant Start) const {
  return Request.Deadline &&
         Start + toDuration(ServiceSeconds) > *Request.Deadline;
}

void admission::impl::recordUse(instant Now) {
  // Uses the declared slots so that trials of the limit do not look like load.
  // A cold target is full with fewer.
  const std::size_t Counted =
      std::min<std::size_t>(Limit.limit(Now), Settings.Slots);
  const double Slots = double(std::max<std::size_t>(Counted, 1));
  Busy.recordUse(double(inSlots()) / Slots, Now);
}

agent_load admission::impl::load(instant Now) {
  recordUse(Now);
  agent_load Report;
  Report.Slots = double(std::max<std::size_t>(Limit.limit(Now), 1));
  Report.Busy = Busy.value();
  Report.Service =
      std::max(toDuration(Times.mean(work_kind::Short)), MinServiceTime);
  Report.Pressure = double(inSlots() + Queue.size()) / Report.Slots;
  Report.Accepting = !Draining && Limit.pause(Now) == duration::zero();
  return Report;
}

decision admission::impl::run(const work_request &Request, instant Now) {
  const bool Stream = Request.Kind == work_kind::Stream;
  const std::size_t InFlight = inSlots() + 1;
  const double Slots = double(std::max<std::size_t>(Limit.limit(Now), 1));
  Running.emplace(
      Request.Id,
      running_request{.Kind = Request.Kind,
                      .Alone = !Stream && InFlight == 1,
                      .Since = Now,
                      .SlotShare = std::min(1.0, Slots / double(InFlight)),
                      .Counts = !Stream});
  if (Stream)
    ++Streams;
  else
    startsOf(Request.Kind).emplace(Now, Request.Id);
  ++Counts.Run;
  return {.Id = Request.Id, .Verdict = verdict::Run};
}

decision admission::impl::refuse(const work_request &Request, refusal Why,
                                 instant Now) {
  ++Counts.Refused;
  // A relayed request returns to the agent that relayed it, which reserves time
  // for it if needed.
  const double ServiceSeconds = Request.RelayedBy ? 0 : Times.expected(Request);
  const duration Delay =
      RetryEstimator.book(ServiceSeconds, Queue.work(Request.Kind),
                          servers(Request.Kind, Now), Now);
  return {.Id = Request.Id,
          .Verdict = verdict::Refuse,
          .Reason = Why,
          .RetryAfter = std::max(Delay, Limit.pause(Now))};
}

std::optional<decision> admission::impl::relay(const work_request &Request,
                                               relay_reason Why, instant Now) {
  if (!PickPeer)
    return std::nullopt;
  const auto Peer = PickPeer(Request, Why, load(Now), Now);
  if (!Peer)
    return std::nullopt;
  ++Counts.Relayed;
  return decision{.Id = Request.Id, .Verdict = verdict::Relay, .Peer = *Peer};
}

decision admission::impl::offerStream(const work_request &Request,
                                      instant Now) {
  if (Draining) {
    if (const auto Relayed = relay(Request, relay_reason::Draining, Now))
      return *Relayed;
    return refuse(Request, refusal::Draining, Now);
  }
  if (Streams >= Settings.MaxStreams)
    return refuse(Request, refusal::TooManyStreams, Now);
  return run(Request, Now);
}

/// Time before the aim at which a request has to start. AimMarginFactor leaves
/// room for service times above the mean; requests beyond the slots wait at the
/// target first.
duration admission::impl::aimMargin(double ServiceSeconds, instant Now) const {
  const double Slots = double(std::max<std::size_t>(Limit.limit(Now), 1));
  return toDuration(AimMarginFactor * ServiceSeconds *
                    (1 + double(Settings.Pipeline) / Slots));
}

decision admission::impl::offer(const work_request &Request, instant Now) {
  recordUse(Now);
  discountStalled(Now);
  if (Request.Kind == work_kind::Stream)
    return offerStream(Request, Now);
  const double ServiceSeconds = Times.expected(Request);
  if (!Request.Retry) {
    Budget.firstTry();
    RetryEstimator.firstTry(ServiceSeconds, Now);
  }
  if (Request.Committed)
    return offerCommitted(Request, ServiceSeconds, Now);
  if (Draining) {
    if (const auto Relayed = relay(Request, relay_reason::Draining, Now))
      return *Relayed;
    return refuse(Request, refusal::Draining, Now);
  }
  if (!tooLate(Request, ServiceSeconds, Now)) {
    if (const auto Relayed = relay(Request, relay_reason::Balance, Now))
      return *Relayed;
    if (Queue.empty(Request.Kind) && hasSlot(Request.Kind, Now)) {
      Queue.resetTags();
      return run(Request, Now);
    }
  }
  const auto Why =
      Limit.ramping(Now) ? relay_reason::Cold : relay_reason::Overloaded;
  if (const auto Relayed = relay(Request, Why, Now))
    return *Relayed;
  return enqueue(Request, ServiceSeconds, Now);
}

decision admission::impl::offerCommitted(const work_request &Request,
                                         double ServiceSeconds, instant Now) {
  const bool Due = Request.Deadline && *Request.Deadline <= Now;
  if (Due)
    return run(Request, Now);
  if (Queue.empty(Request.Kind) && hasSlot(Request.Kind, Now)) {
    Queue.resetTags();
    return run(Request, Now);
  }
  return hold(Request, ServiceSeconds, Now);
}

decision admission::impl::hold(const work_request &Request,
                               double ServiceSeconds, instant Now) {
  Queue.push({Request, ServiceSeconds, Now}, aimMargin(ServiceSeconds, Now));
  return {.Id = Request.Id, .Verdict = verdict::Wait};
}

decision admission::impl::enqueue(const work_request &Request,
                                  double ServiceSeconds, instant Now) {
  if (RelayedFromQueue.erase(Request.Id) > 0 &&
      !tooLate(Request, ServiceSeconds, Now))
    return hold(Request, ServiceSeconds, Now);
  // Computing the exact work ahead visits the queue, so it is skipped if the
  // request can be admitted by the upper bound.
  duration Wait = expectedWait(Request, Queue.maxWorkAhead(Request), Now);
  if (Wait > waitBound(Request.Kind) ||
      tooLate(Request, ServiceSeconds, Now + Wait))
    Wait = expectedWait(Request, Queue.workAhead(Request), Now);
  // A relayed request is either run or refused: the agent that relayed it can
  // still queue it and knows its caller's share.
  const bool CannotWait = Request.RelayedBy || Wait > waitBound(Request.Kind) ||
                          !hasRoom(Request, Now);
  if (tooLate(Request, ServiceSeconds, Now + Wait))
    return refuse(Request, refusal::DeadlineTooClose, Now);
  if (CannotWait) {
    const bool Paused = Limit.pause(Now) > duration::zero();
    return refuse(Request, Paused ? refusal::TargetShed : refusal::Overloaded,
                  Now);
  }
  if (!retryAllowed(Request, Now))
    return refuse(Request, refusal::RetryBudget, Now);
  return hold(Request, ServiceSeconds, Now);
}

/// Longest wait for requests of \p Kind. For long work it is at least the mean
/// time of such work; otherwise a long request could never queue behind another
/// one.
duration admission::impl::waitBound(work_kind Kind) const {
  if (Kind != work_kind::Long)
    return Settings.WaitBound;
  return std::max(Settings.WaitBound, toDuration(Times.mean(Kind)));
}

/// A caller may have as much work waiting as is still free (a dynamic
/// threshold, as in shared-memory switches). One heavy caller takes half of the
/// queue, three take a quarter each, and there is always room for a caller with
/// nothing waiting. Waiting requests are never evicted to make room, so no
/// refusal comes late.
bool admission::impl::hasRoom(const work_request &Request, instant Now) const {
  const double MaxWork =
      toSeconds(waitBound(Request.Kind)) * servers(Request.Kind, Now);
  const double Free = MaxWork - Queue.work(Request.Kind);
  if (Queue.size() >= Settings.MaxWaiting || Free <= 0)
    return false;
  return Queue.workOf(Request.Caller, Request.Kind) <= Free;
}

/// Retries may fill half of the queue; beyond that they need the retry budget.
bool admission::impl::retryAllowed(const work_request &Request, instant Now) {
  const double Half =
      toSeconds(waitBound(Request.Kind)) * servers(Request.Kind, Now) / 2;
  return !Request.Retry || Queue.work(Request.Kind) <= Half || Budget.take();
}

void admission::impl::freeSlot(request_id Id) {
  const auto Found = Running.find(Id);
  if (Found == Running.end())
    return;
  Streams -= Found->second.Kind == work_kind::Stream ? 1 : 0;
  uncount(Id, Found->second);
  Running.erase(Found);
}

void admission::impl::uncount(request_id Id, running_request &Request) {
  if (Request.Counts)
    startsOf(Request.Kind).erase({Request.Since, Id});
  Request.Counts = false;
}

void admission::impl::discountStalled(instant Now) {
  for (start_index *Starts : {&ShortStarts, &LongStarts})
    while (!Starts->empty() && stalled(Starts->begin()->first, Now)) {
      const request_id Id = Starts->begin()->second;
      uncount(Id, Running.at(Id));
    }
}

void admission::impl::runDue(instant Now) {
  for (const waiting_request &Each : Queue.removeDue(Now))
    Outbox.push_back(run(Each.Request, Now));
}

void admission::impl::refuseExpired(instant Now) {
  const auto Expired =
      Queue.removeExpired(MaxWaitBounds * waitBound(work_kind::Short),
                          MaxWaitBounds * waitBound(work_kind::Long), Now);
  for (const waiting_request &Each : Expired) {
    const bool Late = tooLate(Each.Request, Each.ServiceSeconds, Now);
    Outbox.push_back(
        refuse(Each.Request,
               Late ? refusal::DeadlineTooClose : refusal::Overloaded, Now));
  }
}

void admission::impl::runWaiting(instant Now) {
  while (hasSlot(work_kind::Short, Now)) {
    const auto Next =
        Queue.pop(hasSlot(work_kind::Long, Now), Settings.WaitBound, Now);
    if (!Next)
      return;
    Outbox.push_back(run(Next->Request, Now));
  }
}

/// Relays waiting requests to peers when draining starts or the target has
/// stalled. Requests that no peer takes keep their place, because they have
/// been admitted.
void admission::impl::relayWaiting(relay_reason Why, instant Now) {
  if (!PickPeer || Queue.refusable() == 0)
    return;
  // Most entries never return. A request whose entry is removed only loses its
  // exemption from a late refusal.
  if (RelayedFromQueue.size() > Settings.MaxWaiting)
    RelayedFromQueue.clear();
  std::vector<decision> Relayed;
  const auto Moves = [&](const waiting_request &Each) {
    if (Each.Request.Committed)
      return false;
    const auto Peer = relay(Each.Request, Why, Now);
    if (Peer) {
      Relayed.push_back(*Peer);
      RelayedFromQueue.insert(Each.Request.Id);
    }
    return Peer.has_value();
  };
  Queue.removeIf(Moves);
  Outbox.insert(Outbox.end(), Relayed.begin(), Relayed.end());
}

admission::admission(const admission_settings &Settings, pick_peer PickPeer,
                     std::uint64_t Seed)
    : Impl(std::make_unique<impl>(Settings, std::move(PickPeer), Seed)) {}

admission::~admission() = default;

decision admission::offer(const work_request &Request, instant Now) {
  return Impl->offer(Request, Now);
}

void admission::finished(request_id Id, const completion &End, instant Now) {
  const auto Found = Impl->Running.find(Id);
  if (Found == Impl->Running.end())
    return;
  Impl->recordUse(Now);
  Impl->discountStalled(Now);
  const auto Ran = Found->second;
  const std::size_t InFlight = Impl->inSlots();
  Impl->freeSlot(Id);
  if (Ran.Kind == work_kind::Stream)
    return;
  if (End.Outcome == work_outcome::Shed)
    Impl->Limit.shed(InFlight, End.RetryAfter, Now);
  if (End.Outcome != work_outcome::Answered)
    return;
  const duration Elapsed =
      Ran.Counts ? End.Elapsed
                 : std::min(End.Elapsed, Impl->Settings.StallBound);
  const duration InSlot = Ran.SlotShare < 1
                              ? toDuration(toSeconds(Elapsed) * Ran.SlotShare)
                              : Elapsed;
  Impl->Times.answered(Ran.Kind, InSlot);
  // The answer of a stalled request says nothing about the number of slots.
  if (Ran.Kind == work_kind::Short && Ran.Counts)
    Impl->Limit.answered(InSlot, Ran.Alone, Impl->Queue.size() > 0, Now);
}

void admission::cancelled(request_id Id, instant Now) {
  Impl->recordUse(Now);
  Impl->freeSlot(Id);
  Impl->Queue.remove(Id);
  ++Impl->Counts.Cancelled;
}

std::vector<decision> admission::tick(instant Now) {
  Impl->recordUse(Now);
  Impl->discountStalled(Now);
  Impl->runDue(Now);
  if (Impl->stalledFor(Now) > Impl->Settings.WaitBound / 2)
    Impl->relayWaiting(relay_reason::Overloaded, Now);
  Impl->refuseExpired(Now);
  Impl->runWaiting(Now);
  return std::exchange(Impl->Outbox, {});
}

void admission::drain(instant Now) {
  Impl->Draining = true;
  Impl->relayWaiting(relay_reason::Draining, Now);
}

void admission::resume() { Impl->Draining = false; }

agent_load admission::load(instant Now) { return Impl->load(Now); }

void admission::setSlots(std::uint32_t Slots) {
  if (Slots == Impl->Settings.Slots)
    return;
  Impl->Settings.Slots = Slots;
  Impl->Limit.setDeclared(Slots);
}

std::size_t admission::freeSlots(instant Now) const {
  if (Impl->Queue.size() > 0)
    return 0;
  std::size_t Counted = Impl->inSlots();
  for (const auto *Starts : {&Impl->ShortStarts, &Impl->LongStarts})
    for (const auto &[Since, Id] : *Starts) {
      if (!Impl->stalled(Since, Now))
        break;
      --Counted;
    }
  const std::size_t Slots = Impl->slots(Now);
  return Slots - std::min(Slots, Counted);
}

std::size_t admission::waitingUpTo(std::uint8_t Priority) const {
  return Impl->Queue.sizeUpTo(Priority);
}

std::size_t admission::waiting(std::uint8_t Priority) const {
  return Impl->Queue.size(Priority);
}

duration admission::expectedWait(std::uint8_t Priority, instant Now) const {
  if (freeSlots(Now) > 0)
    return duration::zero();
  const double Slots = double(std::max<std::size_t>(Impl->Limit.limit(Now), 1));
  const double First = Impl->Times.mean(work_kind::Short);
  return Impl->Limit.pause(Now) +
         toDuration((Impl->Queue.workUpTo(Priority) + First) / Slots);
}

std::optional<instant> admission::nextTick() const {
  std::optional<instant> Next = Impl->Queue.nextDeadline();
  if (Impl->Queue.size() == 0 || Impl->Settings.StallBound <= duration::zero())
    return Next;
  for (const auto *Starts : {&Impl->ShortStarts, &Impl->LongStarts}) {
    if (Starts->empty())
      continue;
    const instant Stalled = Starts->begin()->first + Impl->Settings.StallBound;
    Next = Next ? std::min(*Next, Stalled) : Stalled;
  }
  return Next;
}

std::size_t admission::running() const {
  return Impl->Running.size() - Impl->Streams;
}
std::size_t admission::waiting() const { return Impl->Queue.size(); }
std::size_t admission::streams() const { return Impl->Streams; }
std::size_t admission::limit(instant Now) const { return Impl->slots(Now); }
const admission_counts &admission::counts() const { return Impl->Counts; }

} // namespace marjoramrail
