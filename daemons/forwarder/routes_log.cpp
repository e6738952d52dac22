#include "routes_log.h"

namespace marjoramrail::daemons {

void routes_log::observe(const routes_progress &Progress) {
  if (!Progress.ActiveAt) {
    Metrics.observe("marjoramrail_routes_seconds_copy",
                    inSeconds(Progress.ArrivedAt - Progress.FirstKnownAt));
    Metrics.observe("marjoramrail_routes_seconds_read",
                    inSeconds(Progress.KnownAt - Progress.ArrivedAt));
    return;
  }
  Metrics.observe("marjoramrail_routes_seconds_settle",
                  inSeconds(*Progress.ActiveAt - Progress.KnownAt));
  Metrics.observe("marjoramrail_routes_seconds_total",
                  inSeconds(*Progress.ActiveAt - Progress.FirstKnownAt));
}

void routes_log::take(event_kind What, const routes_progress &Progress) {
  observe(Progress);
  if (!Log.wants(What))
    return;
  const instant Now = Progress.ActiveAt.value_or(Progress.KnownAt);
  const instant Before =
      Progress.ActiveAt ? Progress.KnownAt : Progress.ArrivedAt;
  timeline_event Event;
  Event.What = What;
  Event.Why = "version " + std::to_string(Progress.Version) + " from " +
              Progress.Source;
  Event.AgeMs = inMilliseconds(Now - Progress.FirstKnownAt);
  Event.TookMs = inMilliseconds(Now - Before);
  Log.record(std::move(Event));
}

} // namespace marjoramrail::daemons
