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

#include <cstdint>
#include <deque>
#include <functional>
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
};

inline constexpr name_table<event_kind, 24> EventKindNames = {{
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
}};

/// One event; fields that do not apply stay empty.
struct timeline_event {
  event_kind What{};
  std::string Service;
  std::string Flow;
  std::string Host;
  /// One short sentence.
  std::string Why;
  /// Filled in by record(): milliseconds since 1970, hybrid logical clock in
  /// microseconds since 1970 or later, process.
  std::int64_t WallMs = 0;
  std::uint64_t Clock = 0;
  std::string Process;

  bool operator==(const timeline_event &) const = default;
};

std::string toJsonLine(const timeline_event &Event);
result<timeline_event> parseJsonLine(std::string_view Line);

/// The recorder of one process. Keeps the last events for the status page.
class timeline {
public:
  using wall_clock = std::function<std::int64_t()>;
  using sink = std::function<void(const std::string &Line)>;

  static constexpr std::size_t Kept = 4096;

  timeline(std::string Process, wall_clock WallMs, sink Sink);

  void record(timeline_event Event);
  std::uint64_t clock() const { return Clock; }
  /// Takes in the clock of a received message, unless it is more than an hour
  /// ahead of the wall clock: one corrupted message would otherwise put the
  /// events of the whole fleet in a far future.
  void witness(std::uint64_t Received);

  /// The last events as JSON lines, for the page /timeline.
  std::string recent() const;

private:
  std::string Process;
  wall_clock WallMs;
  sink Sink;
  std::uint64_t Clock = 0;
  std::deque<std::string> Lines;
};

/// Merges the events of several processes: by logical clock, then wall clock.
std::vector<timeline_event> merge(std::vector<timeline_event> Events);

} // namespace marjoramrail

#endif // MARJORAMRAIL_TIMELINE_H
