#include "marjoramrail/flowstore.h"

#include <algorithm>
#include <set>

namespace marjoramrail {

/// A reset within 76,800 of the caller's last acknowledgement counts; reported
/// anew at half of that, as the flow goes on until the next report.
static constexpr std::uint32_t MaxAcknowledgementDrift = 38'400;
/// With the names this fits a datagram of 1,300 bytes.
static constexpr std::size_t FlowsPerDatagram = 64;
/// What one answer may cost; the oldest flows go first, as callers who have
/// kept a flow for long keep it on.
static constexpr std::size_t MaxDatagramsPerReport = 4;
/// A store that refuses is not asked more often than it takes to answer slowly.
static constexpr duration ReadRetryInterval = std::chrono::seconds(1);
/// Callers of flows that were lost longer ago have asked by themselves.
static constexpr duration ReadTimeout = std::chrono::seconds(15);
/// The longest life of a flow.
static constexpr duration PreviousFlowsLifetime = std::chrono::minutes(1);

struct flow_reporter::impl {
  impl(timer_service &Timers, platform_api Store, settings Settings,
       hooks Hooks)
      : Timers(Timers), Store(std::move(Store)), Settings(std::move(Settings)),
        Hooks(std::move(Hooks)) {}

  void read();
  void onRead(const platform_reply &Reply);
  void loadPrevious(const platform_object &Object);
  void reportLostFlows();
  std::vector<open_flow> current() const;
  void refresh();
  bool isReported(const std::vector<open_flow> &Flows) const;
  void sendReport(const endpoint &To);

  timer_service &Timers;
  platform_api Store;
  settings Settings;
  hooks Hooks;
  instant StartedAt;
  /// What the process before this one reported is known, or given up.
  bool IsReady = false;
  /// Of a run before the present one, until its callers are told.
  std::optional<flow_checkpoint> Previous;
  std::optional<target_run> Run;
  /// When the target last said that this run goes on. A flow that was opened
  /// later may belong to the next run already.
  instant ConfirmedAt;
  bool HasLeft = false;
  /// Unlike that of a process before this one, as it starts with the clock.
  std::uint64_t Sequence = 0;
  target_run ReportedRun;
  std::map<flow_key, std::uint32_t> Reported;
  std::vector<open_flow> Flows;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

void flow_reporter::impl::read() {
  Store.Read(checkpointKey(Settings.Zone),
             [this, Alive = Alive](const platform_reply &Reply) {
               if (*Alive)
                 onRead(Reply);
             });
}

void flow_reporter::impl::onRead(const platform_reply &Reply) {
  const bool IsVersionKnown = Reply.Outcome == platform_outcome::Ok ||
                              Reply.Outcome == platform_outcome::NotFound;
  if (!IsVersionKnown && Timers.now() - StartedAt < ReadTimeout) {
    Hooks.OnError(Reply.Reason);
    Timers.after(ReadRetryInterval, [this, Alive = Alive] {
      if (*Alive)
        read();
    });
    return;
  }
  if (!IsVersionKnown)
    Hooks.OnError("what was kept is given up: " + Reply.Reason);
  IsReady = true;
  if (Reply.Outcome == platform_outcome::Ok)
    loadPrevious(Reply.Object);
}

void flow_reporter::impl::loadPrevious(const platform_object &Object) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(
        Zone, decodeCheckpoint(checkpointKey(Settings.Zone), Object.Body));
    if (const auto Own = Zone.find(Settings.Name); Own != Zone.end())
      Previous = std::move(Own->second);
    return {};
  });
  if (Failure)
    Hooks.OnError(toText(*Failure));
  reportLostFlows();
}

/// Only a run that began later proves that the one before is over. A report
/// that was held up names an earlier one, and the target that is there may
/// still hold the flows.
void flow_reporter::impl::reportLostFlows() {
  if (!Previous || !Run || Run->Born <= Previous->Run.Born)
    return;
  const flow_checkpoint Lost = *std::exchange(Previous, std::nullopt);
  Hooks.OnLost(Lost.Flows);
}

