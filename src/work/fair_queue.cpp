#include "work/fair_queue.h"

#include <algorithm>
#include <xxhash.h>

namespace marjoramrail::internal {

fair_queue::fair_queue(std::size_t CallerQueues, std::uint64_t Seed)
    : Seed(Seed), Ends(std::max<std::size_t>(CallerQueues, 1), 0.0) {
  Short.WorkOf.resize(Ends.size());
  Long.WorkOf.resize(Ends.size());
}

double fair_queue::workOf(std::uint64_t Caller, work_kind Kind) const {
  return lane(Kind).WorkOf[bucketOf(Caller)];
}

fair_queue::entries &fair_queue::lane(work_kind Kind) {
  return Kind == work_kind::Long ? Long : Short;
}

const fair_queue::entries &fair_queue::lane(work_kind Kind) const {
  return Kind == work_kind::Long ? Long : Short;
}

std::size_t fair_queue::bucketOf(std::uint64_t Caller) const {
  return XXH3_64bits_withSeed(&Caller, sizeof(Caller), Seed) % Ends.size();
}

double fair_queue::startFor(std::uint64_t Caller) const {
  return std::max(Present, Ends[bucketOf(Caller)]);
}

double fair_queue::workAhead(std::uint64_t Caller, work_kind Kind) const {
  const double Start = startFor(Caller);
  double Sum = 0;
  for (const auto &[Tag, Waiting] : lane(Kind).Entries) {
    if (Tag.Start > Start)
      break;
    Sum += Waiting.Need;
  }
  return Sum;
}

void fair_queue::push(waiting_request Waiting) {
  const work_kind Kind = Waiting.Request.Kind;
  const std::uint64_t Caller = Waiting.Request.Caller;
  const tag Tag{startFor(Caller), ++LastOrder};
  Ends[bucketOf(Caller)] = Tag.Start + Waiting.Need;
  Places[Waiting.Request.Id] = {Kind, Tag};
  lane(Kind).Work += Waiting.Need;
  lane(Kind).WorkOf[bucketOf(Caller)] += Waiting.Need;
  lane(Kind).ByAge.emplace(Tag.Order, Tag);
  lane(Kind).Entries.emplace(Tag, std::move(Waiting));
}

void fair_queue::forgive() {
  if (!Places.empty())
    return;
  std::fill(Ends.begin(), Ends.end(), 0.0);
  Present = 0;
}

waiting_request
fair_queue::take(work_kind Kind,
                 std::map<tag, waiting_request>::iterator Where) {
  entries &Lane = lane(Kind);
  waiting_request Taken = std::move(Where->second);
  Lane.ByAge.erase(Where->first.Order);
  Lane.Entries.erase(Where);
  Lane.Work -= Taken.Need;
  Lane.WorkOf[bucketOf(Taken.Request.Caller)] -= Taken.Need;
  if (Lane.Entries.empty()) {
    // Rounding must not add up over hours.
    Lane.Work = 0;
    std::fill(Lane.WorkOf.begin(), Lane.WorkOf.end(), 0.0);
  }
  Places.erase(Taken.Request.Id);
  return Taken;
}

const fair_queue::tag *fair_queue::aged(work_kind Kind, duration Bound,
                                        instant Now) const {
  const entries &Lane = lane(Kind);
  if (Lane.ByAge.empty())
    return nullptr;
  const tag &Oldest = Lane.ByAge.begin()->second;
  const duration Waited = Now - Lane.Entries.at(Oldest).Since;
  const bool First = Waited >= Bound || (!TagsTurn && Waited >= Bound / 2);
  return First ? &Oldest : nullptr;
}

std::optional<waiting_request> fair_queue::pop(bool LongToo, duration Bound,
                                               instant Now) {
  const bool HasLong = LongToo && !Long.Entries.empty();
  if (Short.Entries.empty() && !HasLong)
    return std::nullopt;
  const bool TakeLong =
      HasLong && (Short.Entries.empty() ||
                  Long.Entries.begin()->first < Short.Entries.begin()->first);
  const work_kind Kind = TakeLong ? work_kind::Long : work_kind::Short;
  auto Next = lane(Kind).Entries.begin();
  Present = std::max(Present, Next->first.Start);
  TagsTurn = !TagsTurn;
  if (const tag *Old = aged(Kind, Bound, Now))
    Next = lane(Kind).Entries.find(*Old);
  return take(Kind, Next);
}

std::optional<waiting_request> fair_queue::remove(request_id Id) {
  const auto Found = Places.find(Id);
  if (Found == Places.end())
    return std::nullopt;
  const place Place = Found->second;
  return take(Place.Kind, lane(Place.Kind).Entries.find(Place.Tag));
}

std::vector<waiting_request> fair_queue::removeIf(
    const std::function<bool(const waiting_request &)> &Hopeless) {
  std::vector<request_id> Ids;
  for (const entries *Lane : {&Short, &Long})
    for (const auto &[Tag, Waiting] : Lane->Entries)
      if (Hopeless(Waiting))
        Ids.push_back(Waiting.Request.Id);
  std::vector<waiting_request> Removed;
  Removed.reserve(Ids.size());
  for (const request_id Id : Ids)
    Removed.push_back(*remove(Id));
  return Removed;
}

} // namespace marjoramrail::internal
