//===- small_fleet.h - Balancers and agents in one process ------*- C++ -*-===//
///
/// \file
/// Runs the cores of balancers and agents on one simulated clock, joined by
/// links that can delay, lose and block datagrams, with the fake platform. Each
/// process has its own timers, so that it can be frozen: its clock stops and
/// incoming messages wait; when it resumes, it continues without knowing that
/// time has passed.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_SMALL_FLEET_H
#define MARJORAMRAIL_FLEET_SMALL_FLEET_H

#include "fleet/fake_platform.h"
#include "fleet/rendezvous.h"
#include "marjoramrail/fleet.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace marjoramrail::testing {

/// The common part of a balancer and an agent.
struct process {
  endpoint At;
  std::string Zone;
  timer_service Timers;
  bool Frozen = false;
  bool Dead = false;
  platform_link Link;
  /// Tasks that wait while the process is frozen.
  std::deque<std::function<void()>> Waiting;
  std::function<void(const endpoint &, fleet_bytes)> Input;

  bool isRunning() const { return !Frozen && !Dead; }

  void deliver(std::function<void()> Task) {
    constexpr std::size_t SocketBuffer = 200;
    if (Dead || (Frozen && Waiting.size() >= SocketBuffer))
      return;
    if (Frozen)
      Waiting.push_back(std::move(Task));
    else
      Task();
  }

  void resume(instant Now) {
    Frozen = false;
    // Its timers run first, as on an event loop whose thread resumes.
    Timers.advance(Now);
    while (!Waiting.empty()) {
      auto Task = std::move(Waiting.front());
      Waiting.pop_front();
      Task();
    }
  }
};

struct test_balancer : process {
  std::string Name;
  std::unique_ptr<fleet_node> Node;
  /// Versions of views in the order in which they were applied.
  std::map<std::string, std::vector<std::uint64_t>> AppliedVersions;
  std::vector<std::string> Notes;
};

struct test_agent : process {
  std::string Host;
  std::unique_ptr<heartbeat_sender> HeartbeatSender;
  agent_report Report;
  std::optional<membership> View;
  int TimesDeclaredDead = 0;
  bool NeedsOld = false;
};

class small_fleet {
public:
  explicit small_fleet(std::uint64_t Seed = 1) : Random(Seed) {}

  timer_service Net;
  fake_platform Platform{Net};
  duration Latency = std::chrono::milliseconds(3);
  double Loss = 0;
  std::uint32_t Shards = 4;
  std::size_t SeedCount = 3;
  std::deque<std::unique_ptr<test_balancer>> Balancers;
  std::deque<std::unique_ptr<test_agent>> Agents;
  std::uint64_t Datagrams = 0;
  /// Returns true for a datagram that is lost on a cut link.
  std::function<bool(const process &From, const process &To)> Cut;

  test_balancer &addBalancer(const std::string &Name, const std::string &Zone,
                             std::uint32_t Incarnation = 1) {
    return startBalancer(Name, Zone, 0x0a000000U + ++LastAddress, Incarnation);
  }

  test_balancer &startBalancer(const std::string &Name, const std::string &Zone,
                               std::uint32_t Address,
                               std::uint32_t Incarnation) {
    auto Fresh = std::make_unique<test_balancer>();
    test_balancer &Balancer = *Fresh;
    Balancer.Name = Name;
    start(Balancer, Zone, Address);
    Balancer.Node = std::make_unique<fleet_node>(
        Balancer.Timers, platformFor(Balancer),
        fleet_settings{.Name = Name,
                       .Zone = Zone,
                       .Control = Balancer.At,
                       .Seeds = seeds(),
                       .Shards = Shards,
                       .Seed = LastAddress,
                       .Incarnation = Incarnation},
        fleet_hooks{.Send = sender(Balancer),
                    .OnView =
                        [&Balancer](const membership &Members) {
                          Balancer.AppliedVersions[Members.View.Name].push_back(
                              Members.View.Version);
                        },
                    .WallClockMs = [this] { return millis(); },
                    .Note =
                        [&Balancer](const std::string &Text) {
                          Balancer.Notes.push_back(Text);
                        }});
    Balancer.Input = [&Balancer](const endpoint &From, fleet_bytes Bytes) {
      Balancer.Node->input(From, Bytes);
    };
    Balancers.push_back(std::move(Fresh));
    return Balancer;
  }

