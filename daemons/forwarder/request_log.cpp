#include "request_log.h"

namespace marjoramrail::daemons {

void request_log::seen(const flow_key &Flow, bytes_view Packet,
                       std::uint16_t Active) {
  if (Waiting.size() >= MaxWaiting)
    Waiting.erase(Waiting.begin());
  timeline_event Event;
  Event.What = event_kind::RequestSeen;
  Event.Request = Adapter.RequestIdOf(Packet);
  Waiting[Flow] = Event.Request;
  if (!Log.wants(Event.What))
    return;
  Event.Flow = toText(Flow);
  Event.Load = Active;
  Log.record(std::move(Event));
}

void request_log::answered(const flow_key &Flow, int Status, duration Took,
                           duration Usual) {
  const std::string Class = Status == 0 ? "none" : std::to_string(Status / 100);
  ++Metrics.counter("marjoramrail_answers_total", "class=\"" + Class + "xx\"");
  Metrics.observe("marjoramrail_answer_seconds", inSeconds(Took));
  timeline_event Event;
  Event.Request = takePending(Flow);
  Event.What = event_kind::RequestAnswered;
  if (Took > Usual * SlowFactor && Took > SlowThreshold)
    Event.What = event_kind::RequestSlow;
  if (isFailure(Status))
    Event.What = event_kind::RequestFailed;
  if (!Log.wants(Event.What))
    return;
  Event.Flow = toText(Flow);
  Event.Why = "status " + std::to_string(Status);
  Event.TookMs = inMilliseconds(Took);
  Event.AgeMs = inMilliseconds(Usual);
  Log.record(std::move(Event));
}

std::string request_log::takePending(const flow_key &Flow) {
  const auto Found = Waiting.find(Flow);
  if (Found == Waiting.end())
    return "";
  std::string Id = std::move(Found->second);
  Waiting.erase(Found);
  return Id;
}

} // namespace marjoramrail::daemons
