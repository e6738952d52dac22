#include "marjoramrail/base.h"

namespace marjoramrail {

timer_id timer_service::after(duration Delay, callback Callback) {
  return add(Now + Delay, duration::zero(), std::move(Callback));
}

timer_id timer_service::every(duration Period, callback Callback) {
  return add(Now + Period, Period, std::move(Callback));
}

timer_id timer_service::add(instant Due, duration Period, callback Callback) {
  const timer_id Id{++LastId};
  ById[Id] = Pending.emplace(Due, entry{Id, Period, std::move(Callback)});
  return Id;
}

void timer_service::cancel(timer_id Timer) {
  const auto Found = ById.find(Timer);
  if (Found == ById.end())
    return;
  Pending.erase(Found->second);
  ById.erase(Found);
}

void timer_service::advance(instant To) {
  while (!Pending.empty() && Pending.begin()->first <= To) {
    const auto First = Pending.begin();
    Now = std::max(Now, First->first);
    // A callback may cancel its own timer. It is therefore run from a copy,
    // after the timer has been removed or rescheduled.
    entry Due = First->second;
    Pending.erase(First);
    if (Due.Period > duration::zero())
      ById[Due.Id] = Pending.emplace(Now + Due.Period, Due);
    else
      ById.erase(Due.Id);
    Due.Callback();
  }
  Now = std::max(Now, To);
}

std::optional<instant> timer_service::nextDue() const {
  if (Pending.empty())
    return std::nullopt;
  return Pending.begin()->first;
}

} // namespace marjoramrail
