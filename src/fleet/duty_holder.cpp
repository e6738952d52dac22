#include "fleet/duty_holder.h"

#include "fleet/membership_codec.h"

#include <algorithm>

namespace marjoramrail::internal {

namespace {

/// Balancers that must find a host silent before it is held for dead: the link
/// between the first one and the host may be what failed.
constexpr std::size_t Opinions = 2;
/// Time for the others that were asked to answer.
constexpr duration ProbeTime = std::chrono::milliseconds(1500);
/// Those asked answer once; while nothing is decided they are asked again.
constexpr duration AskAgain = std::chrono::seconds(3);
/// A report of silence older than this no longer counts.
constexpr duration SilenceCounts = std::chrono::seconds(5);
/// After an unavailable platform or a write that met another version.
constexpr duration RetryPause = std::chrono::seconds(1);
/// Services written per tick (five a second): a takeover of thousands must not
/// use up the platform's several hundred writes a second.
constexpr int WritesPerTick = 10;

std::string describe(const failure &Failure) { return toText(Failure); }

} // namespace

duty_holder::duty_holder(timer_service &Timers, platform_writer &Writer,
                         fleet_counters &Counters, hooks Hooks)
    : Timers(Timers), Writer(Writer), Counters(Counters),
      Hooks(std::move(Hooks)) {}

void duty_holder::note(const std::string &Text) const {
  if (Hooks.Note)
    Hooks.Note(Text);
}

void duty_holder::take(const platform_object &Object) {
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
    lookAtAll();
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
    lookAtAll();
  }
}

