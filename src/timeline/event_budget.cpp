#include "marjoramrail/timeline.h"

#include <algorithm>

namespace marjoramrail {

static bool isCommon(event_kind Kind) {
  return Kind == event_kind::FlowRouted || Kind == event_kind::FlowAccepted ||
         Kind == event_kind::FlowHandedOn || Kind == event_kind::FlowClosed ||
         Kind == event_kind::RequestSeen || Kind == event_kind::RequestAnswered;
}

bool event_budget::take(event_kind Kind, instant Now) {
  bucket &Bucket = Buckets[static_cast<std::size_t>(Kind)];
  const double AtOnce = isCommon(Kind) ? CommonAtOnce : RareAtOnce;
  const double PerSecond = isCommon(Kind) ? CommonPerSecond : RarePerSecond;
  const double Passed =
      std::chrono::duration<double>(Now - Bucket.FilledAt).count();
  Bucket.Tokens = Bucket.Used
                      ? std::min(Bucket.Tokens + Passed * PerSecond, AtOnce)
                      : AtOnce;
  Bucket.Used = true;
  Bucket.FilledAt = Now;
  if (Bucket.Tokens < 1) {
    ++Bucket.LeftOut;
    return false;
  }
  Bucket.Tokens -= 1;
  return true;
}

std::uint64_t event_budget::leftOut(event_kind Kind, instant Now) {
  constexpr duration Spacing = std::chrono::seconds(1);
  bucket &Bucket = Buckets[static_cast<std::size_t>(Kind)];
  if (Bucket.LeftOut == 0 || Now - Bucket.ToldAt < Spacing)
    return 0;
  Bucket.ToldAt = Now;
  return std::exchange(Bucket.LeftOut, 0);
}

} // namespace marjoramrail
