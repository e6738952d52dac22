#include "target_model.h"

#include <algorithm>

namespace marjoramrail::standins {

static constexpr duration SamplePeriod = std::chrono::milliseconds(100);

target_model::target_model(timer_service &Timers,
                           const target_settings &Settings)
    : Timers(Timers), Settings(Settings), Started(Timers.now()) {
  Timers.every(SamplePeriod, [this] { sample(); });
}

void target_model::sample() {
  History.emplace_back(Timers.now(), actual());
  while (History.size() > 1 &&
         History[1].first + Settings.LoadLag <= Timers.now())
    History.pop_front();
}

target_load target_model::actual() const {
  return {Settings.Slots, static_cast<std::uint32_t>(Running.size()),
          static_cast<std::uint32_t>(Waiting.size())};
}

target_load target_model::report() const {
  target_load Load = History.empty() ? target_load{Settings.Slots, 0, 0}
                                     : History.front().second;
  Load.Busy = Load.Busy * Settings.LoadPercent / 100;
  Load.Waiting = Load.Waiting * Settings.LoadPercent / 100;
  return Load;
}

duration target_model::workOf(const target_request &Request) const {
  const bool Cold = Timers.now() < Started + Settings.ColdStart;
  const std::uint64_t Percent = static_cast<std::uint64_t>(SlowPercent) *
                                (Cold ? Settings.ColdPercent : 100) / 100;
  return duration(Request.Work.count() * static_cast<std::int64_t>(Percent) /
                  100);
}

void target_model::submit(target_request Request) {
  if (Running.size() < Settings.Slots)
    return begin(std::move(Request));
  if (Waiting.size() >= Settings.QueueLimit)
    return Request.OnEnd(work_outcome::Shed);
  Waiting.push_back({std::move(Request), Timers.now()});
}

void target_model::begin(target_request Request) {
  Request.OnBegin();
  const std::uint64_t Id = Request.Id;
  const timer_id Timer = Timers.after(workOf(Request), [this, Id] {
    const auto OnEnd = std::move(Running.at(Id).OnEnd);
    Running.erase(Id);
    OnEnd(work_outcome::Done);
    beginNext();
  });
  Running[Id] = {Timer, std::move(Request.OnEnd)};
}

void target_model::beginNext() {
  while (Running.size() < Settings.Slots && !Waiting.empty()) {
    waiting Next = std::move(Waiting.front());
    Waiting.pop_front();
    const duration Deadline = Next.Request.Deadline;
    if (Deadline > duration::zero() && Timers.now() > Next.Arrived + Deadline)
      Next.Request.OnEnd(work_outcome::DeadlinePassed);
    else
      begin(std::move(Next.Request));
  }
}

bool target_model::cancel(std::uint64_t Id) {
  const auto Found = Running.find(Id);
  if (Found != Running.end()) {
    Timers.cancel(Found->second.Timer);
    Running.erase(Found);
    beginNext();
    return true;
  }
  std::erase_if(Waiting,
                [&](const waiting &Item) { return Item.Request.Id == Id; });
  return false;
}

} // namespace marjoramrail::standins
