#include "fleet/hearing.h"

#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// A silent host is asked this often before it counts as silent: one lost
/// datagram must not do it.
constexpr int PingsBeforeSilent = 3;
constexpr duration PingPause = std::chrono::milliseconds(400);
/// Reports are repeated this often until the view agrees.
constexpr duration ReportPause = std::chrono::seconds(1);
constexpr duration NeedsPause = std::chrono::seconds(5);
/// Between two pushes of a view to one agent that has not got it yet.
constexpr duration PushPause = std::chrono::milliseconds(900);
/// An agent needs an answer now and then, to know that it is heard.
constexpr duration AnswerPause = std::chrono::milliseconds(2500);
constexpr duration RandomAskPause = std::chrono::seconds(2);
/// Fewer hosts than this say nothing about the node's own link.
constexpr std::size_t EnoughToDoubt = 3;

std::string keyOf(const std::string &Service, const std::string &Host) {
  return Service + "/" + Host;
}

/// The host's entry in the view, if any.
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

hearing::hearing(timer_service &Timers, const view_store &Views,
                 duration SilenceBound, endpoint Self, std::uint64_t Seed,
                 hooks Hooks)
    : Timers(Timers), Views(Views), SilenceBound(SilenceBound), Self(Self),
      Random(Seed), Hooks(std::move(Hooks)) {}

void hearing::announced(const endpoint &From,
                        const announcement &Announcement) {
  const auto Assigned = Hooks.Assigned(Announcement.Host);
  const std::string Key = keyOf(Announcement.Service, Announcement.Host);
  const auto Found = Hosts.find(Key);
  const bool WasAsked = Found != Hosts.end() && Found->second.Asked;
  if (Found != Hosts.end() &&
      Found->second.Last.Incarnation > Announcement.Incarnation)
    return;
  host &Host = Hosts[Key];
  Host.Last = Announcement;
  Host.From = From;
  Host.HeardAt = Timers.now();
  Host.Pings = 0;
  Host.Asked = false;
  Host.Stranger = false;
  // What was pushed and is not in force got lost: the next push is whole.
  Host.PushedVersion = 0;
  Host.Primary = !Assigned.empty() && Assigned.front() == Self;
  answer(Host, Assigned);
  if (WasAsked)
    Hooks.Report(report_kind::Differs, Announcement);
  report(Host);
  const membership *Members = Views.find(Announcement.Service);
  if (Members != nullptr &&
      Announcement.Report.ViewVersion < Members->View.Version)
    push(Host, *Members);
  const bool Ours =
      std::find(Assigned.begin(), Assigned.end(), Self) != Assigned.end();
  // Others hear it from now on; its silence here will mean nothing.
  if (!Ours)
    Hosts.erase(Key);
}

void hearing::answer(host &Host, const std::vector<endpoint> &Assigned) {
  assignment Answer;
  if (hashOfEndpoints(Assigned) != Host.Last.AssignedHash)
    Answer.Balancers = Assigned;
  else if (Host.AnsweredAt &&
           Timers.now() - *Host.AnsweredAt <
               (Host.Primary ? 1 : PeriodsPerSecondary) * AnswerPause)
    return;
  Host.AnsweredAt = Timers.now();
  Hooks.Send(Host.From, Answer);
}

duration hearing::boundFor(const host &Host) const {
  return Host.Primary ? SilenceBound : PeriodsPerSecondary * SilenceBound;
}

bool hearing::differs(const announcement &Heard,
                      const membership *Members) const {
  const auto Place = placeOf(Members, Heard.Host);
  if (!Place)
    return true;
  const target &Target = Members->View.Targets[*Place];
  if (Heard.Incarnation != Target.Incarnation)
    return Heard.Incarnation > Target.Incarnation;
  return Target.State != target_state::Down &&
         Heard.Report.Draining != Members->Info[*Place].DrainWish;
}

