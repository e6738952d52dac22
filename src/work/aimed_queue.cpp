#include "work/aimed_queue.h"

#include <algorithm>
#include <limits>

namespace marjoramrail::internal {

aimed_queue::aimed_queue(std::size_t CallerQueues)
    : CallerQueues(std::max<std::size_t>(CallerQueues, 1)) {}

void aimed_queue::link(std::size_t Bucket) {
  const caller &Caller = Callers[Bucket];
  if (Caller.Waiting.empty())
    return;
  ByStart.emplace(Caller.Start, Caller.Waiting.begin()->first, Bucket);
  if (Caller.Start <= VirtualTime)
    ByNewest.emplace(Caller.Waiting.rbegin()->first, Bucket);
}

void aimed_queue::unlink(std::size_t Bucket) {
  const caller &Caller = Callers[Bucket];
  if (Caller.Waiting.empty())
    return;
  ByStart.erase({Caller.Start, Caller.Waiting.begin()->first, Bucket});
  if (Caller.Start <= VirtualTime)
    ByNewest.erase({Caller.Waiting.rbegin()->first, Bucket});
}

void aimed_queue::advance(double Time) {
  if (Time <= VirtualTime)
    return;
  auto Next = ByStart.upper_bound(
      {VirtualTime, std::numeric_limits<std::uint64_t>::max(), CallerQueues});
  for (; Next != ByStart.end() && std::get<0>(*Next) <= Time; ++Next) {
    const std::size_t Bucket = std::get<2>(*Next);
    ByNewest.emplace(Callers[Bucket].Waiting.rbegin()->first, Bucket);
  }
  VirtualTime = Time;
}

void aimed_queue::push(std::uint64_t Order, std::size_t Bucket, request_id Id,
                       double ServiceSeconds) {
  if (Callers.empty())
    Callers.resize(CallerQueues);
  caller &Caller = Callers[Bucket];
  unlink(Bucket);
  if (Caller.Waiting.empty())
    Caller.Start = std::max(Caller.Start, VirtualTime);
  Caller.Waiting.emplace_hint(Caller.Waiting.end(), Order,
                              item{Id, ServiceSeconds});
  link(Bucket);
}

request_id aimed_queue::charge(std::size_t Bucket,
                               std::map<std::uint64_t, item>::iterator Where) {
  caller &Caller = Callers[Bucket];
  const item Taken = Where->second;
  unlink(Bucket);
  Caller.Waiting.erase(Where);
  Caller.Start += Taken.ServiceSeconds;
  link(Bucket);
  return Taken.Id;
}

request_id aimed_queue::pop(queue_order By) {
  if (By == queue_order::OldestFirst) {
    const auto [Start, Order, Bucket] = *ByStart.begin();
    advance(Start);
    return charge(Bucket, Callers[Bucket].Waiting.begin());
  }
  if (ByNewest.empty())
    advance(std::get<0>(*ByStart.begin()));
  const std::size_t Bucket = ByNewest.rbegin()->second;
  return charge(Bucket, std::prev(Callers[Bucket].Waiting.end()));
}

void aimed_queue::remove(std::uint64_t Order, std::size_t Bucket) {
  unlink(Bucket);
  Callers[Bucket].Waiting.erase(Order);
  link(Bucket);
}

void aimed_queue::take(std::uint64_t Order, std::size_t Bucket) {
  charge(Bucket, Callers[Bucket].Waiting.find(Order));
}

void aimed_queue::resetTags() {
  if (!empty())
    return;
  for (caller &Each : Callers)
    Each.Start = 0;
  VirtualTime = 0;
}

} // namespace marjoramrail::internal
