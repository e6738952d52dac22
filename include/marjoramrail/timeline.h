//===- timeline.h - Events of all processes in causal order -----*- C++ -*-===//
///
/// \file
/// Each process records what it decided as one JSON object per line, with the
/// wall clock and a hybrid logical clock (Kulkarni and others, "Logical
/// Physical Clocks", 2014): it follows the wall clock, never goes back, and a
/// message that carries it pushes it on. A merge over all processes so puts
/// causes before their effects even where wall clocks disagree, and falls back
/// to the wall clock between processes that exchange no messages.
///
/// Usage:
/// \code
///   timeline Line("balancer-1", WallClock, Sink);
///   Line.record({.What = event_kind::FlowRouted, .Service = "ledger",
///                .Flow = toText(Flow), .Host = "ledger-3", .Why = "new"});
///   Message.Clock = Line.clock();    // on sending
///   Line.witness(Message.Clock);     // on receiving
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
  /// A flow's first packet has reached the agent that takes it.
  FlowRouted,
  /// Its handshake is done.
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
  /// No target takes the new flow; its caller was told at once.
  FlowRefused,
  /// The target does not hold a flow any more that it held.
  FlowLost,
  /// A balancer that does not know who holds a flow sends a packet to look.
  OwnerLookupStarted,
  /// An agent whose target does not hold the flow gives a packet on.
  OwnerLookupForwarded,
  /// The first bytes of a request have reached the agent of its target.
  RequestSeen,
  /// The first bytes of its answer have left: plainly, late for this target, or
  /// with the target's own refusal or failure.
  RequestAnswered,
  RequestSlow,
  RequestFailed,
  /// An agent does not confirm what is sent to it, or does again.
  AgentSuspected,
  AgentRecovered,
  /// The target does not answer its agent; takes no new flows; answers with
  /// failures, or not any more; its process is gone; it is back.
  TargetSilent,
  TargetDeclines,
  TargetFailing,
  TargetGone,
  TargetRecovered,
  /// The target's own word on itself was taken, or was late or malformed.
  ReportTaken,
  ReportRefused,
  /// New flows are given to the target from now on, or not any more.
  AdmissionChanged,
  StoreLost,
  StoreRecovered,
  RoutesKnown,
  RoutesActivated,
  RoutesRefused,
  ObjectRefused,
  CopiedFromPeer,
  SettingsReloaded,
  /// A call to the store or a peer failed, was slow or brought much.
  CallEnded,
  /// Calls to the store since the start, by purpose.
  StoreCalls,
  /// One turn of the loop took long; no packet was forwarded meanwhile.
  LongTurn,
  /// Lines that the log's budget has left out since the last one of this kind.
  LinesDropped,
};

inline constexpr name_table<event_kind, 54> EventKindNames = {{
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
    {event_kind::AdmissionChanged, "admission-changed"},
    {event_kind::StoreLost, "store-lost"},
    {event_kind::StoreRecovered, "store-regained"},
    {event_kind::RoutesKnown, "routes-known"},
    {event_kind::RoutesActivated, "routes-in-force"},
    {event_kind::RoutesRefused, "routes-refused"},
    {event_kind::ObjectRefused, "object-refused"},
    {event_kind::CopiedFromPeer, "copied-from-peer"},
    {event_kind::SettingsReloaded, "settings-reloaded"},
    {event_kind::CallEnded, "call-ended"},
    {event_kind::StoreCalls, "store-calls"},
    {event_kind::LongTurn, "long-turn"},
    {event_kind::LinesDropped, "lines-left-out"},
}};

/// One event; fields that do not apply stay empty.
struct timeline_event {
  event_kind What{};
  std::string Service;
  std::string Flow;
  std::string Host;
  /// One short sentence.
  std::string Why;
  /// The request's own id, where it can be read.
  std::string Request;
  /// What decided it: a load or a count, and the age of what was known.
  std::optional<double> Load;
  std::optional<std::int64_t> AgeMs;
  /// How long it took.
  std::optional<std::int64_t> TookMs;
  /// Filled in by record(): milliseconds since 1970, hybrid logical clock in
  /// microseconds since 1970 or later, process.
  std::int64_t WallMs = 0;
  std::uint64_t Clock = 0;
  std::string Process;

  bool operator==(const timeline_event &) const = default;
};

std::string toJsonLine(const timeline_event &Event);
result<timeline_event> parseJsonLine(std::string_view Line);

/// Bounds how many events of each kind are recorded. A burst of refusals or a
/// storm of SYNs would otherwise make the log the heaviest work of a process
/// that has a twentieth of a core. Kinds that tell of failures and of changes
/// have room of their own, so that a flood of successes cannot push them out.
class event_budget {
public:
  /// Lines of one kind a second, and at once, for the events of healthy flows.
  /// At about 20 us a line a flood costs 0.06% of a core.
  static constexpr double CommonPerSecond = 30;
  static constexpr double CommonBurst = 60;
  /// The same for everything else.
  static constexpr double RarePerSecond = 50;
  static constexpr double RareBurst = 200;

  /// Whether an event of \p Kind may be recorded now.
  bool take(event_kind Kind, instant Now);
  /// Events of \p Kind refused since this last gave a number above 0, which it
  /// does once a second at most: a line for each gap would double the log just
  /// when it is bounded.
  std::uint64_t leftOut(event_kind Kind, instant Now);

private:
  struct kind_state {
    std::optional<token_bucket> Lines;
    std::uint64_t LeftOut = 0;
    instant LastReportedAt;
  };

  std::array<kind_state, EventKindNames.size()> Kinds{};
};

/// The recorder of one process. Keeps the last events for the status page.
class timeline {
public:
  using wall_clock = std::function<std::int64_t()>;
  using sink = std::function<void(const std::string &Line)>;

  static constexpr std::size_t DefaultMaxEvents = 4096;

  timeline(std::string Process, wall_clock WallMs, sink Sink,
           std::size_t MaxEvents = timeline::DefaultMaxEvents);

  void record(timeline_event Event);
  std::uint64_t clock() const { return Clock; }
  /// Takes in the clock of a received message, unless it is more than an hour
  /// ahead of the wall clock: one corrupted message would otherwise put the
  /// events of the whole fleet in a far future.
  void observeClock(std::uint64_t Received);

  /// The last events as JSON lines, for the page /timeline.
  std::string recent() const;

private:
  std::string Process;
  wall_clock WallMs;
  sink Sink;
  std::size_t Limit;
  std::uint64_t Clock = 0;
  std::deque<std::string> Lines;
};

/// Merges the events of several processes: by logical clock, then wall clock.
std::vector<timeline_event> merge(std::vector<timeline_event> Events);

} // namespace marjoramrail

#endif // MARJORAMRAIL_TIMELINE_H
