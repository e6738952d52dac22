#include "load_run.h"

#include <algorithm>
#include <glog/logging.h>

namespace marjoramrail::standins {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr duration TickPeriod = milliseconds(10);
static constexpr double TicksPerSecond = 100;
static constexpr std::uint32_t MaxTries = 6;
/// Delay before a caller that does not know whether its request ran retries it
/// with the same key.
static constexpr duration UnknownRetryDelay = milliseconds(300);
static constexpr duration ReopenDelay = milliseconds(50);
static constexpr duration MaxReopenDelay = seconds(2);
static constexpr std::uint64_t FlowsPerAddress = 1000;
static constexpr std::uint16_t FirstPort = 20000;

load_run::load_run(event_loop &Loop, tcp_stack &Stack,
                   const load_settings &Settings, attempt_log &Log)
    : Loop(Loop), Stack(Stack), Settings(Settings), Log(Log),
      Random(Settings.Seed) {
  for (const service_load &Load : Settings.Services) {
    group &Group = Groups.emplace_back();
    Group.Load = Load;
    Group.Slots.resize(Load.Flows);
  }
}

load_run::~load_run() = default;

void load_run::start(std::function<void()> Begun, std::function<void()> Done) {
  OnSending = std::move(Begun);
  OnDone = std::move(Done);
  Loop.timers().every(TickPeriod, [this] { tick(); });
  Loop.timers().every(seconds(1), [this] {
    LOG(INFO) << "load: flows=" << openFlows()
              << " requests=" << Totals.Requests << " ok=" << Totals.Ok
              << " refused=" << Totals.Refused << " unknown=" << Totals.Unknown
              << " broken=" << Totals.Broken << " moved=" << Totals.Moved;
  });
}

void load_run::tick() {
  if (Ending)
    return;
  for (group &Group : Groups) {
    openDueFlows(Group);
    if (Sending)
      sendDueRequests(Group);
  }
  if (!Sending && allOpened()) {
    Sending = true;
    LOG(INFO) << "load: all flows are open";
    OnSending();
    Loop.timers().after(Settings.SendDuration, [this] {
      Ending = true;
      Loop.timers().after(Settings.Grace, [this] { finish(); });
    });
  }
}

bool load_run::allOpened() const {
  return std::all_of(Groups.begin(), Groups.end(), [](const group &Group) {
    return std::all_of(Group.Slots.begin(), Group.Slots.end(),
                       [](const slot &Slot) { return Slot.Opened; });
  });
}

std::size_t load_run::openFlows() const {
  std::size_t Count = 0;
  for (const group &Group : Groups)
    Count += static_cast<std::size_t>(std::count_if(
        Group.Slots.begin(), Group.Slots.end(),
        [](const slot &Slot) { return Slot.Flow && Slot.Flow->usable(); }));
  return Count;
}

void load_run::openDueFlows(group &Group) {
  Group.OpenCredit += Group.Load.OpenPerSecond / TicksPerSecond;
  while (Group.OpenCredit >= 1 && Group.NextToOpen < Group.Slots.size()) {
    Group.OpenCredit -= 1;
    openSlot(Group, Group.Slots[Group.NextToOpen++]);
  }
}

endpoint load_run::nextLocal() {
  const std::uint64_t Number = LocalEndpointsUsed++;
  const auto Address = static_cast<std::uint32_t>(Settings.FirstCaller +
                                                  Number / FlowsPerAddress);
  if (Number % FlowsPerAddress == 0)
    Stack.addAddress(Address);
  return {Address,
          static_cast<std::uint16_t>(FirstPort + Number % FlowsPerAddress)};
}

void load_run::openSlot(group &Group, slot &Slot) {
  Slot.Local = nextLocal();
  Slot.OpenedAt = Loop.timers().now();
  caller_flow::hooks Hooks;
  Hooks.OnOpen = [this, &Group, &Slot] {
    Slot.Opened = true;
    Slot.Failures = 0;
    ++Totals.Opened;
    Log.flow(Group.Load.Name, flow_event::Opened, toText(Slot.Local), "", "",
             Loop.timers().now());
  };
  Hooks.OnEnd = [this, &Group](const attempt &Attempt, const attempt_end &End) {
    onEnd(Group, Attempt, End);
  };
  Hooks.OnFlowEnded = [this, &Group, &Slot](flow_outcome FlowOutcome,
                                            const std::string &Reason) {
    onFlowEnded(Group, Slot, FlowOutcome, Reason);
  };
  Slot.Flow = std::make_unique<caller_flow>(Loop.timers(), Group.Load.Name,
                                            std::move(Hooks));
  const auto Number = static_cast<std::size_t>(&Slot - Group.Slots.data());
  if (Number % 100 < Group.Load.StreamPercent)
    Slot.Flow->enableLongStream(Group.Load.StreamIntervalMs);
  const auto Failure = failureOf(
      [&] { return Slot.Flow->open(Stack, Slot.Local, Group.Load.Address); });
  if (Failure)
    LOG(ERROR) << "load: " << toText(*Failure);
}

void load_run::onFlowEnded(group &Group, slot &Slot, flow_outcome FlowOutcome,
                           const std::string &Reason) {
  const std::string Host = Slot.Flow->host();
  const bool WasOpen = Slot.Opened;
  const bool Moved = FlowOutcome == flow_outcome::Moved;
  flow_event Event = Moved ? flow_event::Moved : flow_event::Broken;
  if (!WasOpen)
    Event = flow_event::Failed;
  if (Event == flow_event::Moved)
    ++Totals.Moved;
  if (Event == flow_event::Broken)
    ++Totals.Broken;
  Log.flow(Group.Load.Name, Event, toText(Slot.Local), Host, Reason,
           Loop.timers().now());
  Slot.Opened = false;
  // A method of the flow is still on the call stack, so destroy it later.
  Loop.defer([Old = std::shared_ptr<caller_flow>(std::move(Slot.Flow))] {});
  const duration Delay =
      Moved
          ? duration::zero()
          : std::min<duration>(ReopenDelay * (1 << std::min(Slot.Failures, 6U)),
                               MaxReopenDelay);
  ++Slot.Failures;
  reopen(Group, Slot, Delay);
}

void load_run::reopen(group &Group, slot &Slot, duration Delay) {
  Loop.timers().after(Delay, [this, &Group, &Slot] {
    if (!Ending)
      openSlot(Group, Slot);
  });
}

void load_run::sendDueRequests(group &Group) {
  Group.RequestCredit += Group.Load.RequestsPerSecond / TicksPerSecond;
  while (Group.RequestCredit >= 1) {
    Group.RequestCredit -= 1;
    sendNew(Group);
  }
}

static bool drawPercent(std::mt19937_64 &Random, std::uint32_t Percent) {
  return std::uniform_int_distribution<std::uint32_t>(0, 99)(Random) < Percent;
}

void load_run::sendNew(group &Group) {
  const service_load &Load = Group.Load;
  attempt Attempt;
  const std::string Number = std::to_string(Settings.Seed) + "-" + Load.Name +
                             "-" + std::to_string(++LastRequest);
  Attempt.Request = Number + "/1";
  Attempt.Path = Load.DocumentBytes > 0
                     ? "/document/" + std::to_string(Load.DocumentBytes)
                     : "/work";
  Attempt.DocumentBytes = Load.DocumentBytes;
  const bool Long = drawPercent(Random, Load.LongPercent);
  Attempt.WorkMs = Long ? Load.LongWorkMs : Load.WorkMs;
  Attempt.DeadlineMs = Load.DeadlineMs;
  if (drawPercent(Random, Load.KeyedPercent))
    Attempt.Key = "key-" + Number;
  Attempt.First = Loop.timers().now();
  ++Totals.Requests;
  sendAttempt(Group, std::move(Attempt));
}

load_run::slot *load_run::pickSlot(group &Group) {
  const std::size_t Count = Group.Slots.size();
  const bool Skewed =
      Group.Load.SkewFlows > 0 && drawPercent(Random, Group.Load.SkewPercent);
  const std::size_t Range =
      Skewed ? std::min<std::size_t>(Group.Load.SkewFlows, Count) : Count;
  for (int Try = 0; Try < 64 && Range > 0; ++Try) {
    slot &Slot = Group.Slots[Random() % Range];
    if (Slot.Flow && Slot.Flow->usable())
      return &Slot;
  }
  return nullptr;
}

void load_run::sendAttempt(group &Group, attempt Attempt) {
  slot *Slot = pickSlot(Group);
  if (!Slot)
    return retry(Group, std::move(Attempt), milliseconds(100));
  SentAt[Attempt.Request] = Loop.timers().now();
  Slot->Flow->send(std::move(Attempt));
}

void load_run::retry(group &Group, attempt Attempt, duration Delay) {
  Loop.timers().after(Delay, [this, &Group, Attempt = std::move(Attempt)] {
    sendAttempt(Group, Attempt);
  });
}

static attempt nextTry(const attempt &Attempt) {
  attempt Next = Attempt;
  ++Next.Try;
  Next.Request = Attempt.Request.substr(0, Attempt.Request.find('/')) + "/" +
                 std::to_string(Next.Try);
  return Next;
}

void load_run::onEnd(group &Group, const attempt &Attempt,
                     const attempt_end &End) {
  const auto Sent = SentAt.extract(Attempt.Request);
  const instant Now = Loop.timers().now();
  Log.attemptEnded(Group.Load.Name, Attempt, End,
                   Sent.empty() ? Attempt.First : Sent.mapped(), Now);
  const bool MayRetry = Attempt.Try < MaxTries && !Ending;
  switch (End.Outcome) {
  case attempt_outcome::Ok:
    ++Totals.Ok;
    return;
  case attempt_outcome::Wrong:
    ++Totals.Wrong;
    return;
  case attempt_outcome::Refused:
    if (MayRetry) {
      ++Totals.Retries;
      const duration MinDelay = milliseconds(10);
      return retry(Group, nextTry(Attempt), std::max(End.RetryAfter, MinDelay));
    }
    ++Totals.Refused;
    return;
  case attempt_outcome::Unknown:
    // A retry is safe only with an idempotency key.
    if (MayRetry && !Attempt.Key.empty()) {
      ++Totals.Retries;
      return retry(Group, nextTry(Attempt), UnknownRetryDelay);
    }
    ++Totals.Unknown;
    return;
  }
}

void load_run::finish() {
  for (group &Group : Groups)
    for (slot &Slot : Group.Slots)
      if (Slot.Flow && Slot.Flow->usable())
        Log.flow(Group.Load.Name, flow_event::OpenAtEnd, toText(Slot.Local),
                 Slot.Flow->host(), "", Loop.timers().now());
  Log.flush();
  OnDone();
}

} // namespace marjoramrail::standins
