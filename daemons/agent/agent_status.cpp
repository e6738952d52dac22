#include "agent_process.h"

namespace marjoramrail {

void agent_process::record(event_kind What, const std::string &Flow,
                           const std::string &Why) {
  timeline_event Event;
  Event.What = What;
  Event.Service = Settings.Service;
  Event.Flow = Flow;
  Event.Host = Settings.Name;
  Event.Why = Why;
  Line.record(std::move(Event));
}

status_page::hooks agent_process::pages() {
  status_page::hooks Hooks;
  Hooks.Ready = [this] { return Owner != nullptr && !Draining; };
  Hooks.Pages["/timeline"] = [this] { return Line.recent(); };
  return Hooks;
}

void agent_process::registerProxyMetrics() {
  using counter = std::uint64_t proxy_counts::*;
  const std::pair<const char *, counter> Counters[] = {
      {"requests", &proxy_counts::Requests},
      {"answered", &proxy_counts::Answered},
      {"refused", &proxy_counts::Refused},
      {"relayed", &proxy_counts::Relayed},
      {"unknown", &proxy_counts::Unknown},
      {"cancelled", &proxy_counts::Cancelled},
      {"late_answers", &proxy_counts::LateAnswers},
      {"silent_flows", &proxy_counts::UnresponsiveFlows},
      {"keys_held", &proxy_counts::ClaimsNotGranted},
      {"bad_key_messages", &proxy_counts::BadKeyMessages},
  };
  for (const auto &[Name, Counter] : Counters)
    Metrics.gauge(std::string("agent_requests_") + Name,
                  [this, Counter = Counter] {
                    return Proxy ? double(Proxy->counts().*Counter) : 0;
                  });
  Metrics.gauge("agent_key_records",
                [this] { return Proxy ? double(Proxy->keyRecords()) : 0; });
  Metrics.gauge("agent_keys_settled",
                [this] { return Proxy && Proxy->keysSettled() ? 1.0 : 0.0; });
}

void agent_process::registerMetrics() {
  Metrics.gauge("agent_flows",
                [this] { return Owner ? double(Owner->flows()) : 0; });
  registerProxyMetrics();
  Metrics.gauge("agent_view_version",
                [this] { return Owner ? double(Owner->viewVersion()) : 0; });
  for (const auto &[Reason, Name] : PacketReasonNames)
    Metrics.gauge("agent_packets_" + std::string(Name),
                  [this, Reason = Reason] {
                    return Owner ? double(Owner->count(Reason)) : 0;
                  });
}

} // namespace marjoramrail
