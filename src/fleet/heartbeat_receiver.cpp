#include "fleet/heartbeat_receiver.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// Pings to a host without heartbeats before it is reported: one lost datagram
/// must not be enough.
constexpr int PingsBeforeReport = 3;
constexpr duration PingInterval = std::chrono::milliseconds(400);
/// Reports are repeated at this interval until the view agrees.
constexpr duration ReportInterval = std::chrono::seconds(1);
constexpr duration NeedsInterval = std::chrono::seconds(5);
/// Between two pushes of a view to one agent that has not applied it yet.
constexpr duration PushInterval = std::chrono::milliseconds(900);
/// An agent needs an occasional answer to know that its heartbeats arrive.
constexpr duration AnswerInterval = std::chrono::milliseconds(2500);
constexpr duration RandomProbeInterval = std::chrono::seconds(2);
/// With fewer hosts than this, missing heartbeats do not show that this node's
/// own link has failed.
constexpr std::size_t MinHostsForLinkCheck = 3;

std::string keyOf(const std::string &Service, const std::string &Host) {
  return Service + "/" + Host;
}

/// The position of the host's entry in the view, if any.
std::optional<std::size_t> placeOf(const membership *Members,
                                   const std::string &Host) {
  if (Members == nullptr)
    return std::nullopt;
  for (std::size_t I = 0; I < Members->Info.size(); ++I)
    if (Members->Info[I].Host == Host)
      return I;
  return std::nullopt;
}

} // namespace

heartbeat_receiver::heartbeat_receiver(timer_service &Timers,
                                       const view_store &Views,
                                       duration HeartbeatTimeout, endpoint Self,
                                       std::uint64_t Seed, hooks Hooks)
    : Timers(Timers), Views(Views), HeartbeatTimeout(HeartbeatTimeout),
      Self(Self), Random(Seed), Hooks(std::move(Hooks)) {}

void heartbeat_receiver::take(const endpoint &From,
                              const host_heartbeat &Heartbeat) {
  const auto Assigned = Hooks.Assigned(Heartbeat.Host);
  const std::string Key = keyOf(Heartbeat.Service, Heartbeat.Host);
  const auto Found = Hosts.find(Key);
  const bool WasProbeRequested =
      Found != Hosts.end() && Found->second.ProbeRequested;
  if (Found != Hosts.end() &&
      Found->second.Last.Incarnation > Heartbeat.Incarnation)
    return showView(From, Heartbeat);
  host &Host = Hosts[Key];
  Host.Last = Heartbeat;
  Host.From = From;
  Host.ReceivedAt = Timers.now();
  Host.Pings = 0;
  Host.ProbeRequested = false;
  Host.ProbeOnly = false;
  // The heartbeat shows which version the agent has applied; a view that was
  // pushed since may be lost, so the next push starts from the reported
  // version.
  Host.PushedVersion = 0;
  Host.Primary = !Assigned.empty() && Assigned.front() == Self;
  answer(Host, Assigned);
  if (WasProbeRequested)
    Hooks.Report(report_kind::Differs, Heartbeat);
  report(Host);
  const membership *Members = Views.find(Heartbeat.Service);
  if (Members != nullptr &&
      Heartbeat.Report.ViewVersion < Members->View.Version)
    push(Host, *Members);
  const bool Ours =
      std::find(Assigned.begin(), Assigned.end(), Self) != Assigned.end();
  // The host now sends its heartbeats to other balancers; missing ones here do
  // not indicate a failure.
  if (!Ours)
    Hosts.erase(Key);
}

/// An agent with a lower incarnation than a known one either sent its heartbeat
/// long ago or was restarted after a step back of its clock. The view names the
/// higher incarnation, and an agent that is running continues above it.
void heartbeat_receiver::showView(const endpoint &To,
                                  const host_heartbeat &Heartbeat) {
  const membership *Members = Views.find(Heartbeat.Service);
  if (Members != nullptr &&
      Heartbeat.Report.ViewVersion < Members->View.Version)
    Hooks.Send(To, view_full{*Members});
}

void heartbeat_receiver::answer(host &Host,
                                const std::vector<endpoint> &Assigned) {
  assignment Answer;
  if (hashOfEndpoints(Assigned) != Host.Last.AssignedHash)
    Answer.Balancers = Assigned;
  else if (Host.AnsweredAt &&
           Timers.now() - *Host.AnsweredAt <
               (Host.Primary ? 1 : PeriodsPerSecondary) * AnswerInterval)
    return;
  Host.AnsweredAt = Timers.now();
  Hooks.Send(Host.From, Answer);
}

duration heartbeat_receiver::timeoutFor(const host &Host) const {
  return Host.Primary ? HeartbeatTimeout
                      : PeriodsPerSecondary * HeartbeatTimeout;
}

bool heartbeat_receiver::differs(const host_heartbeat &Heartbeat,
                                 const membership *Members) const {
  const auto Place = placeOf(Members, Heartbeat.Host);
  if (!Place)
    return true;
  const target &Target = Members->View.Targets[*Place];
  if (Heartbeat.Incarnation != Target.Incarnation)
    return Heartbeat.Incarnation > Target.Incarnation;
  return Target.State != target_state::Down &&
         Heartbeat.Report.Draining != Members->Info[*Place].DrainRequested;
}

