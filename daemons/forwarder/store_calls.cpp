#include "store_calls.h"

namespace marjoramrail::daemons {

std::string purposeOf(const platform_call_end &End) {
  const std::string Verb(nameOf(PlatformVerbNames, End.Verb));
  const std::string Subject = End.Key.Name.substr(0, End.Key.Name.find('.'));
  return Verb + " " + End.Key.Kind + (Subject.empty() ? "" : "/" + Subject);
}

store_calls::store_calls(event_loop &Loop, event_log &Log, metrics &Metrics)
    : Log(Log), Metrics(Metrics) {
  Loop.timers().every(Period, [this] { logCounts(); });
}

void store_calls::take(const platform_call_end &End) {
  const std::string Purpose = purposeOf(End);
  ++Counts[Purpose];
  ++Metrics.counter("marjoramrail_store_calls_total",
                    "purpose=\"" + Purpose + "\"");
  IsLogged = false;
}

std::string store_calls::text() const {
  std::string Text;
  for (const auto &[Purpose, Count] : Counts) {
    if (!Text.empty())
      Text += ", ";
    Text += Purpose + " " + std::to_string(Count);
  }
  return Text;
}

void store_calls::logCounts() {
  if (!std::exchange(IsLogged, true))
    Log.record(event_kind::StoreCalls, text());
}

platform_client_settings withCallCounts(platform_client_settings Settings,
                                        store_calls &Calls) {
  Settings.OnCallEnd = [&Calls, Before = std::move(Settings.OnCallEnd)](
                           const platform_call_end &End) {
    Calls.take(End);
    if (Before)
      Before(End);
  };
  return Settings;
}

} // namespace marjoramrail::daemons