void hearing::report(host &Host) {
  const instant Now = Timers.now();
  const membership *Members = Views.find(Host.Last.Service);
  if (differs(Host.Last, Members) && Now - Host.ReportedAt >= ReportPause / 2) {
    Host.ReportedAt = Now;
    Hooks.Report(report_kind::Differs, Host.Last);
  }
  if (Members == nullptr || Members->View.Generations.size() < 2)
    return;
  const std::uint64_t Needs = Host.Last.Report.OldestGeneration;
  const bool New = Host.NeedsReported != Needs;
  if (Needs == 0 || (!New && Now - Host.NeedsAt < NeedsPause))
    return;
  Host.NeedsReported = Needs;
  Host.NeedsAt = Now;
  Hooks.Report(report_kind::Needs, Host.Last);
}

void hearing::push(host &Host, const membership &Members) {
  if (Timers.now() - Host.PushedAt < PushPause && Host.PushedAt != instant())
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

void hearing::viewTaken(const membership &Members) {
  for (auto &[Key, Host] : Hosts) {
    if (Host.Last.Service != Members.View.Name || Host.Stranger)
      continue;
    Host.PushedAt = instant();
    // The others wait for the next announcement, which says whether the push
    // of the first one came through.
    if (Host.Primary)
      push(Host, Members);
  }
}

void hearing::probe(const probe_request &Request) {
  const std::string Key = keyOf(Request.Service, Request.Host);
  const auto Found = Hosts.find(Key);
  if (Found != Hosts.end() && !Found->second.Stranger &&
      Timers.now() - Found->second.HeardAt < SilenceBound / 2) {
    Hooks.Report(report_kind::Differs, Found->second.Last);
    return;
  }
  if (Found != Hosts.end()) {
    // It is asked now, not when its own silence is due.
    Found->second.HeardAt =
        std::min(Found->second.HeardAt, Timers.now() - boundFor(Found->second));
    Found->second.Asked = true;
    return;
  }
  host Host;
  Host.Last.Service = Request.Service;
  Host.Last.Host = Request.Host;
  Host.Last.Agent = Request.Agent;
  Host.Last.Incarnation = Request.Incarnation;
  Host.From = Request.Agent;
  Host.HeardAt = Timers.now() - boundFor(Host);
  Host.Asked = true;
  Host.Stranger = true;
  Hosts[Key] = Host;
}

bool hearing::stillSought(const host &Host) const {
  const membership *Members = Views.find(Host.Last.Service);
  const auto Place = placeOf(Members, Host.Last.Host);
  if (!Place)
    return false;
  const target &Target = Members->View.Targets[*Place];
  return Target.State != target_state::Down &&
         Target.Incarnation <= Host.Last.Incarnation;
}

bool hearing::mostAreSilent() const {
  std::size_t Silent = 0;
  for (const auto &[Key, Host] : Hosts)
    Silent += Timers.now() - Host.HeardAt >= boundFor(Host) ? 1 : 0;
  return Hosts.size() >= EnoughToDoubt && Silent * 2 > Hosts.size();
}

bool hearing::checkSilence(host &Host, bool Trusted) {
  const instant Now = Timers.now();
  if (Now - Host.HeardAt < boundFor(Host))
    return true;
  if (!stillSought(Host))
    return false;
  if (Host.Pings < PingsBeforeSilent) {
    if (Host.Pings == 0 || Now - Host.PingedAt >= PingPause) {
      ++Host.Pings;
      Host.PingedAt = Now;
      Hooks.Send(Host.From, host_ping());
    }
    return true;
  }
  if (Now - Host.PingedAt < PingPause)
    return true;
  if (Trusted && Now - Host.ReportedAt >= ReportPause) {
    Host.ReportedAt = Now;
    Hooks.Report(report_kind::Silent, Host.Last);
  }
  return !Host.Stranger;
}

void hearing::tick() {
  const bool Trusted = !mostAreSilent() || Hooks.PeersAnswer();
  for (auto At = Hosts.begin(); At != Hosts.end();)
    At = checkSilence(At->second, Trusted) ? std::next(At) : Hosts.erase(At);
  askRandomTarget();
}

void hearing::askRandomTarget() {
  if (Timers.now() - AskedRandomAt < RandomAskPause || Views.size() == 0)
    return;
  AskedRandomAt = Timers.now();
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
