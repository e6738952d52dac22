#include "callback_log.h"

namespace marjoramrail::daemons {

/// A callback that takes this long is logged, because callers' packets are
/// delayed by as much.
static constexpr duration LongCallback = std::chrono::milliseconds(20);
/// An answer later than this is unusual even for a slow store.
static constexpr duration SlowCall = std::chrono::milliseconds(500);
static constexpr std::size_t LargeAnswerBytes = 64 * 1024;

callback_log::callback_log(event_log &Log, metrics &Metrics)
    : Log(Log), Metrics(Metrics) {
  for (const auto &[What, Name] : CallbackKindNames)
    HistogramNames[static_cast<std::size_t>(What)] =
        "marjoramrail_turn_seconds_" + std::string(Name);
}

void callback_log::take(const callback_timing &Timing) {
  Metrics.observe(HistogramNames[static_cast<std::size_t>(Timing.What)],
                  inSeconds(Timing.Took));
  if (Timing.Took < LongCallback || !Log.wants(event_kind::LongTurn))
    return;
  timeline_event Event;
  Event.What = event_kind::LongTurn;
  Event.Why = std::string(nameOf(CallbackKindNames, Timing.What)) + " of " +
              std::to_string(Timing.Items) + ", processor " +
              std::to_string(Timing.Processor.count()) + " us";
  Event.TookMs = inMilliseconds(Timing.Took);
  Log.record(std::move(Event));
}

void callback_log::take(const platform_call_end &End) {
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
  Event.TookMs = inMilliseconds(End.Took);
  Log.record(std::move(Event));
}

callback_hook callback_log::onCallback() {
  return [this](const callback_timing &Timing) { take(Timing); };
}

std::function<void(const platform_call_end &)> callback_log::onCallEnd() {
  return [this](const platform_call_end &End) { take(End); };
}

platform_client_settings withCallbackLog(platform_client_settings Settings,
                                         callback_log &Log) {
  Settings.OnCallback = Log.onCallback();
  Settings.OnCallEnd = Log.onCallEnd();
  return Settings;
}

} // namespace marjoramrail::daemons
