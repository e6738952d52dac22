#include "fleet/shard_controller.h"

#include "fleet/membership_codec.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// Balancers that must report a host as not responding before it is declared
/// dead: with one report, the link between that balancer and the host may have
/// failed.
constexpr std::size_t RequiredReports = 2;
/// Time for the other probed balancers to answer.
constexpr duration ProbeTimeout = std::chrono::milliseconds(1500);
/// Balancers answer a probe request once; while the state of a host is
/// undecided, they are requested again at this interval.
constexpr duration ProbeRetryInterval = std::chrono::seconds(3);
/// A report that a host does not respond expires after this time.
constexpr duration UnresponsiveReportLifetime = std::chrono::seconds(5);
/// Delay after an unavailable platform or a write that met another version.
constexpr duration RetryInterval = std::chrono::seconds(1);
/// Services written per tick (five ticks a second): taking over thousands must
/// not use up the platform's several hundred writes a second.
constexpr int WritesPerTick = 10;

std::string describe(const failure &Failure) { return toText(Failure); }

} // namespace

shard_controller::shard_controller(timer_service &Timers,
                                   platform_writer &Writer,
                                   fleet_counters &Counters, hooks Hooks)
    : Timers(Timers), Writer(Writer), Counters(Counters),
      Hooks(std::move(Hooks)) {}

void shard_controller::note(const std::string &Text) const {
  if (Hooks.Note)
    Hooks.Note(Text);
}

void shard_controller::take(const platform_object &Object) {
  const std::string &Kind = Object.Key.Kind;
  if (Kind == "service") {
    takeSpec(Object);
  } else if (Kind == "membership") {
    takeMembership(Object);
  } else if (Kind == "drain") {
    if (Object.Deleted)
      Drained.erase(Object.Key.Name);
    else
      Drained.insert(Object.Key.Name);
    recheckAll();
  } else if (Kind == "zone" && !Object.Deleted) {
    const auto Failure = failureOf([&]() -> result<void> {
      auto Zone = parseZone(Object.Body, Object.Key.Name);
      if (!Zone)
        return Zone.error();
      Zones[Zone->Name] = Zone->Number;
      return {};
    });
    if (Failure)
      note("refused " + describe(*Failure));
    recheckAll();
  }
}

/// Returns other services with the number or the address of \p Spec. Only these
/// two fields are kept of all services: 46,000 whole specs would not fit.
std::vector<service_spec>
shard_controller::conflictingServices(const service_spec &Spec) const {
  std::vector<service_spec> Others;
  const auto Numbered = Numbers.find(Spec.Number);
  if (Numbered != Numbers.end() && Numbered->second != Spec.Name) {
    Others.emplace_back().Name = Numbered->second;
    Others.back().Number = Spec.Number;
  }
  const auto Addressed = Addresses.find(Spec.Address);
  if (Addressed != Addresses.end() && Addressed->second != Spec.Name) {
    Others.emplace_back().Name = Addressed->second;
    Others.back().Address = Spec.Address;
  }
  return Others;
}

result<service_spec> shard_controller::readSpec(const platform_object &Object) {
  auto Spec = parseService(Object.Body, Object.Key.Name);
  if (!Spec)
    return Spec.error();
  auto Checked = checkAgainst(*Spec, conflictingServices(*Spec));
  if (!Checked)
    return Checked.error();
  Numbers[Spec->Number] = Spec->Name;
  Addresses[Spec->Address] = Spec->Name;
  return *Spec;
}

void shard_controller::takeSpec(const platform_object &Object) {
  const std::string &Name = Object.Key.Name;
  if (Object.Deleted) {
    std::erase_if(Addresses,
                  [&](const auto &Known) { return Known.second == Name; });
  }
  std::optional<service_spec> Spec;
  std::optional<failure> Failure;
  if (!Object.Deleted)
    Failure = failureOf([&]() -> result<void> {
      auto Read = readSpec(Object);
      if (!Read)
        return Read.error();
      Spec = *Read;
      return {};
    });
  if (!Hooks.HoldsShard(Name))
    return;
  service_state &State = Services[Name];
  Due.insert(Name);
  if (Object.Version < State.SpecVersion)
    return;
  if (!Failure) {
    State.Spec = Spec;
    State.SpecVersion = Object.Version;
    State.Invalid.clear();
    return;
  }
  // The last valid spec stays in effect; the status reports the error.
  State.Invalid = describe(*Failure);
  note("refused " + State.Invalid);
}

