//===- timeline.h - Event log in causal order -------------------*- C++ -*-===//
///
/// \file
/// Each process logs its decisions as one JSON object per line, with the wall
/// clock and a hybrid logical clock (Kulkarni and others, "Logical Physical
/// Clocks", 2014). The logical clock follows the wall clock, never goes
/// backwards and is advanced by the clock values in received messages. A merge
/// of the logs of all processes therefore places causes before their effects
/// even if wall clocks disagree. Processes that exchange no messages are
/// ordered by the wall clock.
///
/// Usage:
/// \code
///   timeline Line("balancer-1", WallClock, Sink);
///   Line.record({.What = event_kind::FlowRouted, .Service = "ledger",
///                .Flow = toText(Flow), .Host = "ledger-3", .Why = "new"});
///   Message.Clock = Line.clock();    // on sending
///   Line.observeClock(Message.Clock);     // on receiving
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TIMELINE_H
#define MARJORAMRAIL_TIMELINE_H

#include "marjoramrail/base.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramrail {

enum class event_kind {
  ProcessStarted,
  ProcessStopping,
  ViewTaken,
  ViewWritten,
  LeaseTaken,
  LeaseLost,
  WriteFenced,
  TargetJoined,
  TargetDown,
  TargetDraining,
  GenerationAdded,
  GenerationDropped,
  /// The first packet of a flow has reached the agent that accepts it.
  FlowRouted,
  /// The handshake of the flow is complete.
  FlowAccepted,
  FlowHandedOn,
  FlowReset,
  FlowClosed,
  FlowSilent,
  RequestRefused,
  RequestRelayed,
  RequestUnknown,
  DrainDone,
  DrainUndone,
  FaultInjected,
  /// No target accepts the new flow; the caller was informed at once.
  FlowRefused,
  /// The target has lost a flow that it owned.
  FlowLost,
  /// A balancer that does not know the owner of a flow sends a packet to agents
  /// to look up the owner.
  OwnerLookupStarted,
  /// An agent whose target does not own the flow passes the packet to the next
  /// agent.
  OwnerLookupForwarded,
  /// The first bytes of a request have reached the agent of its target.
  RequestSeen,
  /// The target has no slot for the request, so the agent holds it.
  RequestHeld,
  /// The first bytes of the response have been sent: normally, late for this
  /// target, or as a refusal or failure of the target itself.
  RequestAnswered,
  RequestSlow,
  RequestFailed,
  /// An agent no longer acknowledges packets that are sent to it, or
  /// acknowledges them again.
  AgentSuspected,
  AgentRecovered,
  /// The target does not respond to its agent; declines new flows; responds
  /// with failures, or no longer does; its process has ended; it has recovered.
  TargetSilent,
  TargetDeclines,
  TargetFailing,
  TargetGone,
  TargetRecovered,
  /// A report of the target was accepted, or rejected as outdated or malformed.
  ReportTaken,
  ReportRefused,
  /// Saved flows are taken for lost; their callers get a reset.
  FlowsLost,
  /// New flows are now sent to the target, or no longer sent.
  AdmissionChanged,
  StoreLost,
  StoreRecovered,
  RoutesKnown,
  RoutesActivated,
  RoutesRefused,
  /// The newest configuration is held up or has not been confirmed for long; it
  /// is current again.
  RoutesLate,
  RoutesCurrent,
  /// A balancer's write of the record of services has ended.
  RecordWritten,
  /// A configuration came into effect before its services were on record.
  RoutesUnrecorded,
  ObjectRefused,
  CopiedFromPeer,
  /// The set of evacuated zones, as this process knows it, has changed.
  EvacuationsChanged,
  SettingsReloaded,
  /// A call to the store or a peer failed, was slow or returned a large amount
  /// of data.
  CallEnded,
  /// The number of calls to the store since the start, by purpose.
  StoreCalls,
  /// The messages and bytes sent since the start, by kind and zone.
  BytesSent,
  /// One event-loop callback took long; no packet was forwarded meanwhile.
  LongTurn,
  /// The number of log lines dropped by the rate limit since the last event of
  /// this kind.
  LinesDropped,
};

