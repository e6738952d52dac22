#include "work/level_queue.h"

#include <algorithm>
#include <tuple>

namespace marjoramrail::internal {

namespace {

duration toDuration(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

/// The latest useful start of a request that arrives at \p Since. If the margin
/// were not bounded by half of the time left, all requests with an aim of less
/// than the margin would be late on arrival and would get no order among each
/// other.
instant latestStart(instant Since, instant Aim, duration Margin) {
  return Aim - std::clamp(Margin, duration::zero(),
                          std::max(duration::zero(), (Aim - Since) / 2));
}

} // namespace

level_queue::level_queue(std::size_t CallerQueues,
                         std::size_t PriorityTurnInterval, std::uint64_t Seed)
    : CallerQueues(std::max<std::size_t>(CallerQueues, 1)),
      PriorityTurnInterval(PriorityTurnInterval), Plain(CallerQueues, Seed) {
  for (kind_index &Each : Kinds)
    Each.WorkOf.resize(this->CallerQueues);
}

level_queue::level &level_queue::levelOf(std::uint8_t Priority) {
  return Levels.try_emplace(Priority, CallerQueues).first->second;
}

std::size_t level_queue::size(std::uint8_t Priority) const {
  const auto Found = Levels.find(Priority);
  return Found == Levels.end() ? 0 : Found->second.Size;
}

std::size_t level_queue::sizeUpTo(std::uint8_t Priority) const {
  std::size_t Sum = 0;
  for (const auto &[Each, Level] : Levels) {
    if (Each > Priority)
      break;
    Sum += Level.Size;
  }
  return Sum;
}

std::size_t level_queue::refusable() const {
  return Kinds[0].Refusable.size() + Kinds[1].Refusable.size();
}

double level_queue::workOf(std::uint64_t Caller, work_kind Kind) const {
  return kind(Kind).WorkOf[Plain.bucketOf(Caller)];
}

double level_queue::workUpTo(std::uint8_t Priority) const {
  double Sum = 0;
  for (const auto &[Each, Level] : Levels) {
    if (Each > Priority)
      break;
    Sum += Level.Work;
  }
  return Sum;
}

double level_queue::maxWorkAhead(const work_request &Request) const {
  return std::min(work(Request.Kind), workUpTo(Request.Priority));
}

double level_queue::workAhead(const work_request &Request) const {
  const bool IsPlain = Request.Priority == 0 && !Request.Aim;
  const bool OnlyPlain = Plain.size() == Entries.size();
  return IsPlain && OnlyPlain ? Plain.workAhead(Request.Caller, Request.Kind)
                              : maxWorkAhead(Request);
}

void level_queue::addToIndexes(request_id Id, const entry &Entry) {
  kind_index &Kind = Kinds[indexOf(Entry.Kind)];
  Kind.ByAge.emplace_hint(Kind.ByAge.end(), Entry.Order, Id);
  if (!Entry.Committed)
    Kind.Refusable.emplace_hint(Kind.Refusable.end(), Entry.Order, Id);
  Kind.Work += Entry.ServiceSeconds;
  Kind.WorkOf[Entry.Bucket] += Entry.ServiceSeconds;
  if (Entry.EndOfWait)
    deadlines(Entry).emplace(*Entry.EndOfWait, Entry.Order, Id);
  level &Level = levelOf(Entry.Priority);
  ++Level.Size;
  Level.Work += Entry.ServiceSeconds;
}

void level_queue::removeFromIndexes(request_id Id, const entry &Entry) {
  kind_index &Kind = Kinds[indexOf(Entry.Kind)];
  Kind.ByAge.erase(Entry.Order);
  Kind.Refusable.erase(Entry.Order);
  Kind.Work -= Entry.ServiceSeconds;
  Kind.WorkOf[Entry.Bucket] -= Entry.ServiceSeconds;
  if (Kind.ByAge.empty()) {
    // Prevents rounding errors from accumulating over hours.
    Kind.Work = 0;
    std::fill(Kind.WorkOf.begin(), Kind.WorkOf.end(), 0.0);
  }
  if (Entry.EndOfWait)
    deadlines(Entry).erase({*Entry.EndOfWait, Entry.Order, Id});
  level &Level = levelOf(Entry.Priority);
  Level.Work = --Level.Size == 0 ? 0 : Level.Work - Entry.ServiceSeconds;
}

level_queue::entry level_queue::entryOf(const waiting_request &Waiting,
                                        duration Margin) {
  const work_request &Request = Waiting.Request;
  entry Entry;
  Entry.Kind = Request.Kind;
  Entry.Priority = Request.Priority;
  Entry.Committed = Request.Committed;
  Entry.IsPlain = Request.Priority == 0 && !Request.Aim;
  Entry.Order = ++LastOrder;
  Entry.Bucket = Plain.bucketOf(Request.Caller);
  Entry.ServiceSeconds = Waiting.ServiceSeconds;
  Entry.Since = Waiting.Since;
  Entry.LateKey = Request.Deadline.value_or(instant::max());
  if (Request.Aim)
    Entry.LatestStart = latestStart(Waiting.Since, *Request.Aim, Margin);
  if (Request.Deadline)
    // A request that is not committed is refused as soon as a start would be
    // too late, that is, one tick after the latest start.
    Entry.EndOfWait = Request.Committed
                          ? *Request.Deadline
                          : *Request.Deadline -
                                toDuration(Waiting.ServiceSeconds) +
                                duration(1);
  return Entry;
}

/// Adds a request that is not kept in Plain to the queues of its level.
void level_queue::addToLevel(request_id Id, entry &Entry) {
  level &Level = levelOf(Entry.Priority);
  const std::size_t Kind = indexOf(Entry.Kind);
  Entry.IsLate = Entry.LatestStart && *Entry.LatestStart < Entry.Since;
  if (Entry.IsLate) {
    Level.Late[Kind].emplace(Entry.LateKey, Entry.Order, Id);
    Level.LateBeforeAim[Kind].emplace(*Entry.Waiting.Request.Aim, Entry.Order,
                                      Id);
    return;
  }
  Level.InTime[Kind].push(Entry.Order, Entry.Bucket, Id, Entry.ServiceSeconds);
  if (Entry.LatestStart)
    Level.ByLatestStart.emplace(*Entry.LatestStart, Entry.Order, Id);
}

void level_queue::push(waiting_request Waiting, duration Margin) {
  const request_id Id = Waiting.Request.Id;
  entry Entry = entryOf(Waiting, Margin);
  addToIndexes(Id, Entry);
  if (Entry.IsPlain) {
    Plain.push(std::move(Waiting));
  } else {
    Entry.Waiting = std::move(Waiting);
    addToLevel(Id, Entry);
  }
  Entries.emplace(Id, std::move(Entry));
}

void level_queue::resetTags() {
  if (!Entries.empty())
    return;
  Plain.resetTags();
  for (auto &[Priority, Level] : Levels)
    for (aimed_queue &Each : Level.InTime)
      Each.resetTags();
}

/// Removes a request. If \p Runs, it gets a slot and its caller is charged.
waiting_request level_queue::take(request_id Id, bool Runs) {
  const auto Found = Entries.find(Id);
  entry Entry = std::move(Found->second);
  Entries.erase(Found);
  removeFromIndexes(Id, Entry);
  if (Entry.IsPlain)
    return *Plain.remove(Id);
  level &Level = levelOf(Entry.Priority);
  const std::size_t Kind = indexOf(Entry.Kind);
  if (Entry.IsLate) {
    Level.Late[Kind].erase({Entry.LateKey, Entry.Order, Id});
    Level.LateBeforeAim[Kind].erase(
        {*Entry.Waiting.Request.Aim, Entry.Order, Id});
    return std::move(Entry.Waiting);
  }
  if (Entry.LatestStart)
    Level.ByLatestStart.erase({*Entry.LatestStart, Entry.Order, Id});
  if (Runs)
    Level.InTime[Kind].take(Entry.Order, Entry.Bucket);
  else
    Level.InTime[Kind].remove(Entry.Order, Entry.Bucket);
  return std::move(Entry.Waiting);
}

void level_queue::moveLate(instant Now) {
  for (auto &[Priority, Level] : Levels) {
    while (!Level.ByLatestStart.empty() &&
           std::get<0>(*Level.ByLatestStart.begin()) < Now) {
      const auto [Start, Order, Id] = *Level.ByLatestStart.begin();
      Level.ByLatestStart.erase(Level.ByLatestStart.begin());
      entry &Entry = Entries.at(Id);
      const std::size_t Kind = indexOf(Entry.Kind);
      Entry.IsLate = true;
      Level.InTime[Kind].remove(Order, Entry.Bucket);
      Level.Late[Kind].emplace(Entry.LateKey, Order, Id);
      Level.LateBeforeAim[Kind].emplace(*Entry.Waiting.Request.Aim, Order, Id);
      const duration AimPeriod = *Entry.Waiting.Request.Aim - Entry.Since;
      Level.OverloadedUntil = std::max(Level.OverloadedUntil, Now + AimPeriod);
    }
  }
}

std::optional<waiting_request>
level_queue::popPlain(bool AllowLong, duration Bound, instant Now) {
  auto Taken = Plain.pop(AllowLong, Bound, Now);
  if (!Taken)
    return std::nullopt;
  const auto Found = Entries.find(Taken->Request.Id);
  removeFromIndexes(Taken->Request.Id, Found->second);
  Entries.erase(Found);
  return Taken;
}

std::optional<waiting_request> level_queue::popFrom(level &Level, bool HasPlain,
                                                    bool AllowLong,
                                                    duration Bound,
                                                    instant Now) {
  const queue_order By = Now < Level.OverloadedUntil ? queue_order::NewestFirst
                                                     : queue_order::OldestFirst;
  // Short, long and plain requests take turns; the first two turns are indexes
  // of InTime.
  constexpr std::size_t PlainTurn = 2;
  constexpr std::size_t Turns = 3;
  for (std::size_t Tried = 0; Tried < Turns; ++Tried) {
    const std::size_t Turn = Level.Turn++ % Turns;
    if (Turn == PlainTurn) {
      if (!HasPlain)
        continue;
      if (auto Taken = popPlain(AllowLong, Bound, Now))
        return Taken;
    } else if ((Turn == 0 || AllowLong) && !Level.InTime[Turn].empty()) {
      const request_id Id = Level.InTime[Turn].pop(By);
      const auto Found = Entries.find(Id);
      entry Entry = std::move(Found->second);
      Entries.erase(Found);
      removeFromIndexes(Id, Entry);
      if (Entry.LatestStart)
        Level.ByLatestStart.erase({*Entry.LatestStart, Entry.Order, Id});
      return std::move(Entry.Waiting);
    }
  }
  return popLate(Level, AllowLong, Now);
}

std::optional<waiting_request>
level_queue::popLate(level &Level, bool AllowLong, instant Now) {
  const time_index *LastAim = nullptr;
  for (const std::size_t Kind : {0, 1}) {
    time_index &ByAim = Level.LateBeforeAim[Kind];
    while (!ByAim.empty() && std::get<0>(*ByAim.begin()) <= Now)
      ByAim.erase(ByAim.begin());
    if ((Kind == 0 || AllowLong) && !ByAim.empty() &&
        (!LastAim || *LastAim->rbegin() < *ByAim.rbegin()))
      LastAim = &ByAim;
  }
  if (LastAim)
    return take(std::get<2>(*LastAim->rbegin()), /*Runs=*/true);
  const time_index *Next = nullptr;
  for (const std::size_t Kind : {0, 1})
    if ((Kind == 0 || AllowLong) && !Level.Late[Kind].empty() &&
        (!Next || *Level.Late[Kind].begin() < *Next->begin()))
      Next = &Level.Late[Kind];
  if (!Next)
    return std::nullopt;
  return take(std::get<2>(*Next->begin()), /*Runs=*/true);
}

/// Takes the next request of the priority that was served least recently.
std::optional<waiting_request>
level_queue::popTurn(bool AllowLong, duration Bound, instant Now) {
  using turn = std::tuple<std::size_t, int, level *>;
  std::vector<turn> Turns;
  for (auto &[Priority, Level] : Levels)
    if (Level.Size > 0)
      Turns.emplace_back(Level.LastServed, -int(Priority), &Level);
  std::sort(Turns.begin(), Turns.end());
  for (const auto &[LastServed, Negated, Level] : Turns)
    if (auto Taken = popFrom(*Level, Negated == 0, AllowLong, Bound, Now))
      return Taken;
  return std::nullopt;
}

std::optional<waiting_request> level_queue::pop(bool AllowLong, duration Bound,
                                                instant Now) {
  if (Kinds[0].ByAge.empty() && (!AllowLong || Kinds[1].ByAge.empty()))
    return std::nullopt;
  ++Popped;
  moveLate(Now);
  std::optional<waiting_request> Taken;
  if (PriorityTurnInterval > 0 && Popped % PriorityTurnInterval == 0)
    Taken = popTurn(AllowLong, Bound, Now);
  for (auto &[Priority, Level] : Levels) {
    if (Taken)
      break;
    if (Level.Size > 0)
      Taken = popFrom(Level, Priority == 0, AllowLong, Bound, Now);
  }
  if (Taken)
    levelOf(Taken->Request.Priority).LastServed = Popped;
  return Taken;
}

std::optional<waiting_request> level_queue::remove(request_id Id) {
  if (Entries.count(Id) == 0)
    return std::nullopt;
  return take(Id, /*Runs=*/false);
}

std::vector<waiting_request> level_queue::removeIf(
    const std::function<bool(const waiting_request &)> &Predicate) {
  std::vector<waiting_request> Removed = Plain.removeIf(Predicate);
  for (const waiting_request &Each : Removed) {
    const auto Found = Entries.find(Each.Request.Id);
    removeFromIndexes(Each.Request.Id, Found->second);
    Entries.erase(Found);
  }
  std::vector<request_id> Ids;
  for (const kind_index &Kind : Kinds)
    for (const auto &[Order, Id] : Kind.ByAge) {
      const entry &Entry = Entries.at(Id);
      if (!Entry.IsPlain && Predicate(Entry.Waiting))
        Ids.push_back(Id);
    }
  for (const request_id Id : Ids)
    Removed.push_back(take(Id, /*Runs=*/false));
  return Removed;
}

std::vector<waiting_request> level_queue::removeDue(instant Now) {
  std::vector<waiting_request> Removed;
  while (!Due.empty() && std::get<0>(*Due.begin()) <= Now)
    Removed.push_back(take(std::get<2>(*Due.begin()), /*Runs=*/true));
  return Removed;
}

bool level_queue::runsBefore(request_id Left, request_id Right) const {
  const entry &A = Entries.at(Left);
  const entry &B = Entries.at(Right);
  if (A.IsPlain && B.IsPlain)
    return Plain.runsBefore(Left, Right);
  return std::make_tuple(!A.IsPlain, A.Priority, A.Order) <
         std::make_tuple(!B.IsPlain, B.Priority, B.Order);
}

std::vector<waiting_request> level_queue::removeExpired(duration MaxShortWait,
                                                        duration MaxLongWait,
                                                        instant Now) {
  std::set<request_id> Expired;
  for (const auto &[When, Order, Id] : Expiring) {
    if (When > Now)
      break;
    Expired.insert(Id);
  }
  for (const std::size_t Kind : {0, 1}) {
    const duration Bound = Kind == 0 ? MaxShortWait : MaxLongWait;
    for (const auto &[Order, Id] : Kinds[Kind].Refusable) {
      if (Now - Entries.at(Id).Since <= Bound)
        break;
      Expired.insert(Id);
    }
  }
  std::vector<request_id> Ids(Expired.begin(), Expired.end());
  std::sort(Ids.begin(), Ids.end(), [this](request_id Left, request_id Right) {
    return runsBefore(Left, Right);
  });
  std::vector<waiting_request> Removed;
  Removed.reserve(Ids.size());
  for (const request_id Id : Ids)
    Removed.push_back(take(Id, /*Runs=*/false));
  return Removed;
}

std::optional<instant> level_queue::nextDeadline() const {
  std::optional<instant> Next;
  for (const time_index *Each : {&Due, &Expiring})
    if (!Each->empty() && (!Next || std::get<0>(*Each->begin()) < *Next))
      Next = std::get<0>(*Each->begin());
  return Next;
}

} // namespace marjoramrail::internal