/// Flows that have ended do no harm where they are kept; they stay until
/// something else has to be reported.
bool flow_reporter::impl::isReported(
    const std::vector<open_flow> &Current) const {
  if (ReportedRun != *Run)
    return false;
  return std::all_of(
      Current.begin(), Current.end(), [&](const open_flow &Open) {
        const auto Found = Reported.find(Open.Flow);
        return Found != Reported.end() &&
               Open.Acknowledged - Found->second <= MaxAcknowledgementDrift;
      });
}

/// The flows of the present run that a process of this agent has seen open.
/// What the process before reported may be idle, and not have been seen since.
std::vector<open_flow> flow_reporter::impl::current() const {
  if (HasLeft)
    return {};
  std::vector<open_flow> Flows = Hooks.OpenFlows(ConfirmedAt);
  const bool IsSameRun = Previous && Previous->Run == *Run &&
                         Timers.now() - StartedAt < PreviousFlowsLifetime;
  if (!IsSameRun)
    return Flows;
  std::set<flow_key> Seen;
  for (const open_flow &Open : Flows)
    Seen.insert(Open.Flow);
  for (const open_flow &Open : Previous->Flows)
    if (!Seen.contains(Open.Flow))
      Flows.push_back(Open);
  return Flows;
}

void flow_reporter::impl::refresh() {
  std::vector<open_flow> Current = current();
  constexpr std::size_t MaxFlowsPerReport =
      FlowsPerDatagram * MaxDatagramsPerReport;
  if (Current.size() > MaxFlowsPerReport)
    Current.resize(MaxFlowsPerReport);
  const bool AllEnded = Current.empty() && !Flows.empty();
  if (isReported(Current) && !AllEnded)
    return;
  ++Sequence;
  ReportedRun = *Run;
  Flows = std::move(Current);
  Reported.clear();
  for (const open_flow &Open : Flows)
    Reported[Open.Flow] = Open.Acknowledged;
}

void flow_reporter::impl::sendReport(const endpoint &To) {
  flow_report Report{Settings.Name, ReportedRun, Sequence, 0, 1, {}};
  const std::size_t Parts =
      (Flows.size() + FlowsPerDatagram - 1) / FlowsPerDatagram;
  Report.Parts = static_cast<std::uint8_t>(std::max<std::size_t>(Parts, 1));
  for (; Report.Part < Report.Parts; ++Report.Part) {
    const auto Begin = Flows.begin() + std::ptrdiff_t{Report.Part} *
                                           std::ptrdiff_t{FlowsPerDatagram};
    const auto Left = static_cast<std::size_t>(Flows.end() - Begin);
    Report.Flows.assign(Begin, Begin + static_cast<std::ptrdiff_t>(
                                           std::min(Left, FlowsPerDatagram)));
    Hooks.Send(To, encodeFlowReport(Report));
  }
}

flow_reporter::flow_reporter(timer_service &Timers, platform_api Store,
                             settings Settings, hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, std::move(Store), std::move(Settings),
                                  std::move(Hooks))) {}

flow_reporter::~flow_reporter() { *Impl->Alive = false; }

void flow_reporter::start(bool HasPrevious) {
  Impl->StartedAt = Impl->Timers.now();
  Impl->Sequence =
      static_cast<std::uint64_t>(Impl->StartedAt.time_since_epoch().count());
  if (HasPrevious)
    Impl->read();
  else
    Impl->IsReady = true;
}

void flow_reporter::onRun(const target_run &Run) {
  Impl->Run = Run;
  Impl->ConfirmedAt = Impl->Timers.now();
  Impl->HasLeft = false;
  Impl->reportLostFlows();
}

void flow_reporter::leave() { Impl->HasLeft = true; }

bool flow_reporter::input(const endpoint &From,
                          std::span<const std::uint8_t> Bytes) {
  const auto Request = decodeFlowReportRequest(Bytes);
  if (!Request)
    return false;
  if (!Impl->IsReady || !Impl->Run)
    return true;
  Impl->refresh();
  if (Request->Sequence != Impl->Sequence)
    Impl->sendReport(From);
  return true;
}

} // namespace marjoramrail