  test_agent &addAgent(const std::string &Service, const std::string &Host,
                       const std::string &Zone, std::uint32_t Incarnation = 1) {
    return startAgent(Service, Host, Zone, 0x0b000000U + ++LastAddress,
                      Incarnation);
  }

  /// Ends the process of \p Agent and starts another one on the same VM.
  test_agent &restartAgent(test_agent &Agent, const std::string &Service,
                           std::uint32_t Incarnation) {
    Agent.Dead = true;
    return startAgent(Service, std::exchange(Agent.Host, "gone"), Agent.Zone,
                      Agent.At.Address, Incarnation);
  }

  test_agent &startAgent(const std::string &Service, const std::string &Host,
                         const std::string &Zone, std::uint32_t Address,
                         std::uint32_t Incarnation) {
    auto Fresh = std::make_unique<test_agent>();
    test_agent &Agent = *Fresh;
    Agent.Host = Host;
    start(Agent, Zone, Address);
    Agent.HeartbeatSender = std::make_unique<heartbeat_sender>(
        Agent.Timers,
        heartbeat_settings{.Host = Host,
                           .Service = Service,
                           .Zone = Zone,
                           .Agent = Agent.At,
                           .Relay = Agent.At,
                           .Seeds = seeds(),
                           .Slots = 4,
                           .Incarnation = Incarnation},
        heartbeat_hooks{
            .Send = sender(Agent),
            .Describe = [&Agent] { return describe(Agent); },
            .OnView =
                [&Agent](const membership &Members) { Agent.View = Members; },
            .OnDeclaredDead =
                [&Agent](std::uint32_t) { ++Agent.TimesDeclaredDead; }});
    Agent.Input = [&Agent](const endpoint &From, fleet_bytes Bytes) {
      Agent.HeartbeatSender->input(From, Bytes);
    };
    Agents.push_back(std::move(Fresh));
    return Agent;
  }

  /// Adds a service with its agents spread over the zones.
  void addService(const std::string &Name, std::uint32_t Number, int Hosts,
                  const std::vector<std::string> &Zones) {
    service_spec Spec;
    Spec.Name = Name;
    Spec.Number = service_id{Number};
    Spec.Address = {0x0a640000U + Number, 443};
    Spec.Zones = Zones;
    Platform.put("service", Name, toJson(Spec));
    for (int I = 1; I <= Hosts; ++I)
      addAgent(Name, Name + "-" + std::to_string(I), Zones[I % Zones.size()]);
  }

  void run(duration Time) {
    const instant End = Net.now() + Time;
    while (Net.now() < End) {
      Net.advance(std::min(End, Net.now() + Step));
      for (auto &Balancer : Balancers)
        if (Balancer->isRunning())
          Balancer->Timers.advance(Net.now());
      for (auto &Agent : Agents)
        if (Agent->isRunning())
          Agent->Timers.advance(Net.now());
    }
  }

  /// Runs until \p Done, at most \p Most; returns the time it took.
  std::optional<duration> runUntil(const std::function<bool()> &Done,
                                   duration Most) {
    const instant Start = Net.now();
    while (Net.now() - Start < Most) {
      if (Done())
        return Net.now() - Start;
      run(Step);
    }
    return std::nullopt;
  }

  test_balancer *holderOf(const std::string &Service) {
    for (auto &Balancer : Balancers)
      if (Balancer->isRunning() && Balancer->Node->heldShards().size() > 0)
        for (const std::uint32_t Shard : Balancer->Node->heldShards())
          if (Shard == shard(Service))
            return Balancer.get();
    return nullptr;
  }

  std::uint32_t shard(const std::string &Service) const {
    return internal::shardOf(Service, Shards);
  }