inline constexpr name_table<event_kind, 62> EventKindNames = {{
    {event_kind::ProcessStarted, "process-started"},
    {event_kind::ProcessStopping, "process-stopping"},
    {event_kind::ViewTaken, "view-taken"},
    {event_kind::ViewWritten, "view-written"},
    {event_kind::LeaseTaken, "lease-taken"},
    {event_kind::LeaseLost, "lease-lost"},
    {event_kind::WriteFenced, "write-fenced"},
    {event_kind::TargetJoined, "target-joined"},
    {event_kind::TargetDown, "target-down"},
    {event_kind::TargetDraining, "target-draining"},
    {event_kind::GenerationAdded, "generation-added"},
    {event_kind::GenerationDropped, "generation-dropped"},
    {event_kind::FlowRouted, "flow-routed"},
    {event_kind::FlowAccepted, "flow-accepted"},
    {event_kind::FlowHandedOn, "flow-handed-on"},
    {event_kind::FlowReset, "flow-reset"},
    {event_kind::FlowClosed, "flow-closed"},
    {event_kind::FlowSilent, "flow-silent"},
    {event_kind::RequestRefused, "request-refused"},
    {event_kind::RequestRelayed, "request-relayed"},
    {event_kind::RequestUnknown, "request-unknown"},
    {event_kind::DrainDone, "drain-done"},
    {event_kind::DrainUndone, "drain-undone"},
    {event_kind::FaultInjected, "fault-injected"},
    {event_kind::FlowRefused, "flow-refused"},
    {event_kind::FlowLost, "flow-lost"},
    {event_kind::OwnerLookupStarted, "flow-sought"},
    {event_kind::OwnerLookupForwarded, "flow-passed-on"},
    {event_kind::RequestSeen, "request-seen"},
    {event_kind::RequestHeld, "request-held"},
    {event_kind::RequestAnswered, "request-answered"},
    {event_kind::RequestSlow, "request-slow"},
    {event_kind::RequestFailed, "request-failed"},
    {event_kind::AgentSuspected, "agent-suspected"},
    {event_kind::AgentRecovered, "agent-regained"},
    {event_kind::TargetSilent, "target-silent"},
    {event_kind::TargetDeclines, "target-declines"},
    {event_kind::TargetFailing, "target-failing"},
    {event_kind::TargetGone, "target-gone"},
    {event_kind::TargetRecovered, "target-regained"},
    {event_kind::ReportTaken, "report-taken"},
    {event_kind::ReportRefused, "report-refused"},
    {event_kind::FlowsLost, "flows-lost"},
    {event_kind::AdmissionChanged, "admission-changed"},
    {event_kind::StoreLost, "store-lost"},
    {event_kind::StoreRecovered, "store-regained"},
    {event_kind::RoutesKnown, "routes-known"},
    {event_kind::RoutesActivated, "routes-in-force"},
    {event_kind::RoutesRefused, "routes-refused"},
    {event_kind::RoutesLate, "routes-late"},
    {event_kind::RoutesCurrent, "routes-current"},
    {event_kind::RecordWritten, "record-written"},
    {event_kind::RoutesUnrecorded, "routes-unrecorded"},
    {event_kind::ObjectRefused, "object-refused"},
    {event_kind::CopiedFromPeer, "copied-from-peer"},
    {event_kind::EvacuationsChanged, "evacuations-changed"},
    {event_kind::SettingsReloaded, "settings-reloaded"},
    {event_kind::CallEnded, "call-ended"},
    {event_kind::StoreCalls, "store-calls"},
    {event_kind::BytesSent, "bytes-sent"},
    {event_kind::LongTurn, "long-turn"},
    {event_kind::LinesDropped, "lines-left-out"},
}};

/// The units of log lines and of metrics.
inline std::int64_t inMilliseconds(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}
inline double inSeconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// One logged event; fields that do not apply stay empty.
struct timeline_event {
  event_kind What{};
  std::string Service;
  std::string Flow;
  std::string Host;
  /// The reason, as one short sentence.
  std::string Why;
  /// The request's id, if it could be read.
  std::string Request;
  /// The load or count that the decision was based on, and the age of that
  /// information.
  std::optional<double> Load;
  std::optional<std::int64_t> AgeMs;
  /// The duration of the logged operation.
  std::optional<std::int64_t> TookMs;
  /// Filled in by record(): the wall clock in milliseconds since 1970, the
  /// hybrid logical clock in microseconds since 1970 or later, the name of the
  /// process.
  std::int64_t WallMs = 0;
  std::uint64_t Clock = 0;
  std::string Process;

  bool operator==(const timeline_event &) const = default;
};

std::string toJsonLine(const timeline_event &Event);
result<timeline_event> parseJsonLine(std::string_view Line);

/// Limits the rate of logged events per kind. Otherwise a burst of refusals or
/// a SYN flood would make logging the most expensive work of a process that has
/// a twentieth of a core. Failures and state changes have their own limits, so
/// that a flood of successful events cannot displace them.
class event_budget {
public:
  /// Rate and burst per kind for the events of healthy flows. At about 20 us a
  /// line a flood costs 0.06% of a core.
  static constexpr double CommonPerSecond = 30;
  static constexpr double CommonBurst = 60;
  /// Rate and burst per kind for all other events.
  static constexpr double RarePerSecond = 50;
  static constexpr double RareBurst = 200;

  /// Whether an event of \p Kind may be logged now.
  bool take(event_kind Kind, instant Now);
  /// The number of events of \p Kind dropped since the last call that returned
  /// more than 0. Returns more than 0 at most once a second: one line for each
  /// gap would double the log just when its rate is limited.
  std::uint64_t takeDroppedCount(event_kind Kind, instant Now);

private:
  struct kind_state {
    std::optional<token_bucket> Lines;
    std::uint64_t Dropped = 0;
    instant LastReportedAt;
  };

  std::array<kind_state, EventKindNames.size()> Kinds{};
};

/// The event log of one process. Keeps the last events for the status page.
class timeline {
public:
  using wall_clock = std::function<std::int64_t()>;
  using sink = std::function<void(const std::string &Line)>;

  static constexpr std::size_t DefaultMaxEvents = 4096;

  timeline(std::string Process, wall_clock WallMs, sink Sink,
           std::size_t MaxEvents = timeline::DefaultMaxEvents);

  void record(timeline_event Event);
  std::uint64_t clock() const { return Clock; }
  /// Advances the clock to that of a received message. A value more than an
  /// hour ahead of the wall clock is ignored: otherwise one corrupted message
  /// would move the events of the whole fleet far into the future.
  void observeClock(std::uint64_t Received);

  /// The last events as JSON lines, served at /timeline.
  std::string recent() const;

private:
  std::string Process;
  wall_clock WallMs;
  sink Sink;
  std::size_t Limit;
  std::uint64_t Clock = 0;
  std::deque<std::string> Lines;
};

/// Merges the events of several processes, ordered by logical clock, then by
/// wall clock.
std::vector<timeline_event> merge(std::vector<timeline_event> Events);

} // namespace marjoramrail

#endif // MARJORAMRAIL_TIMELINE_H
