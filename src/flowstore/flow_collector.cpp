#include "marjoramrail/flowstore.h"

#include <algorithm>

namespace marjoramrail {

/// How long the news of an agent waits for the next question, at most.
static constexpr duration RequestPeriod = std::chrono::milliseconds(500);
/// The least time between two writes: a call a second for each zone.
static constexpr duration MinWriteInterval = std::chrono::seconds(1);
/// Bounds what writing costs the one balancer that does it for its zone: the
/// larger the object, the longer the pause before the next write.
static constexpr std::int64_t WriteBytesPerSecond = 32 * 1024;
/// After a failed call, or when another balancer has written: that one keeps
/// the zone's flows until it falls silent.
static constexpr duration RetryDelay = std::chrono::seconds(3);
/// The flows of an agent that has said nothing for longer are over.
static constexpr duration ReporterTimeout = std::chrono::seconds(70);
/// An agent whose flows do not change is asked all the same now and then, to
/// hear that it is there.
static constexpr duration RefreshInterval = std::chrono::seconds(30);
/// Of one zone: half of what an object of the store may hold.
static constexpr std::size_t MaxFlowsPerZone = 25'000;

struct flow_collector::impl {
  impl(timer_service &Timers, platform_api Store, object_key Key, hooks Hooks)
      : Timers(Timers), Store(std::move(Store)), Key(std::move(Key)),
        Hooks(std::move(Hooks)) {}

  /// One agent as it has reported itself, or as the store has it.
  struct reporter {
    target_run Run;
    std::uint64_t Sequence = 0;
    std::vector<std::vector<open_flow>> Parts;
    /// Bits of the parts of Sequence that have come.
    std::uint32_t ReceivedParts = 0;
    instant LastReportAt;

    bool isComplete() const { return ReceivedParts + 1 == 1U << Parts.size(); }
  };

  void step();
  void requestReports(const std::map<std::string, endpoint> &Agents);
  void read();
  void onRead(const platform_reply &Reply);
  void loadCheckpoint(const platform_object &Object);
  void applyReport(flow_report Report);
  void removeExpired();
  zone_checkpoint buildCheckpoint() const;
  void write();
  void onWritten(const platform_reply &Reply);
  void delayNextCall(const std::string &Reason);
  platform_callback then(void (impl::*Step)(const platform_reply &));

  timer_service &Timers;
  platform_api Store;
  object_key Key;
  hooks Hooks;
  bool IsCollecting = false;
  /// What the store holds as version Version was taken in.
  bool IsVersionKnown = false;
  std::uint64_t Version = 0;
  bool Busy = false;
  instant NextCall;
  bool Changed = false;
  std::map<std::string, reporter> Reporters;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

platform_callback
flow_collector::impl::then(void (impl::*Step)(const platform_reply &)) {
  Busy = true;
  return [this, Step, Alive = Alive](const platform_reply &Reply) {
    if (!*Alive)
      return;
    Busy = false;
    (this->*Step)(Reply);
  };
}

void flow_collector::impl::step() {
  const std::map<std::string, endpoint> Agents = Hooks.Agents();
  IsCollecting = !Agents.empty();
  if (!IsCollecting) {
    Reporters.clear();
    IsVersionKnown = false;
    return;
  }
  requestReports(Agents);
  removeExpired();
  if (Busy || Timers.now() < NextCall)
    return;
  if (!IsVersionKnown)
    read();
  else if (Changed)
    write();
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

void flow_collector::impl::read() { Store.Read(Key, then(&impl::onRead)); }

void flow_collector::impl::onRead(const platform_reply &Reply) {
  const bool Exists = Reply.Outcome == platform_outcome::Ok;
  if (!Exists && Reply.Outcome != platform_outcome::NotFound)
    return delayNextCall(Reply.Reason);
  IsVersionKnown = true;
  Version = Exists ? Reply.Object.Version : 0;
  if (Exists)
    loadCheckpoint(Reply.Object);
}

/// What the store holds of agents that have not reported yet goes on being
/// kept: their VMs may be dark, and ask for it when they are back.
void flow_collector::impl::loadCheckpoint(const platform_object &Object) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Zone, decodeCheckpoint(Key, Object.Body));
    for (auto &[Name, Checkpoint] : Zone) {
      reporter Reporter;
      Reporter.Run = std::move(Checkpoint.Run);
      Reporter.Parts = {std::move(Checkpoint.Flows)};
      Reporter.LastReportAt = Timers.now();
      Reporters.try_emplace(Name, std::move(Reporter));
    }
    return {};
  });
  if (Failure)
    Hooks.OnError(toText(*Failure));
}

void flow_collector::impl::applyReport(flow_report Report) {
  reporter &Reporter = Reporters[Report.Name];
  // Held up on its way, or of an agent that was restarted with its target.
  if (Report.Run.Born < Reporter.Run.Born)
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
  Store.Write(Write, then(&impl::onWritten));
}

void flow_collector::impl::onWritten(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Ok) {
    Version = Reply.Object.Version;
    return;
  }
  Changed = true;
  // Another version stands, or nobody knows which.
  if (Reply.Outcome != platform_outcome::Unavailable)
    IsVersionKnown = false;
  delayNextCall(Reply.Reason);
}

void flow_collector::impl::delayNextCall(const std::string &Reason) {
  NextCall = Timers.now() + RetryDelay;
  Hooks.OnError(Reason);
}

flow_collector::flow_collector(timer_service &Timers, platform_api Store,
                               object_key Key, hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, std::move(Store), std::move(Key),
                                  std::move(Hooks))) {}

flow_collector::~flow_collector() { *Impl->Alive = false; }

void flow_collector::start() {
  Impl->Timers.every(RequestPeriod, [Core = Impl.get(), Alive = Impl->Alive] {
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
