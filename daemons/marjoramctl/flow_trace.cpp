#include "flow_trace.h"
#include "printing.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace marjoramrail::ctl {

static bool matches(const std::string &Wanted, const std::string &Value) {
  return Wanted.empty() || Wanted == Value;
}

/// A host matches both as the process that recorded an event and as the host
/// that the event is about.
bool event_filter::passes(const timeline_event &Event) const {
  return matches(Service, Event.Service) && matches(Flow, Event.Flow) &&
         (matches(Host, Event.Host) || Host == Event.Process);
}

std::string toText(const timeline_event &Event) {
  std::string Line = wallText(Event.WallMs) + " " + Event.Process + " " +
                     std::string(nameOf(EventKindNames, Event.What));
  for (const std::string &Part : {Event.Service, Event.Host, Event.Flow})
    if (!Part.empty())
      Line.append(" ").append(Part);
  if (!Event.Request.empty())
    Line += " request " + Event.Request;
  if (!Event.Why.empty())
    Line += ": " + Event.Why;
  std::ostringstream Figures;
  if (Event.Load)
    Figures << " load " << *Event.Load;
  if (Event.TookMs)
    Figures << " took " << *Event.TookMs << " ms";
  if (Event.AgeMs)
    Figures << (Event.TookMs ? ", usually " : " known ") << *Event.AgeMs
            << (Event.TookMs ? " ms" : " ms ago");
  return Line + Figures.str();
}

/// Whether an event of a process or of its target can explain what happened to
/// its flows.
static bool isProcessEvent(event_kind What) {
  switch (What) {
  case event_kind::ProcessStarted:
  case event_kind::ProcessStopping:
  case event_kind::TargetSilent:
  case event_kind::TargetDeclines:
  case event_kind::TargetFailing:
  case event_kind::TargetGone:
  case event_kind::TargetRecovered:
  case event_kind::AdmissionChanged:
  case event_kind::ReportTaken:
  case event_kind::StoreLost:
  case event_kind::RoutesActivated:
    return true;
  default:
    return false;
  }
}

/// Events of a flow's processes this long before the flow's first event and
/// after its last one are part of its trace. A restart, for example, is logged
/// seconds after the flow's last event.
static constexpr std::int64_t ContextMs = 4000;

/// Whether an event changes to which targets flows of a service are routed.
static bool changesRouting(event_kind What) {
  switch (What) {
  case event_kind::ViewTaken:
  case event_kind::ViewWritten:
  case event_kind::LeaseTaken:
  case event_kind::LeaseLost:
  case event_kind::WriteFenced:
  case event_kind::TargetJoined:
  case event_kind::TargetDown:
  case event_kind::TargetDraining:
  case event_kind::GenerationAdded:
  case event_kind::GenerationDropped:
  case event_kind::DrainDone:
  case event_kind::FaultInjected:
    return true;
  default:
    return false;
  }
}

namespace {

/// A summary of the flow's own events.
struct flow_summary {
  std::string Service;
  std::string Owner;
  std::string RoutingReason;
  int PassedOn = 0;
  int Relayed = 0;
  int Refused = 0;
  int Unknown = 0;
  std::string End = "none recorded, the flow may still be open";

  void take(const timeline_event &Event);
  std::string text(const std::string &Flow) const;
};

} // namespace

void flow_summary::take(const timeline_event &Event) {
  if (Service.empty())
    Service = Event.Service;
  const std::string Why = Event.Why.empty() ? "" : " (" + Event.Why + ")";
  switch (Event.What) {
  case event_kind::FlowRouted:
    RoutingReason = Event.Why;
    break;
  case event_kind::FlowAccepted:
    Owner = Event.Host.empty() ? Event.Process : Event.Host;
    break;
  case event_kind::FlowHandedOn:
    ++PassedOn;
    break;
  case event_kind::RequestRelayed:
    ++Relayed;
    break;
  case event_kind::RequestRefused:
    ++Refused;
    break;
  case event_kind::RequestUnknown:
    ++Unknown;
    break;
  case event_kind::RequestSeen:
    // Only the agent of the flow's own target sees its requests.
    Owner = Event.Process;
    break;
  case event_kind::FlowLost:
    End = "lost by its target" + Why;
    break;
  case event_kind::FlowRefused:
    End = "refused by " + Event.Process + Why;
    break;
  case event_kind::RequestFailed:
    End = "a request failed at its target" + Why;
    break;
  case event_kind::FlowReset:
    End = "reset by " + Event.Process + Why;
    break;
  case event_kind::FlowClosed:
    End = "closed" + Why;
    break;
  case event_kind::FlowSilent:
    End = "closed because it was unresponsive" + Why;
    break;
  default:
    break;
  }
}

std::string flow_summary::text(const std::string &Flow) const {
  return "flow " + Flow + " of " + Service + ": " +
         (Owner.empty() ? "no owner recorded" : "owner " + Owner) +
         (RoutingReason.empty() ? "" : ", routed " + RoutingReason) +
         ", handed on " + std::to_string(PassedOn) + " times, requests " +
         std::to_string(Relayed) + " relayed, " + std::to_string(Refused) +
         " refused, " + std::to_string(Unknown) + " unknown; end: " + End;
}

std::vector<std::string> explainFlow(const std::vector<timeline_event> &Events,
                                     const std::string &Flow) {
  const auto IsOwn = [&](const timeline_event &Event) {
    return Event.Flow == Flow;
  };
  const auto First = std::find_if(Events.begin(), Events.end(), IsOwn);
  if (First == Events.end())
    return {};
  const auto End = std::find_if(Events.rbegin(), Events.rend(), IsOwn).base();
  flow_summary Summary;
  for (auto It = First; It != End; ++It)
    if (IsOwn(*It))
      Summary.take(*It);
  std::vector<std::string> Lines = {Summary.text(Flow)};
  // The last change before the flow's first event determined its routing.
  const auto Routes = [&](const timeline_event &Event) {
    return changesRouting(Event.What) &&
           (Event.Service.empty() || Event.Service == Summary.Service);
  };
  const auto Cause = std::find_if(
      std::make_reverse_iterator(First), Events.rend(), [&](const auto &Event) {
        return Routes(Event) && Event.Service == Summary.Service;
      });
  if (Cause != Events.rend())
    Lines.push_back("  before  " + toText(*Cause));
  std::set<std::string> Processes;
  for (auto It = First; It != End; ++It)
    if (IsOwn(*It))
      Processes.insert(It->Process);
  const std::int64_t From = First->WallMs - ContextMs;
  const std::int64_t To = std::prev(End)->WallMs + ContextMs;
  for (auto It = Events.begin(); It != Events.end(); ++It) {
    const bool IsWithin = It >= First && It < End;
    const bool IsInContext = It->WallMs >= From && It->WallMs <= To;
    if (IsOwn(*It))
      Lines.push_back("  flow    " + toText(*It));
    else if (IsWithin && Routes(*It))
      Lines.push_back("  change  " + toText(*It));
    else if (IsInContext && Processes.contains(It->Process) &&
             isProcessEvent(It->What))
      Lines.push_back("  process " + toText(*It));
  }
  return Lines;
}

std::optional<std::string>
flowOfRequest(const std::vector<timeline_event> &Events,
              const std::string &Request) {
  for (const timeline_event &Event : Events)
    if (Event.Request == Request && !Event.Flow.empty())
      return Event.Flow;
  return std::nullopt;
}

} // namespace marjoramrail::ctl
