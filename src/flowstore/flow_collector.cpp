#include "marjoramrail/flowstore.h"

#include <algorithm>

namespace marjoramrail {

/// Interval of the requests for reports, and so the maximum delay until an
/// agent's changed flows are known here.
static constexpr duration RequestPeriod = std::chrono::milliseconds(500);
/// Minimum interval between two writes: one call per second for each zone.
static constexpr duration MinWriteInterval = std::chrono::seconds(1);
/// Bounds the cost of writing for the one balancer that does it for its zone:
/// the larger the object, the longer the pause before the next write.
static constexpr std::int64_t WriteBytesPerSecond = 32 * 1024;
/// Interval of the checks whether a write is due.
static constexpr duration StepPeriod = std::chrono::milliseconds(100);
/// Delay after a failed call, or after a conflict with a write of another
/// balancer. The other balancer then goes on writing the zone's checkpoint
/// until it stops.
static constexpr duration RetryDelay = std::chrono::seconds(3);
/// The flows of an agent that has not reported for longer than this are
/// removed.
static constexpr duration ReporterTimeout = std::chrono::seconds(70);
/// An agent whose flows do not change gets a request for a full report at this
/// interval, so that an agent that is still running is not removed.
static constexpr duration RefreshInterval = std::chrono::seconds(30);
/// Half of what an object of the store can hold.
static constexpr std::size_t MaxFlowsPerZone = 25'000;

struct flow_collector::impl {
  impl(timer_service &Timers, platform_api Store, object_key Key, hooks Hooks)
      : Timers(Timers), Store(std::move(Store)), Key(std::move(Key)),
        Hooks(std::move(Hooks)) {}

  /// The last report of one agent, or its flows as loaded from the checkpoint.
  struct reporter {
    target_run Run;
    std::uint64_t Sequence = 0;
    std::vector<std::vector<open_flow>> Parts;
    /// Bit mask of the received parts of report Sequence.
    std::uint32_t ReceivedParts = 0;
    instant LastReportAt;
    /// When the first of the reports came that are older than this one by their
    /// sequence numbers.
    std::optional<instant> OlderSince;

    bool isComplete() const { return ReceivedParts + 1 == 1U << Parts.size(); }
  };

  void step();
  void collect();
  bool isOutageOver() const;
  void requestReports(const std::map<std::string, endpoint> &Agents);
  void read();
  void onRead(const platform_reply &Reply);
  void loadCheckpoint(const platform_object &Object);
  bool isDelayed(reporter &Reporter, const flow_report &Report) const;
  void applyReport(flow_report Report);
  void removeExpired();
  zone_checkpoint buildCheckpoint() const;
  void write();
  void onWritten(const platform_reply &Reply);
  void delayNextCall(const platform_reply &Failed);
  platform_callback bindReply(void (impl::*Step)(const platform_reply &));

  timer_service &Timers;
  platform_api Store;
  object_key Key;
  hooks Hooks;
  bool IsCollecting = false;
  /// The checkpoint in the store has been loaded, and its version is Version.
  bool IsVersionKnown = false;
  std::uint64_t Version = 0;
  bool CallPending = false;
  instant NextCall;
  /// When the last call failed, if the store did not answer or refused it.
  std::optional<instant> RefusedAt;
  instant NextRequest;
  bool Changed = false;
  std::map<std::string, reporter> Reporters;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

platform_callback
flow_collector::impl::bindReply(void (impl::*Step)(const platform_reply &)) {
  CallPending = true;
  return [this, Step, Alive = Alive](const platform_reply &Reply) {
    if (!*Alive)
      return;
    CallPending = false;
    (this->*Step)(Reply);
  };
}

void flow_collector::impl::step() {
  if (Timers.now() >= NextRequest) {
    NextRequest = Timers.now() + RequestPeriod;
    collect();
  }
  if (!IsCollecting || CallPending)
    return;
  if (Timers.now() < NextCall && !isOutageOver())
    return;
  if (!IsVersionKnown)
    read();
  else if (Changed)
    write();
}

/// Power may be lost soon after an outage of the store, and only the flows that
/// have been written by then are known afterwards. So a write that was refused
/// is repeated as soon as the store has answered anyone.
bool flow_collector::impl::isOutageOver() const {
  const auto AnsweredAt = Hooks.StoreAnsweredAt();
  return RefusedAt && AnsweredAt && *AnsweredAt > *RefusedAt;
}

void flow_collector::impl::collect() {
  const std::map<std::string, endpoint> Agents = Hooks.Agents();
  IsCollecting = !Agents.empty();
  if (!IsCollecting) {
    Reporters.clear();
    IsVersionKnown = false;
    return;
  }
  requestReports(Agents);
  removeExpired();
}

void flow_collector::impl::requestReports(
    const std::map<std::string, endpoint> &Agents) {
  for (const auto &[Name, Agent] : Agents) {
    const auto Known = Reporters.find(Name);
    const bool HasReport =
        Known != Reporters.end() && Known->second.isComplete() &&
        Timers.now() - Known->second.LastReportAt < RefreshInterval;
    flow_report_request Request;
    if (HasReport)
      Request.Sequence = Known->second.Sequence;
    Hooks.Send(Agent, encodeFlowReportRequest(Request));
  }
}

void flow_collector::impl::read() { Store.Read(Key, bindReply(&impl::onRead)); }

void flow_collector::impl::onRead(const platform_reply &Reply) {
  const bool Exists = Reply.Outcome == platform_outcome::Ok;
  if (!Exists && Reply.Outcome != platform_outcome::NotFound)
    return delayNextCall(Reply);
  RefusedAt.reset();
  IsVersionKnown = true;
  Version = Exists ? Reply.Object.Version : 0;
  if (Exists)
    loadCheckpoint(Reply.Object);
}

/// Flows of agents that have not reported yet stay in the checkpoint: their VMs
/// may be without power, and read their flows when they are back.
void flow_collector::impl::loadCheckpoint(const platform_object &Object) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Zone, decodeCheckpoint(Key, Object.Body));
    for (auto &[Name, Checkpoint] : Zone) {
      reporter Reporter;
      Reporter.Run = std::move(Checkpoint.Run);
      Reporter.Sequence = Checkpoint.Sequence;
      Reporter.Parts = {std::move(Checkpoint.Flows)};
      Reporter.LastReportAt = Timers.now();
      Reporters.try_emplace(Name, std::move(Reporter));
    }
    return {};
  });
  if (Failure)
    Hooks.OnError(toText(*Failure));
}