  /// True if every running balancer has the same view, with \p Serving targets
  /// ready.
  bool agreed(const std::string &Service, std::size_t Serving) {
    std::set<std::uint64_t> Versions;
    for (auto &Balancer : Balancers) {
      if (!Balancer->isRunning())
        continue;
      const membership *Members = Balancer->Node->find(Service);
      if (Members == nullptr || ready(*Members) != Serving)
        return false;
      Versions.insert(Members->View.Version);
    }
    return Versions.size() == 1;
  }

  static std::size_t ready(const membership &Members) {
    std::size_t Count = 0;
    for (const target &Target : Members.View.Targets)
      Count += Target.State == target_state::Ready ? 1 : 0;
    return Count;
  }

  static std::optional<target_state> stateOf(const membership *Members,
                                             const std::string &Host) {
    for (std::size_t I = 0; Members != nullptr && I < Members->Info.size(); ++I)
      if (Members->Info[I].Host == Host)
        return Members->View.Targets[I].State;
    return std::nullopt;
  }

  std::int64_t millis() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Net.now().time_since_epoch())
        .count();
  }

private:
  static constexpr duration Step = std::chrono::milliseconds(5);

  static agent_report describe(const test_agent &Agent) {
    agent_report Report = Agent.Report;
    if (Agent.View) {
      Report.ViewVersion = Agent.View->View.Version;
      const auto &Generations = Agent.View->View.Generations;
      if (!Generations.empty())
        Report.OldestGeneration = Agent.NeedsOld ? Generations.back().Number
                                                 : Generations.front().Number;
    }
    return Report;
  }

  std::vector<endpoint> seeds() const {
    std::vector<endpoint> Seeds;
    for (std::uint32_t I = 1; I <= SeedCount; ++I)
      Seeds.push_back({0x0a000000U + I, 4000});
    return Seeds;
  }

  void start(process &Process, const std::string &Zone, std::uint32_t Address) {
    Process.At = {Address, 4000};
    Process.Zone = Zone;
    Process.Timers.advance(Net.now());
    At[Process.At] = &Process;
  }

  fleet_send sender(process &From) {
    return [this, &From](const endpoint &To, fleet_bytes Bytes) {
      ++Datagrams;
      const auto Found = At.find(To);
      if (Found == At.end() || (Cut && Cut(From, *Found->second)) ||
          (Loss > 0 && std::uniform_real_distribution<>()(Random) < Loss))
        return;
      process *Receiver = Found->second;
      std::vector<std::uint8_t> Copy(Bytes.begin(), Bytes.end());
      Net.after(Latency, [Receiver, Sender = From.At, Copy = std::move(Copy)] {
        Receiver->deliver(
            [Receiver, Sender, Copy] { Receiver->Input(Sender, Copy); });
      });
    };
  }

  /// Returns the platform as one process reaches it; answers wait while the
  /// process is frozen.
  platform_api platformFor(process &Process) {
    platform_api Api = Platform.api(&Process.Link);
    auto Late = [&Process](platform_callback Callback) -> platform_callback {
      return [&Process,
              Callback = std::move(Callback)](const platform_reply &Reply) {
        Process.deliver([Callback, Reply] { Callback(Reply); });
      };
    };
    platform_api Wrapped;
    Wrapped.Read = [=](const object_key &Key, platform_callback Callback) {
      Api.Read(Key, Late(std::move(Callback)));
    };
    Wrapped.List = [=](const std::string &Kind, platform_callback Callback) {
      Api.List(Kind, Late(std::move(Callback)));
    };
    Wrapped.Write = [=](const platform_write &Write,
                        platform_callback Callback) {
      Api.Write(Write, Late(std::move(Callback)));
    };
    Wrapped.Watch = [=](std::uint64_t Since, duration Wait,
                        platform_callback Callback) {
      Api.Watch(Since, Wait, Late(std::move(Callback)));
    };
    return Wrapped;
  }

  std::mt19937_64 Random;
  std::uint32_t LastAddress = 0;
  std::map<endpoint, process *> At;
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_FLEET_SMALL_FLEET_H
