/// Chooses the peer for a request that has not started to run.
///
/// Load pattern: flows last for hours and are distributed unevenly over hosts,
/// and hosts drain, start cold or slow down. The work in the flows has to move
/// although the flows stay. Without relaying, a host with three busy callers
/// reaches its limit while its neighbours are idle.
///
/// If every agent chose the peer with the least load by the last reports, all
/// would send to the same idle peer until its next report (herding: the load of
/// the peers oscillates). Here two peers drawn at random are compared, and the
/// requests sent since the last report are added to it. Two overloaded agents
/// could relay a request back and forth; therefore a relayed request is never
/// relayed again (MaxHops), and nothing is relayed to a peer that has just
/// relayed to this agent.
#include "marjoramrail/work.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace marjoramrail {

namespace {

/// Maximum share relayed for balance. A host with misleading reports thus still
/// runs some requests, which show its real state.
constexpr double MaxShifted = 0.95;
/// Smaller differences in Busy are noise of a few slots.
constexpr double DeadZone = 0.02;

struct peer {
  agent_load Load;
  instant At;
  /// Number of requests sent since the report that still hold slots, and the
  /// time for which the number was computed.
  double Sent = 0;
  instant SentAt;
  instant AvoidUntil;
  instant NotRunUntil;
};

/// Share of the requests sent that still hold a slot.
double remainingShare(const peer &Peer, instant Now) {
  const std::chrono::duration<double> Passed = Now - Peer.SentAt;
  const std::chrono::duration<double> Service = Peer.Load.Service;
  return std::exp(-Passed.count() / Service.count());
}

} // namespace

struct relay_choice::impl {
  bool usable(const peer &Peer, instant Now) const;
  static double loadOf(const peer &Peer, instant Now);
  static void countSent(peer &Peer, instant Now);
  bool wantsShift(const agent_load &Own, instant Now);
  void adjustShift(const agent_load &Own, instant Now);
  std::optional<host_id> lessLoadedOfTwo(instant Now);
  std::optional<host_id> pick(const work_request &Request, relay_reason Why,
                              const agent_load &Own, instant Now);

  host_id Self;
  relay_settings Settings;
  std::mt19937_64 Random;
  std::map<host_id, peer> Peers;
  double Shifted = 0;
  instant ShiftedAt;
};

relay_choice::relay_choice(host_id Self, const relay_settings &Settings,
                           std::uint64_t Seed)
    : Impl(std::make_unique<impl>()) {
  Impl->Self = Self;
  Impl->Settings = Settings;
  Impl->Random.seed(Seed);
}

relay_choice::~relay_choice() = default;

double relay_choice::shiftedShare() const { return Impl->Shifted; }

void relay_choice::report(const agent_load &Peer, instant Now) {
  if (Peer.Host == Impl->Self)
    return;
  peer &Known = Impl->Peers[Peer.Host];
  Known.Load = Peer;
  Known.At = Now;
  Known.NotRunUntil = instant();
  Known.Sent = 0;
}

void relay_choice::forget(host_id Peer) { Impl->Peers.erase(Peer); }

void relay_choice::receivedRelayFrom(host_id Peer, instant Now) {
  const auto Found = Impl->Peers.find(Peer);
  if (Found == Impl->Peers.end())
    return;
  instant &Until = Found->second.AvoidUntil;
  Until = std::max(Until, Now + Impl->Settings.NoReturnPeriod);
}

void relay_choice::notRun(host_id Peer, duration RetryAfter, instant Now) {
  const auto Found = Impl->Peers.find(Peer);
  if (Found == Impl->Peers.end())
    return;
  instant &Until = Found->second.NotRunUntil;
  Until = std::max(Until, Now + RetryAfter);
}

bool relay_choice::impl::usable(const peer &Peer, instant Now) const {
  const bool Fresh = Now - Peer.At <= Settings.MaxReportAge;
  const bool Avoided = Peer.AvoidUntil > Now || Peer.NotRunUntil > Now;
  return Fresh && Peer.Load.Accepting && !Avoided;
}

/// Half the smoothed load of the last second, half the load at the time of the
/// report, plus the requests sent since then that still hold a slot. With the
/// momentary load alone the choice would follow the noise of a few slots; with
/// the smoothed load alone a growing queue would be detected too late.
double relay_choice::impl::loadOf(const peer &Peer, instant Now) {
  const double Sent =
      Peer.Sent * remainingShare(Peer, Now) / std::max(Peer.Load.Slots, 1.0);
  return (Peer.Load.Busy + Peer.Load.Pressure) / 2 + Sent;
}

void relay_choice::impl::countSent(peer &Peer, instant Now) {
  Peer.Sent = Peer.Sent * remainingShare(Peer, Now) + 1;
  Peer.SentAt = Now;
}

std::optional<host_id> relay_choice::impl::lessLoadedOfTwo(instant Now) {
  std::vector<host_id> Candidates;
  for (const auto &[Host, Peer] : Peers)
    if (usable(Peer, Now))
      Candidates.push_back(Host);
  if (Candidates.empty())
    return std::nullopt;
  const auto Draw = [&] { return Candidates[Random() % Candidates.size()]; };
  const host_id First = Draw();
  const host_id Second = Draw();
  const bool Lower = loadOf(Peers[First], Now) <= loadOf(Peers[Second], Now);
  return Lower ? First : Second;
}

void relay_choice::impl::adjustShift(const agent_load &Own, instant Now) {
  double Sum = Own.Busy;
  double Count = 1;
  for (const auto &[Host, Peer] : Peers) {
    if (Now - Peer.At > Settings.MaxReportAge || !Peer.Load.Accepting)
      continue;
    Sum += Peer.Load.Busy;
    Count += 1;
  }
  const double Seconds = std::chrono::duration<double>(Now - ShiftedAt).count();
  ShiftedAt = Now;
  const double Excess = Own.Busy - Sum / Count;
  if (std::abs(Excess) < DeadZone && Shifted > 0)
    return;
  Shifted += Settings.Gain * Excess * std::min(Seconds, 1.0);
  Shifted = std::clamp(Shifted, 0.0, MaxShifted);
}

bool relay_choice::impl::wantsShift(const agent_load &Own, instant Now) {
  adjustShift(Own, Now);
  return std::uniform_real_distribution<>(0, 1)(Random) < Shifted;
}

std::optional<host_id> relay_choice::impl::pick(const work_request &Request,
                                                relay_reason Why,
                                                const agent_load &Own,
                                                instant Now) {
  if (Request.Hops >= Settings.MaxHops || Request.RelayedBy)
    return std::nullopt;
  const bool ForBalance = Why == relay_reason::Balance;
  if (ForBalance && !wantsShift(Own, Now))
    return std::nullopt;
  const auto Best = lessLoadedOfTwo(Now);
  if (!Best)
    return std::nullopt;
  peer &Peer = Peers[*Best];
  const double Load = loadOf(Peer, Now);
  if (ForBalance && Load >= Own.Busy)
    return std::nullopt;
  if (Why == relay_reason::Overloaded && Load + Settings.Margin > Own.Pressure)
    return std::nullopt;
  countSent(Peer, Now);
  return *Best;
}

std::optional<host_id> relay_choice::pick(const work_request &Request,
                                          relay_reason Why,
                                          const agent_load &Own, instant Now) {
  return Impl->pick(Request, Why, Own, Now);
}

} // namespace marjoramrail