void heartbeat_receiver::report(host &Host) {
  const instant Now = Timers.now();
  const membership *Members = Views.find(Host.Last.Service);
  if (differs(Host.Last, Members) &&
      Now - Host.ReportedAt >= ReportInterval / 2) {
    Host.ReportedAt = Now;
    Hooks.Report(report_kind::Differs, Host.Last);
  }
  if (Members == nullptr || Members->View.Generations.size() < 2)
    return;
  const std::uint64_t Needs = Host.Last.Report.OldestGeneration;
  const bool New = Host.NeedsReported != Needs;
  if (Needs == 0 || (!New && Now - Host.NeedsAt < NeedsInterval))
    return;
  Host.NeedsReported = Needs;
  Host.NeedsAt = Now;
  Hooks.Report(report_kind::Needs, Host.Last);
}

void heartbeat_receiver::push(host &Host, const membership &Members) {
  if (Timers.now() - Host.PushedAt < PushInterval && Host.PushedAt != instant())
    return;
  const std::uint64_t Base =
      std::max(Host.PushedVersion, Host.Last.Report.ViewVersion);
  const view_delta *Delta = Views.deltaFrom(Members.View.Name, Base);
  const bool Sent = Delta != nullptr
                        ? Hooks.Send(Host.From, *Delta)
                        : Hooks.Send(Host.From, view_full{Members});
  if (!Sent)
    return;
  Host.PushedAt = Timers.now();
  Host.PushedVersion = Members.View.Version;
}

void heartbeat_receiver::viewTaken(const membership &Members) {
  for (auto &[Key, Host] : Hosts) {
    if (Host.Last.Service != Members.View.Name || Host.ProbeOnly)
      continue;
    Host.PushedAt = instant();
    // Non-primary balancers wait for the next heartbeat, which shows whether
    // the push by the primary arrived.
    if (Host.Primary)
      push(Host, Members);
  }
}

void heartbeat_receiver::probe(const probe_request &Request) {
  const std::string Key = keyOf(Request.Service, Request.Host);
  const auto Found = Hosts.find(Key);
  if (Found != Hosts.end() && !Found->second.ProbeOnly &&
      Timers.now() - Found->second.ReceivedAt < HeartbeatTimeout / 2) {
    Hooks.Report(report_kind::Differs, Found->second.Last);
    return;
  }
  if (Found != Hosts.end()) {
    // The host is pinged now, not when its own timeout is reached.
    Found->second.ReceivedAt = std::min(
        Found->second.ReceivedAt, Timers.now() - timeoutFor(Found->second));
    Found->second.ProbeRequested = true;
    return;
  }
  host Host;
  Host.Last.Service = Request.Service;
  Host.Last.Host = Request.Host;
  Host.Last.Agent = Request.Agent;
  Host.Last.Incarnation = Request.Incarnation;
  Host.From = Request.Agent;
  Host.ReceivedAt = Timers.now() - timeoutFor(Host);
  Host.ProbeRequested = true;
  Host.ProbeOnly = true;
  Hosts[Key] = Host;
}

bool heartbeat_receiver::isInView(const host &Host) const {
  const membership *Members = Views.find(Host.Last.Service);
  const auto Place = placeOf(Members, Host.Last.Host);
  if (!Place)
    return false;
  const target &Target = Members->View.Targets[*Place];
  return Target.State != target_state::Down &&
         Target.Incarnation <= Host.Last.Incarnation;
}

bool heartbeat_receiver::areMostUnresponsive() const {
  std::size_t NotResponding = 0;
  for (const auto &[Key, Host] : Hosts)
    NotResponding += Timers.now() - Host.ReceivedAt >= timeoutFor(Host) ? 1 : 0;
  return Hosts.size() >= MinHostsForLinkCheck &&
         NotResponding * 2 > Hosts.size();
}

bool heartbeat_receiver::checkTimeout(host &Host, bool Trusted) {
  const instant Now = Timers.now();
  if (Now - Host.ReceivedAt < timeoutFor(Host))
    return true;
  if (!isInView(Host))
    return false;
  if (Host.Pings < PingsBeforeReport) {
    if (Host.Pings == 0 || Now - Host.PingedAt >= PingInterval) {
      ++Host.Pings;
      Host.PingedAt = Now;
      Hooks.Send(Host.From, host_ping());
    }
    return true;
  }
  if (Now - Host.PingedAt < PingInterval)
    return true;
  if (Trusted && Now - Host.ReportedAt >= ReportInterval) {
    Host.ReportedAt = Now;
    Hooks.Report(report_kind::NotResponding, Host.Last);
  }
  return !Host.ProbeOnly;
}

void heartbeat_receiver::tick() {
  const bool Trusted = !areMostUnresponsive() || Hooks.PeersAnswer();
  for (auto At = Hosts.begin(); At != Hosts.end();)
    At = checkTimeout(At->second, Trusted) ? std::next(At) : Hosts.erase(At);
  probeRandomTarget();
}

void heartbeat_receiver::probeRandomTarget() {
  if (Timers.now() - RandomProbeAt < RandomProbeInterval || Views.size() == 0)
    return;
  RandomProbeAt = Timers.now();
  auto View = Views.all().begin();
  std::advance(View, static_cast<std::ptrdiff_t>(Random() % Views.size()));
  const membership &Members = View->second;
  if (Members.Info.empty())
    return;
  const std::size_t Place = Random() % Members.Info.size();
  const target &Target = Members.View.Targets[Place];
  const std::string Key = keyOf(View->first, Members.Info[Place].Host);
  if (Target.State == target_state::Down || Hosts.contains(Key))
    return;
  probe({View->first, Members.Info[Place].Host, Target.Agent,
         Target.Incarnation});
}

} // namespace marjoramrail::internal
