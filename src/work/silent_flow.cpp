/// Decides when to probe a flow and when to close it because its caller does
/// not respond.
///
/// A device between caller and agent may lose the state of a flow while both
/// ends still hold it and new flows work. A caller that only listens (status,
/// alerts) would wait forever, the agent would keep its stream, and the user
/// would get alerts late. A flow that has been quiet for three quarters of the
/// bound is sent a PING and another at seven eighths; at the bound it is
/// closed, so that the caller's side opens a new one.
///
/// 2,000 quiet flows under a bound of 60 s would take 2000 / 45 s * 97 bytes =
/// 4.3 KB/s, more than the budget for all control traffic. Probes are therefore
/// paid from a budget: if it is used up, they are sent later, and no flow is
/// closed before it has been probed twice.
#include "marjoramrail/work.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace marjoramrail {

namespace {

constexpr int ProbesBeforeClose = 2;
/// A probe that exceeds the budget is tried again after this time.
constexpr duration BudgetRetryInterval = std::chrono::milliseconds(500);
/// Unused budget is saved for at most this many seconds.
constexpr double MaxBudgetSeconds = 2;

} // namespace

struct silent_flows::impl {
  struct state {
    instant LastReceived;
    int Sent = 0;
    std::multimap<instant, flow_key>::iterator DueEntry;
  };
  using flows = std::unordered_map<flow_key, state, flow_key_hash>;

  /// Quiet time after which a flow that has been probed \p Sent times is probed
  /// again, or closed.
  duration quietBefore(int Sent) const {
    return Settings.Bound * (6 + Sent) / 8;
  }
  void schedule(const flow_key &Flow, state &State, instant When) {
    State.DueEntry = DueTimes.emplace(When, Flow);
  }
  bool takeProbeBudget(instant Now);

  silent_settings Settings;
  flows Flows;
  /// When each flow is checked next. Data from the caller only updates
  /// LastReceived.
  std::multimap<instant, flow_key> DueTimes;
  double AvailableBytes = 0;
  instant RefilledAt;
  double SpentBytes = 0;
};

bool silent_flows::impl::takeProbeBudget(instant Now) {
  const std::chrono::duration<double> Passed = Now - RefilledAt;
  RefilledAt = Now;
  const double Most = Settings.BytesPerSecond * MaxBudgetSeconds;
  AvailableBytes =
      std::min(Most, AvailableBytes + Passed.count() * Settings.BytesPerSecond);
  if (AvailableBytes < Settings.ProbeBytes)
    return false;
  AvailableBytes -= Settings.ProbeBytes;
  SpentBytes += Settings.ProbeBytes;
  return true;
}

silent_flows::silent_flows(const silent_settings &Settings)
    : Impl(std::make_unique<impl>()) {
  Impl->Settings = Settings;
}

silent_flows::~silent_flows() = default;

void silent_flows::opened(const flow_key &Flow, instant Now) {
  closed(Flow);
  impl::state &State = Impl->Flows[Flow];
  State.LastReceived = Now;
  Impl->schedule(Flow, State, Now + Impl->quietBefore(0));
}

void silent_flows::received(const flow_key &Flow, instant Now) {
  const auto Found = Impl->Flows.find(Flow);
  if (Found == Impl->Flows.end())
    return;
  Found->second.LastReceived = Now;
  Found->second.Sent = 0;
}

void silent_flows::closed(const flow_key &Flow) {
  const auto Found = Impl->Flows.find(Flow);
  if (Found == Impl->Flows.end())
    return;
  Impl->DueTimes.erase(Found->second.DueEntry);
  Impl->Flows.erase(Found);
}

std::vector<silent_action> silent_flows::tick(instant Now) {
  std::vector<silent_action> Actions;
  while (!Impl->DueTimes.empty() && Impl->DueTimes.begin()->first <= Now) {
    const flow_key Flow = Impl->DueTimes.begin()->second;
    Impl->DueTimes.erase(Impl->DueTimes.begin());
    impl::state &State = Impl->Flows.at(Flow);
    const instant Due = State.LastReceived + Impl->quietBefore(State.Sent);
    if (Due > Now) {
      Impl->schedule(Flow, State, Due);
    } else if (State.Sent == ProbesBeforeClose) {
      Impl->Flows.erase(Flow);
      Actions.push_back({Flow, silent_step::Close});
    } else if (!Impl->takeProbeBudget(Now)) {
      Impl->schedule(Flow, State, Now + BudgetRetryInterval);
    } else {
      ++State.Sent;
      // The answer gets an eighth of the bound, even if the probe was late.
      Impl->schedule(Flow, State, Now + Impl->Settings.Bound / 8);
      Actions.push_back({Flow, silent_step::Ping});
    }
  }
  return Actions;
}

double silent_flows::probeBytes() const { return Impl->SpentBytes; }

} // namespace marjoramrail