void shard_controller::takeMembership(const platform_object &Object) {
  const std::string &Name = Object.Key.Name;
  std::optional<membership> Members;
  if (!Object.Deleted) {
    const auto Failure = failureOf([&]() -> result<void> {
      auto Read = parseBody(Object.Body, Name);
      if (!Read)
        return Read.error();
      Members = *Read;
      return {};
    });
    if (Failure) {
      note("cannot read " + describe(*Failure));
      return;
    }
    Hooks.OnWritten(*Members);
  }
  if (!Hooks.HoldsShard(Name))
    return;
  service_state &State = Services[Name];
  Due.insert(Name);
  if (Object.Version <= State.StoredVersion)
    return;
  State.StoredVersion = Object.Deleted ? 0 : Object.Version;
  State.Stored = std::move(Members);
}

void shard_controller::recheckAll() {
  // Drops the state of shards that this node no longer holds.
  std::erase_if(Services, [&](const auto &State) {
    return !State.second.WritePending && !State.second.StatusWritePending &&
           !Hooks.HoldsShard(State.first);
  });
  for (auto &[Name, State] : Services) {
    removeOldEvidence(State);
    Due.insert(Name);
  }
}

/// Removes the evidence on hosts that are no longer in the membership: with
/// 11,000 replaced a day, it would fill the memory in weeks.
void shard_controller::removeOldEvidence(service_state &State) {
  std::set<std::string> Known;
  if (State.Stored)
    for (const target_info &Info : State.Stored->Info)
      Known.insert(Info.Host);
  std::erase_if(State.Evidence, [&](const auto &Entry) {
    return !Known.contains(Entry.first) &&
           Timers.now() - Entry.second.ReceivedAt >= DownRetention;
  });
  std::erase_if(State.DeadSince, [&](const auto &Entry) {
    return !Known.contains(Entry.first);
  });
}

void shard_controller::take(const host_report &Report) {
  const std::string &Service = Report.Heartbeat.Service;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return;
  service_state &State = Found->second;
  if (Report.Kind == report_kind::NotResponding)
    recordUnresponsive(State, Report);
  else
    recordHeartbeat(State, Report);
  Due.insert(Service);
}

void shard_controller::recordHeartbeat(service_state &State,
                                       const host_report &Report) {
  const host_heartbeat &Heartbeat = Report.Heartbeat;
  host_evidence &Evidence = State.Evidence[Heartbeat.Host];
  if (Heartbeat.Incarnation < Evidence.Heartbeat.Incarnation)
    return;
  if (Heartbeat.Incarnation > Evidence.Heartbeat.Incarnation)
    Evidence.Needs.reset();
  Evidence.Heartbeat = Heartbeat;
  Evidence.ReceivedAt = Timers.now();
  if (Heartbeat.Report.OldestGeneration > 0)
    Evidence.Needs = Heartbeat.Report.OldestGeneration;
  // One balancer that receives heartbeats outweighs any number that do not.
  State.UnresponsiveHosts.erase(Heartbeat.Host);
  Evidence.Dead = false;
}

void shard_controller::recordUnresponsive(service_state &State,
                                          const host_report &Report) {
  unresponsive_host &Unresponsive =
      State.UnresponsiveHosts[Report.Heartbeat.Host];
  const bool First = Unresponsive.By.empty();
  if (First || Report.Heartbeat.Incarnation > Unresponsive.About.Incarnation)
    Unresponsive.About = Report.Heartbeat;
  Unresponsive.By[Report.From] = Timers.now();
  if (!First)
    return;
  Unresponsive.Since = Unresponsive.ProbesRequestedAt = Timers.now();
  requestProbes(Report.Heartbeat);
}

void shard_controller::requestProbes(const host_heartbeat &About) {
  Hooks.Probe({About.Service, About.Host, About.Agent, About.Incarnation});
}

bool shard_controller::evaluateUnresponsive(service_state &State) {
  const std::size_t Needed = std::min(RequiredReports, Hooks.Balancers());
  std::vector<host_heartbeat> Undecided;
  for (auto At = State.UnresponsiveHosts.begin();
       At != State.UnresponsiveHosts.end();) {
    auto &[Host, Unresponsive] = *At;
    std::erase_if(Unresponsive.By, [&](const auto &Report) {
      return Timers.now() - Report.second > UnresponsiveReportLifetime;
    });
    if (Unresponsive.By.empty()) {
      At = State.UnresponsiveHosts.erase(At);
      continue;
    }
    if (Unresponsive.By.size() >= Needed && Hooks.IsLinkTrusted() &&
        Timers.now() - Unresponsive.Since >= ProbeTimeout) {
      host_evidence &Evidence = State.Evidence[Host];
      Evidence.Dead = true;
      Evidence.DeadIncarnation = Unresponsive.About.Incarnation;
    } else if (Timers.now() - Unresponsive.ProbesRequestedAt >=
               ProbeRetryInterval) {
      Unresponsive.ProbesRequestedAt = Timers.now();
      Undecided.push_back(Unresponsive.About);
    }
    ++At;
  }
  // An answer may arrive during the call and remove the entry, so the requests
  // are sent after the loop.
  for (const host_heartbeat &About : Undecided)
    requestProbes(About);
  return !State.UnresponsiveHosts.empty();
}