/// An agent numbers its reports by its VM's steady clock, so that a lower
/// number is that of a delayed report unless the VM was restarted. Then the
/// agent answers the next request with a lower number too. The start times of
/// the runs do not order the reports: the time of day may have been stepped in
/// between.
bool flow_collector::impl::isDelayed(reporter &Reporter,
                                     const flow_report &Report) const {
  const instant Now = Timers.now();
  const std::optional<instant> Since =
      std::exchange(Reporter.OlderSince, std::nullopt);
  if (Report.Sequence >= Reporter.Sequence)
    return false;
  const bool IsRepeated = Since && Now - *Since <= 2 * RequestPeriod;
  Reporter.OlderSince = IsRepeated ? *Since : Now;
  return !IsRepeated || Now - *Since < RequestPeriod / 2;
}

void flow_collector::impl::applyReport(flow_report Report) {
  reporter &Reporter = Reporters[Report.Name];
  if (isDelayed(Reporter, Report))
    return;
  if (Report.Run != Reporter.Run) {
    Reporter.Parts.clear();
    Changed = true;
  }
  if (Report.Run != Reporter.Run || Report.Sequence != Reporter.Sequence)
    Reporter.ReceivedParts = 0;
  Reporter.Run = std::move(Report.Run);
  Reporter.Sequence = Report.Sequence;
  Reporter.LastReportAt = Timers.now();
  Changed |= Reporter.Parts.size() != Report.Parts;
  Reporter.Parts.resize(Report.Parts);
  Changed |= Reporter.Parts[Report.Part] != Report.Flows;
  Reporter.Parts[Report.Part] = std::move(Report.Flows);
  Reporter.ReceivedParts |= 1U << Report.Part;
}

void flow_collector::impl::removeExpired() {
  const instant Now = Timers.now();
  const auto Removed = std::erase_if(Reporters, [&](const auto &Item) {
    return Now - Item.second.LastReportAt > ReporterTimeout;
  });
  Changed |= Removed > 0;
}

zone_checkpoint flow_collector::impl::buildCheckpoint() const {
  const std::size_t Share =
      MaxFlowsPerZone / std::max<std::size_t>(Reporters.size(), 1);
  zone_checkpoint Zone;
  for (const auto &[Name, Reporter] : Reporters) {
    flow_checkpoint &Checkpoint = Zone[Name];
    Checkpoint.Run = Reporter.Run;
    Checkpoint.Sequence = Reporter.Sequence;
    for (const std::vector<open_flow> &Part : Reporter.Parts)
      Checkpoint.Flows.insert(Checkpoint.Flows.end(), Part.begin(), Part.end());
    if (Checkpoint.Flows.size() > Share)
      Checkpoint.Flows.resize(Share);
  }
  return Zone;
}

void flow_collector::impl::write() {
  platform_write Write;
  Write.Object.Key = Key;
  Write.Object.Body = encodeCheckpoint(buildCheckpoint());
  Write.Expected = Version;
  const auto Bytes = static_cast<std::int64_t>(Write.Object.Body.size());
  NextCall = Timers.now() +
             std::max(MinWriteInterval, duration(std::chrono::seconds(1)) *
                                            Bytes / WriteBytesPerSecond);
  Changed = false;
  Store.Write(Write, bindReply(&impl::onWritten));
}

void flow_collector::impl::onWritten(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Ok) {
    Version = Reply.Object.Version;
    RefusedAt.reset();
    return;
  }
  Changed = true;
  // The store holds another version than expected, or its version is unknown.
  if (Reply.Outcome != platform_outcome::Unavailable)
    IsVersionKnown = false;
  delayNextCall(Reply);
}

void flow_collector::impl::delayNextCall(const platform_reply &Failed) {
  const instant Now = Timers.now();
  const bool IsOutage = Failed.Outcome == platform_outcome::Unavailable ||
                        Failed.Outcome == platform_outcome::Unknown;
  NextCall = Now + RetryDelay;
  RefusedAt = IsOutage ? std::optional(Now) : std::nullopt;
  Hooks.OnError(Failed.Reason);
}

flow_collector::flow_collector(timer_service &Timers, platform_api Store,
                               object_key Key, hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, std::move(Store), std::move(Key),
                                  std::move(Hooks))) {}

flow_collector::~flow_collector() { *Impl->Alive = false; }

void flow_collector::start() {
  Impl->Timers.every(StepPeriod, [Core = Impl.get(), Alive = Impl->Alive] {
    if (*Alive)
      Core->step();
  });
}

void flow_collector::input(std::span<const std::uint8_t> Bytes) {
  auto Report = decodeFlowReport(Bytes);
  if (Report && Impl->IsCollecting)
    Impl->applyReport(std::move(*Report));
}

} // namespace marjoramrail
