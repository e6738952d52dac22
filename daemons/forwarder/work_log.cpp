#include "work_log.h"

namespace marjoramrail::daemons {

/// Callers' packets are late by as much.
static constexpr duration LongTurn = std::chrono::milliseconds(20);
/// An answer later than this is out of the usual also on a slow store.
static constexpr duration SlowCall = std::chrono::milliseconds(500);
static constexpr std::size_t LargeAnswerBytes = 64 * 1024;

static double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

static std::int64_t milliseconds(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

work_log::work_log(event_log &Log, metrics &Metrics)
    : Log(Log), Metrics(Metrics) {
  for (const auto &[What, Name] : WorkKindNames)
    TurnNames[static_cast<std::size_t>(What)] =
        "marjoramrail_turn_seconds_" + std::string(Name);
}

void work_log::take(const work_done &Work) {
  Metrics.observe(TurnNames[static_cast<std::size_t>(Work.What)],
                  seconds(Work.Took));
  if (Work.Took < LongTurn || !Log.wants(event_kind::LongTurn))
    return;
  timeline_event Event;
  Event.What = event_kind::LongTurn;
  Event.Why = std::string(nameOf(WorkKindNames, Work.What)) + " of " +
              std::to_string(Work.Items) + ", processor " +
              std::to_string(Work.Processor.count()) + " us";
  Event.TookMs = milliseconds(Work.Took);
  Log.record(std::move(Event));
}

void work_log::take(const platform_call_end &End) {
  const bool Failed = End.Outcome == platform_outcome::Unavailable ||
                      End.Outcome == platform_outcome::Unknown;
  const bool IsSlow = End.Took >= End.Wait + SlowCall;
  const bool IsLarge = End.Bytes >= LargeAnswerBytes;
  Metrics.observe("marjoramrail_call_bytes", static_cast<double>(End.Bytes));
  if ((!Failed && !IsSlow && !IsLarge) || !Log.wants(event_kind::CallEnded))
    return;
  timeline_event Event;
  Event.What = event_kind::CallEnded;
  Event.Host = toText(End.Server);
  Event.Why = std::string(nameOf(PlatformVerbNames, End.Verb)) + " " +
              End.Key.Kind + " " + End.Key.Name + ": " +
              std::string(nameOf(PlatformOutcomeNames, End.Outcome)) + " " +
              End.Reason;
  Event.Load = static_cast<double>(End.Bytes);
  Event.TookMs = milliseconds(End.Took);
  Log.record(std::move(Event));
}

work_hook work_log::onWork() {
  return [this](const work_done &Work) { take(Work); };
}

std::function<void(const platform_call_end &)> work_log::onCallEnd() {
  return [this](const platform_call_end &End) { take(End); };
}

platform_client_settings watched(platform_client_settings Settings,
                                 work_log &Log) {
  Settings.OnWork = Log.onWork();
  Settings.OnCallEnd = Log.onCallEnd();
  return Settings;
}

} // namespace marjoramrail::daemons