/// Other services that have the number or the address of \p Spec. All services
/// are known by these two only: 46,000 whole specs would not fit.
std::vector<service_spec> duty_holder::sharers(const service_spec &Spec) const {
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

result<service_spec> duty_holder::readSpec(const platform_object &Object) {
  auto Spec = parseService(Object.Body, Object.Key.Name);
  if (!Spec)
    return Spec.error();
  auto Checked = checkAgainst(*Spec, sharers(*Spec));
  if (!Checked)
    return Checked.error();
  Numbers[Spec->Number] = Spec->Name;
  Addresses[Spec->Address] = Spec->Name;
  return *Spec;
}

void duty_holder::takeSpec(const platform_object &Object) {
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
  if (!Hooks.Mine(Name))
    return;
  service_duty &Duty = Duties[Name];
  Due.insert(Name);
  if (Object.Version < Duty.SpecVersion)
    return;
  if (!Failure) {
    Duty.Spec = Spec;
    Duty.SpecVersion = Object.Version;
    Duty.Invalid.clear();
    return;
  }
  // The last good spec stays in force; the status says what is wrong.
  Duty.Invalid = describe(*Failure);
  note("refused " + Duty.Invalid);
}

void duty_holder::takeMembership(const platform_object &Object) {
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
  if (!Hooks.Mine(Name))
    return;
  service_duty &Duty = Duties[Name];
  Due.insert(Name);
  if (Object.Version <= Duty.StoredVersion)
    return;
  Duty.StoredVersion = Object.Deleted ? 0 : Object.Version;
  Duty.Stored = std::move(Members);
}

void duty_holder::lookAtAll() {
  // Shards that went elsewhere leave nothing behind.
  std::erase_if(Duties, [&](const auto &Duty) {
    return !Duty.second.Busy && !Duty.second.StatusBusy &&
           !Hooks.Mine(Duty.first);
  });
  for (auto &[Name, Duty] : Duties) {
    forgetHosts(Duty);
    Due.insert(Name);
  }
}

/// Hosts that the membership no longer has: with 11,000 replaced a day their
/// evidence would fill the memory in weeks.
void duty_holder::forgetHosts(service_duty &Duty) {
  std::set<std::string> Known;
  if (Duty.Stored)
    for (const target_info &Info : Duty.Stored->Info)
      Known.insert(Info.Host);
  std::erase_if(Duty.Evidence, [&](const auto &Entry) {
    return !Known.contains(Entry.first) &&
           Timers.now() - Entry.second.HeardAt >= KeepDown;
  });
  std::erase_if(Duty.DownSince, [&](const auto &Entry) {
    return !Known.contains(Entry.first);
  });
}

void duty_holder::take(const host_report &Report) {
  const std::string &Service = Report.Heard.Service;
  const auto Found = Duties.find(Service);
  if (Found == Duties.end())
    return;
  service_duty &Duty = Found->second;
  if (Report.Kind == report_kind::Silent)
    silent(Duty, Report);
  else
    heard(Duty, Report);
  Due.insert(Service);
}

void duty_holder::heard(service_duty &Duty, const host_report &Report) {
  const announcement &Heard = Report.Heard;
  host_evidence &Evidence = Duty.Evidence[Heard.Host];
  if (Heard.Incarnation < Evidence.Heard.Incarnation)
    return;
  if (Heard.Incarnation > Evidence.Heard.Incarnation)
    Evidence.Needs.reset();
  Evidence.Heard = Heard;
  Evidence.HeardAt = Timers.now();
  if (Heard.Report.OldestGeneration > 0)
    Evidence.Needs = Heard.Report.OldestGeneration;
  // One balancer that hears it outweighs any number that do not.
  Duty.Silences.erase(Heard.Host);
  Evidence.Dead = false;
}

void duty_holder::silent(service_duty &Duty, const host_report &Report) {
  silence &Silence = Duty.Silences[Report.Heard.Host];
  const bool First = Silence.By.empty();
  if (First || Report.Heard.Incarnation > Silence.About.Incarnation)
    Silence.About = Report.Heard;
  Silence.By[Report.From] = Timers.now();
  if (!First)
    return;
  Silence.Since = Silence.AskedAt = Timers.now();
  askOthers(Report.Heard);
}

void duty_holder::askOthers(const announcement &About) {
  Hooks.Probe({About.Service, About.Host, About.Agent, About.Incarnation});
}

bool duty_holder::judgeSilences(service_duty &Duty) {
  const std::size_t Needed = std::min(Opinions, Hooks.Balancers());
  std::vector<announcement> Undecided;
  for (auto At = Duty.Silences.begin(); At != Duty.Silences.end();) {
    auto &[Host, Silence] = *At;
    std::erase_if(Silence.By, [&](const auto &Opinion) {
      return Timers.now() - Opinion.second > SilenceCounts;
    });
    if (Silence.By.empty()) {
      At = Duty.Silences.erase(At);
      continue;
    }
    if (Silence.By.size() >= Needed && Hooks.TrustsItself() &&
        Timers.now() - Silence.Since >= ProbeTime) {
      host_evidence &Evidence = Duty.Evidence[Host];
      Evidence.Dead = true;
      Evidence.DeadIncarnation = Silence.About.Incarnation;
    } else if (Timers.now() - Silence.AskedAt >= AskAgain) {
      Silence.AskedAt = Timers.now();
      Undecided.push_back(Silence.About);
    }
    ++At;
  }
  // An answer may come within the call and end the silence.
  for (const announcement &About : Undecided)
    askOthers(About);
  return !Duty.Silences.empty();
}

void duty_holder::tick(bool Synced) {
  if (!Synced)
    return;
  const std::set<std::string> Now = std::exchange(Due, {});
  int WritesLeft = WritesPerTick;
  for (const std::string &Service : Now) {
    service_duty &Duty = Duties[Service];
    if (!Hooks.Term(Service))
      continue;
    if (Duty.Busy || Duty.RetryAt > Timers.now() || WritesLeft == 0) {
      Due.insert(Service);
      continue;
    }
    if (judgeSilences(Duty))
      Due.insert(Service);
    step(Service, Duty);
    WritesLeft -= Duty.Busy ? 1 : 0;
    report(Service, Duty);
  }
}

plan_input duty_holder::inputFor(const std::string &Service, service_duty &Duty,
                                 std::uint64_t Term) {
  plan_input Input;
  Input.Stands = Duty.Stored ? &*Duty.Stored : nullptr;
  const membership *Known = Hooks.Known(Service);
  if (Known != nullptr) {
    Input.KnownVersion = Known->View.Version;
    if (Input.Stands == nullptr ||
        Known->View.Version > Input.Stands->View.Version) {
      Input.Stands = Known;
      Input.PlatformBehind = true;
    }
  }
  Input.Spec = Duty.Spec;
  Input.SpecVersion = Duty.SpecVersion;
  Input.Term = Term;
  Input.Evidence = Duty.Evidence;
  Input.Drained = Drained;
  Input.Zones = Zones;
  Input.Now = Timers.now();
  Input.LastGeneration = Duty.LastGeneration;
  // A new holder counts from when it first saw the host down.
  if (Input.Stands != nullptr)
    for (std::size_t I = 0; I < Input.Stands->Info.size(); ++I)
      if (Input.Stands->View.Targets[I].State == target_state::Down)
        Duty.DownSince.try_emplace(Input.Stands->Info[I].Host, Timers.now());
  Input.DownSince = Duty.DownSince;
  return Input;
}

void duty_holder::step(const std::string &Service, service_duty &Duty) {
  const auto Term = Hooks.Term(Service);
  const bool Nothing = !Duty.Spec && !Duty.Stored;
  if (!Term || Nothing)
    return;
  // A spec that was never good: there is nothing to carry out yet.
  if (!Duty.Spec && !Duty.Invalid.empty())
    return;
  if (Duty.Stored && Duty.Stored->Term > *Term)
    return;
  membership_plan Plan = planMembership(inputFor(Service, Duty, *Term));
  Duty.HeldBack = Plan.HeldBack;
  if (!Plan.HeldBack.empty())
    Due.insert(Service);
  if (Plan.Changed)
    write(Service, Duty, Plan);
}

void duty_holder::write(const std::string &Service, service_duty &Duty,
                        const membership_plan &Plan) {
  Duty.Busy = true;
  for (const std::string &Host : Plan.DeclaredDown) {
    ++Counters.HostsDeclaredDown;
    Duty.DownSince[Host] = Timers.now();
    note(std::string("declared ").append(Host).append(" down"));
  }
  Writer.write({"membership", Service}, toBody(Plan.Next), Duty.StoredVersion,
               [this, Service, Next = Plan.Next,
                New = Plan.NewGeneration](const write_result &Result) {
                 written(Service, Next, New, Result);
               });
}

void duty_holder::written(const std::string &Service, const membership &Next,
                          bool NewGeneration, const write_result &Result) {
  service_duty &Duty = Duties[Service];
  Duty.Busy = false;
  Due.insert(Service);
  switch (Result.Outcome) {
  case write_outcome::Written:
    Duty.Stored = Next;
    Duty.StoredVersion = Result.Object.Version;
    if (NewGeneration)
      Duty.LastGeneration = Timers.now();
    Hooks.OnObject(Result.Object);
    Hooks.OnWritten(Next);
    return;
  case write_outcome::Fenced:
    note("write of " + Service + " fenced");
    if (Result.Object.Version > 0)
      takeMembership(Result.Object);
    else
      Duty.StoredVersion = 0;
    Duty.RetryAt = Timers.now() + RetryPause / 4;
    return;
  case write_outcome::Unavailable:
  case write_outcome::Refused:
    Duty.RetryAt = Timers.now() + RetryPause;
    return;
  }
}

} // namespace marjoramrail::internal
