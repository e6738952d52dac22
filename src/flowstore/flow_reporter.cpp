#include "marjoramrail/flowstore.h"

#include <algorithm>
#include <set>

namespace marjoramrail {

/// A caller accepts a reset within 76,800 bytes of its last acknowledgement. A
/// flow is reported again at half of that, because it goes on until the next
/// report.
static constexpr std::uint32_t MaxAcknowledgementDrift = 38'400;
/// Together with the names this fits into a datagram of 1,300 bytes.
static constexpr std::size_t FlowsPerDatagram = 64;
/// Bounds the cost of one report. The oldest flows come first, because callers
/// that have kept a flow for long are likely to keep it.
static constexpr std::size_t MaxDatagramsPerReport = 4;
/// A store that refuses calls is read no more often than it takes to answer a
/// slow call.
static constexpr duration ReadRetryInterval = std::chrono::seconds(1);
/// Callers of flows that were lost longer ago have sent their next request
/// already, so a reset would come too late.
static constexpr duration ReadTimeout = std::chrono::seconds(15);

struct flow_reporter::impl {
  impl(timer_service &Timers, platform_api Store, settings Settings,
       hooks Hooks)
      : Timers(Timers), Store(std::move(Store)), Settings(std::move(Settings)),
        Hooks(std::move(Hooks)) {}

  void read();
  void onRead(const platform_reply &Reply);
  void loadPrevious(const platform_object &Object);
  void completeReading();
  bool areSavedFlowsOver() const;
  void reportLostFlows();
  std::vector<open_flow> current() const;
  bool mayReport() const;
  void refresh();
  bool isReported(const std::vector<open_flow> &Flows) const;
  void sendReport(const endpoint &To);

  timer_service &Timers;
  platform_api Store;
  settings Settings;
  hooks Hooks;
  instant StartedAt;
  /// The checkpoint has been read, or reading it was given up.
  bool IsReady = false;
  /// The first read has ended; the next one returns the latest checkpoint.
  bool HasRead = false;
  bool ReadsLatest = false;
  /// The flows of an earlier run, until their callers have been sent resets.
  std::optional<flow_checkpoint> Previous;
  /// The flows whose callers have been sent resets.
  std::set<flow_key> Lost;
  std::optional<target_run> Run;
  /// A flow that was opened later than this may belong to another run. Nothing
  /// while Run is not known to be the target's present one.
  std::optional<instant> OnlyRunAsOf;
  bool HasLeft = false;
  /// The last report has to be replaced although it names all flows.
  bool IsReportOutdated = false;
  std::uint64_t Sequence = 0;
  target_run ReportedRun;
  std::map<flow_key, std::uint32_t> Reported;
  std::vector<open_flow> Flows;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// A read that may be seconds old costs less where the platform offers that.
/// When the agents of a large site are restarted, these are most of their
/// calls.
void flow_reporter::impl::read() {
  const auto &Read = ReadsLatest ? Store.Read : Store.ReadStale;
  Read(checkpointKey(Settings.Zone),
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
    Hooks.OnError("cannot read the flow checkpoint, giving up: " +
                  Reply.Reason);
  if (Reply.Outcome == platform_outcome::Ok)
    loadPrevious(Reply.Object);
  IsReady = ReadsLatest || !IsVersionKnown;
  HasRead = true;
  reportLostFlows();
  completeReading();
}

/// The latest checkpoint is needed unless the one that was read is of the run
/// that goes on.
void flow_reporter::impl::completeReading() {
  if (!HasRead || IsReady || ReadsLatest || !Run)
    return;
  if (Previous && Previous->Run == *Run) {
    IsReady = true;
    return;
  }
  ReadsLatest = true;
  read();
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
}

/// The saved flows were open at the moment that the report's number stands for.
/// If that moment is in the future, the VM was started anew and its target has
/// ended. If it is longer ago than flows live, they have ended in any case;
/// this also shows a new start of the VM, after which the clock begins
/// anywhere.
bool flow_reporter::impl::areSavedFlowsOver() const {
  const auto Saved = Previous ? reportMoment(Previous->Sequence) : std::nullopt;
  return Saved &&
         (StartedAt < *Saved || StartedAt - *Saved > Settings.FlowLife);
}

/// A delayed report names an earlier run, and the present one may still hold
/// the flows. Start times do not tell which run is the later one, since the
/// clock may have been stepped between them.
void flow_reporter::impl::reportLostFlows() {
  const bool IsOtherRunPresent =
      Previous && Run && OnlyRunAsOf && *Run != Previous->Run;
  if (!IsOtherRunPresent && !areSavedFlowsOver())
    return;
  flow_checkpoint Ended = *std::exchange(Previous, std::nullopt);
  std::erase_if(Ended.Flows, [this](const open_flow &Open) {
    return !Lost.insert(Open.Flow).second;
  });
  if (!Ended.Flows.empty())
    Hooks.OnLost(Ended);
}

/// The flows of a run that may be over would overwrite those of the present one
/// in the checkpoint.
bool flow_reporter::impl::mayReport() const {
  return IsReady && Run && (OnlyRunAsOf || !Previous || Previous->Run == *Run);
}

/// Flows that have ended do no harm in the checkpoint. They stay there until
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

/// Returns the open flows of the present run. This includes the flows that an
/// earlier process of this agent reported for the same run: they may be idle,
/// so that this process has seen no packet of them.
std::vector<open_flow> flow_reporter::impl::current() const {
  if (HasLeft)
    return {};
  std::vector<open_flow> Flows;
  if (OnlyRunAsOf)
    Flows = Hooks.OpenFlows(*OnlyRunAsOf);
  const bool IsSameRun = Previous && Previous->Run == *Run &&
                         Timers.now() - StartedAt < Settings.FlowLife;
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
  if (isReported(Current) && !AllEnded && !IsReportOutdated)
    return;
  IsReportOutdated = false;
  Sequence = std::max(Sequence + 1, reportSequence(Timers.now()));
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
  if (HasPrevious)
    Impl->read();
  else
    Impl->IsReady = true;
}

void flow_reporter::onRun(const target_run &Run,
                          std::optional<instant> OnlyRunAsOf) {
  // Flows that were reported as those of the run, and may be another run's.
  if (OnlyRunAsOf < Impl->OnlyRunAsOf)
    Impl->IsReportOutdated = true;
  Impl->Run = Run;
  Impl->OnlyRunAsOf = OnlyRunAsOf;
  Impl->HasLeft = false;
  Impl->reportLostFlows();
  Impl->completeReading();
}

void flow_reporter::leave() { Impl->HasLeft = true; }

bool flow_reporter::input(const endpoint &From,
                          std::span<const std::uint8_t> Bytes) {
  const auto Request = decodeFlowReportRequest(Bytes);
  if (!Request)
    return false;
  if (!Impl->mayReport())
    return true;
  Impl->refresh();
  if (Request->Sequence != Impl->Sequence)
    Impl->sendReport(From);
  return true;
}

} // namespace marjoramrail
