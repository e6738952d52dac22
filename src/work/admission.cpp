#include "marjoramrail/work.h"

#include <deque>
#include <unordered_map>

namespace marjoramrail {

/// First form: slots and a queue bounded by the mean service time.
struct admission::impl {
  admission_settings Settings;
  pick_peer PickPeer;
  bool Draining = false;
  std::unordered_map<request_id, work_kind> Running;
  std::deque<work_request> Waiting;
  std::size_t Streams = 0;
  admission_counts Counts;

  bool hasSlot() const { return Running.size() - Streams < Settings.Slots; }

  decision run(const work_request &Request) {
    Running.emplace(Request.Id, Request.Kind);
    Streams += Request.Kind == work_kind::Stream ? 1 : 0;
    ++Counts.Run;
    return {.Id = Request.Id, .Verdict = verdict::Run};
  }

  void free(request_id Id) {
    const auto Found = Running.find(Id);
    if (Found == Running.end())
      return;
    Streams -= Found->second == work_kind::Stream ? 1 : 0;
    Running.erase(Found);
  }
};

admission::admission(const admission_settings &Settings, pick_peer PickPeer,
                     std::uint64_t)
    : Impl(std::make_unique<impl>()) {
  Impl->Settings = Settings;
  Impl->PickPeer = std::move(PickPeer);
}

admission::~admission() = default;

decision admission::offer(const work_request &Request, instant Now) {
  const bool Stream = Request.Kind == work_kind::Stream;
  if (!Impl->Draining && (Stream || Impl->hasSlot()))
    return Impl->run(Request);
  const auto Why =
      Impl->Draining ? relay_reason::Draining : relay_reason::Overloaded;
  if (Impl->PickPeer)
    if (const auto Peer = Impl->PickPeer(Request, Why, load(Now), Now)) {
      ++Impl->Counts.Relayed;
      return {.Id = Request.Id, .Verdict = verdict::Relay, .Peer = *Peer};
    }
  const auto Bound = Impl->Settings.WaitBound / Impl->Settings.FirstEstimate *
                     Impl->Settings.Slots;
  if (Impl->Draining || Impl->Waiting.size() >= std::size_t(Bound)) {
    ++Impl->Counts.Refused;
    return {.Id = Request.Id,
            .Verdict = verdict::Refuse,
            .Reason = Impl->Draining ? refusal::Draining : refusal::Overloaded,
            .RetryAfter = std::chrono::seconds(1)};
  }
  Impl->Waiting.push_back(Request);
  return {.Id = Request.Id, .Verdict = verdict::Wait};
}

void admission::finished(request_id Id, const completion &, instant) {
  Impl->free(Id);
}

void admission::cancelled(request_id Id, instant) {
  Impl->free(Id);
  std::erase_if(Impl->Waiting,
                [&](const work_request &Each) { return Each.Id == Id; });
  ++Impl->Counts.Cancelled;
}

std::vector<decision> admission::tick(instant) {
  std::vector<decision> Decisions;
  while (!Impl->Waiting.empty() && Impl->hasSlot()) {
    Decisions.push_back(Impl->run(Impl->Waiting.front()));
    Impl->Waiting.pop_front();
  }
  return Decisions;
}

void admission::drain(instant) { Impl->Draining = true; }

load_report admission::load(instant) {
  load_report Report;
  Report.Slots = Impl->Settings.Slots;
  Report.Busy = double(running()) / Report.Slots;
  Report.Pressure = double(running() + waiting()) / Report.Slots;
  Report.Accepting = !Impl->Draining;
  return Report;
}

std::size_t admission::running() const {
  return Impl->Running.size() - Impl->Streams;
}
std::size_t admission::waiting() const { return Impl->Waiting.size(); }
std::size_t admission::streams() const { return Impl->Streams; }
std::size_t admission::limit(instant) const { return Impl->Settings.Slots; }
const admission_counts &admission::counts() const { return Impl->Counts; }

} // namespace marjoramrail