void shard_controller::tick(bool Synced) {
  if (!Synced)
    return;
  const std::set<std::string> DueNow = std::exchange(Due, {});
  int WritesLeft = WritesPerTick;
  for (const std::string &Service : DueNow) {
    service_state &State = Services[Service];
    if (!Hooks.Term(Service))
      continue;
    if (State.WritePending || State.RetryAt > Timers.now() || WritesLeft == 0) {
      Due.insert(Service);
      continue;
    }
    if (evaluateUnresponsive(State))
      Due.insert(Service);
    step(Service, State);
    WritesLeft -= State.WritePending ? 1 : 0;
    report(Service, State);
  }
}

plan_input shard_controller::inputFor(const std::string &Service,
                                      service_state &State,
                                      std::uint64_t Term) {
  plan_input Input;
  Input.Current = State.Stored ? &*State.Stored : nullptr;
  const membership *Known = Hooks.NewestView(Service);
  if (Known != nullptr) {
    Input.KnownVersion = Known->View.Version;
    if (Input.Current == nullptr ||
        Known->View.Version > Input.Current->View.Version) {
      Input.Current = Known;
      Input.PlatformBehind = true;
    }
  }
  Input.Spec = State.Spec;
  Input.SpecVersion = State.SpecVersion;
  Input.Term = Term;
  Input.Evidence = State.Evidence;
  Input.Drained = Drained;
  Input.Zones = Zones;
  Input.Now = Timers.now();
  Input.LastGeneration = State.LastGeneration;
  // A new lease holder counts from when it first saw that the host is down.
  if (Input.Current != nullptr)
    for (std::size_t I = 0; I < Input.Current->Info.size(); ++I)
      if (Input.Current->View.Targets[I].State == target_state::Down)
        State.DeadSince.try_emplace(Input.Current->Info[I].Host, Timers.now());
  Input.DeadSince = State.DeadSince;
  return Input;
}

void shard_controller::step(const std::string &Service, service_state &State) {
  const auto Term = Hooks.Term(Service);
  const bool Nothing = !State.Spec && !State.Stored;
  if (!Term || Nothing)
    return;
  // Without any valid spec so far there is nothing to write.
  if (!State.Spec && !State.Invalid.empty())
    return;
  if (State.Stored && State.Stored->Term > *Term)
    return;
  membership_plan Plan = planMembership(inputFor(Service, State, *Term));
  State.HeldBack = Plan.HeldBack;
  if (!Plan.HeldBack.empty())
    Due.insert(Service);
  if (Plan.Changed)
    write(Service, State, Plan);
}

void shard_controller::write(const std::string &Service, service_state &State,
                             const membership_plan &Plan) {
  State.WritePending = true;
  for (const std::string &Host : Plan.DeclaredDead) {
    ++Counters.HostsDeclaredDead;
    State.DeadSince[Host] = Timers.now();
    note(std::string("declared host ").append(Host).append(" dead"));
  }
  Writer.write({"membership", Service}, toBody(Plan.Next), State.StoredVersion,
               [this, Service, Next = Plan.Next,
                New = Plan.NewGeneration](const write_result &Result) {
                 written(Service, Next, New, Result);
               });
}

void shard_controller::written(const std::string &Service,
                               const membership &Next, bool NewGeneration,
                               const write_result &Result) {
  service_state &State = Services[Service];
  State.WritePending = false;
  Due.insert(Service);
  switch (Result.Outcome) {
  case write_outcome::Written:
    State.Stored = Next;
    State.StoredVersion = Result.Object.Version;
    if (NewGeneration)
      State.LastGeneration = Timers.now();
    Hooks.OnObject(Result.Object);
    Hooks.OnWritten(Next);
    return;
  case write_outcome::Fenced:
    note("membership write of " + Service +
         " failed: another version is stored");
    if (Result.Object.Version > 0)
      takeMembership(Result.Object);
    else
      State.StoredVersion = 0;
    State.RetryAt = Timers.now() + RetryInterval / 4;
    return;
  case write_outcome::Unavailable:
  case write_outcome::Refused:
    State.RetryAt = Timers.now() + RetryInterval;
    return;
  }
}

} // namespace marjoramrail::internal
