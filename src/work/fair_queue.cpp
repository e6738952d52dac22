#include "work/fair_queue.h"

#include <algorithm>
#include <xxhash.h>

namespace marjoramrail::internal {

fair_queue::fair_queue(std::size_t CallerQueues, std::uint64_t Seed)
    : Seed(Seed), FinishTags(std::max<std::size_t>(CallerQueues, 1), 0.0) {
  Short.WorkOf.resize(FinishTags.size());
  Long.WorkOf.resize(FinishTags.size());
}

double fair_queue::workOf(std::uint64_t Caller, work_kind Kind) const {
  return queueOf(Kind).WorkOf[bucketOf(Caller)];
}

fair_queue::kind_queue &fair_queue::queueOf(work_kind Kind) {
  return Kind == work_kind::Long ? Long : Short;
}

const fair_queue::kind_queue &fair_queue::queueOf(work_kind Kind) const {
  return Kind == work_kind::Long ? Long : Short;
}

std::size_t fair_queue::bucketOf(std::uint64_t Caller) const {
  return XXH3_64bits_withSeed(&Caller, sizeof(Caller), Seed) %
         FinishTags.size();
}

double fair_queue::startFor(std::uint64_t Caller) const {
  return std::max(VirtualTime, FinishTags[bucketOf(Caller)]);
}

double fair_queue::workAhead(std::uint64_t Caller, work_kind Kind) const {
  const double Start = startFor(Caller);
  double Sum = 0;
  for (const auto &[Tag, Waiting] : queueOf(Kind).Entries) {
    if (Tag.Start > Start)
      break;
    Sum += Waiting.ServiceSeconds;
  }
  return Sum;
}

void fair_queue::push(waiting_request Waiting) {
  const work_kind Kind = Waiting.Request.Kind;
  const std::uint64_t Caller = Waiting.Request.Caller;
  const tag Tag{startFor(Caller), ++LastOrder};
  FinishTags[bucketOf(Caller)] = Tag.Start + Waiting.ServiceSeconds;
  Places[Waiting.Request.Id] = {Kind, Tag};
  queueOf(Kind).Work += Waiting.ServiceSeconds;
  queueOf(Kind).WorkOf[bucketOf(Caller)] += Waiting.ServiceSeconds;
  queueOf(Kind).ByAge.emplace(Tag.Order, Tag);
  queueOf(Kind).Entries.emplace(Tag, std::move(Waiting));
}

void fair_queue::resetTags() {
  if (!Places.empty())
    return;
  std::fill(FinishTags.begin(), FinishTags.end(), 0.0);
  VirtualTime = 0;
}

waiting_request
fair_queue::take(work_kind Kind,
                 std::map<tag, waiting_request>::iterator Where) {
  kind_queue &Queue = queueOf(Kind);
  waiting_request Taken = std::move(Where->second);
  Queue.ByAge.erase(Where->first.Order);
  Queue.Entries.erase(Where);
  Queue.Work -= Taken.ServiceSeconds;
  Queue.WorkOf[bucketOf(Taken.Request.Caller)] -= Taken.ServiceSeconds;
  if (Queue.Entries.empty()) {
    // Prevents rounding errors from accumulating over hours.
    Queue.Work = 0;
    std::fill(Queue.WorkOf.begin(), Queue.WorkOf.end(), 0.0);
  }
  Places.erase(Taken.Request.Id);
  return Taken;
}

const fair_queue::tag *fair_queue::agedRequest(work_kind Kind, duration Bound,
                                               instant Now) const {
  const kind_queue &Queue = queueOf(Kind);
  if (Queue.ByAge.empty())
    return nullptr;
  const tag &Oldest = Queue.ByAge.begin()->second;
  const duration Waited = Now - Queue.Entries.at(Oldest).Since;
  const bool First = Waited >= Bound || (!TagFirst && Waited >= Bound / 2);
  return First ? &Oldest : nullptr;
}

std::optional<waiting_request> fair_queue::pop(bool AllowLong, duration Bound,
                                               instant Now) {
  const bool HasLong = AllowLong && !Long.Entries.empty();
  if (Short.Entries.empty() && !HasLong)
    return std::nullopt;
  const bool TakeLong =
      HasLong && (Short.Entries.empty() ||
                  Long.Entries.begin()->first < Short.Entries.begin()->first);
  const work_kind Kind = TakeLong ? work_kind::Long : work_kind::Short;
  auto Next = queueOf(Kind).Entries.begin();
  VirtualTime = std::max(VirtualTime, Next->first.Start);
  TagFirst = !TagFirst;
  if (const tag *Old = agedRequest(Kind, Bound, Now))
    Next = queueOf(Kind).Entries.find(*Old);
  return take(Kind, Next);
}

std::optional<waiting_request> fair_queue::remove(request_id Id) {
  const auto Found = Places.find(Id);
  if (Found == Places.end())
    return std::nullopt;
  const queue_position Position = Found->second;
  return take(Position.Kind, queueOf(Position.Kind).Entries.find(Position.Tag));
}

bool fair_queue::runsBefore(request_id Left, request_id Right) const {
  const queue_position &A = Places.at(Left);
  const queue_position &B = Places.at(Right);
  return A.Kind == B.Kind ? A.Tag < B.Tag : A.Kind != work_kind::Long;
}

std::vector<waiting_request> fair_queue::removeIf(
    const std::function<bool(const waiting_request &)> &Predicate) {
  std::vector<request_id> Ids;
  for (const kind_queue *Queue : {&Short, &Long})
    for (const auto &[Tag, Waiting] : Queue->Entries)
      if (Predicate(Waiting))
        Ids.push_back(Waiting.Request.Id);
  std::vector<waiting_request> Removed;
  Removed.reserve(Ids.size());
  for (const request_id Id : Ids)
    Removed.push_back(*remove(Id));
  return Removed;
}

} // namespace marjoramrail::internal
