//===- flow_zone.h - A zone that saves its open flows -----------*- C++ -*-===//
///
/// \file
/// Test fixture with reporters and collectors that share one store, on a clock
/// that the test advances. Datagrams arrive at once unless the test drops them.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_FLOWSTORE_FLOW_ZONE_H
#define MARJORAMRAIL_TEST_FLOWSTORE_FLOW_ZONE_H

#include "directory/site_store.h"
#include "marjoramrail/flowstore.h"

namespace marjoramrail::testing {

/// A process of an agent.
struct reporter_process {
  reporter_process(timer_service &Timers, fake_platform &Store,
                   const std::string &Name, const endpoint &Self,
                   std::vector<open_flow> Open)
      : Self(Self), Open(std::move(Open)),
        Reporter(Timers, siteStore(Store, Faults, CheckpointKind),
                 {Name, "brugge"}, hooks()) {
    Reporter.start(/*HasPrevious=*/true);
  }

  flow_reporter::hooks hooks() {
    flow_reporter::hooks Hooks;
    Hooks.OpenFlows = [this](instant Moment) { return openAt(Moment); };
    Hooks.OnLost = [this](const flow_checkpoint &Ended) {
      Lost.insert(Lost.end(), Ended.Flows.begin(), Ended.Flows.end());
    };
    Hooks.Send = [this](const endpoint &, std::span<const std::uint8_t> Bytes) {
      Sent.emplace_back(Bytes.begin(), Bytes.end());
    };
    Hooks.OnError = [](const std::string &) {};
    return Hooks;
  }

  /// Opens a flow; those in Open at the start were opened before.
  void open(const open_flow &Flow, instant Now) {
    Open.push_back(Flow);
    OpenedAt[Flow.Flow] = Now;
  }

  std::vector<open_flow> openAt(instant Moment) const {
    std::vector<open_flow> Flows = Open;
    std::erase_if(Flows, [&](const open_flow &Flow) {
      const auto Found = OpenedAt.find(Flow.Flow);
      return Found != OpenedAt.end() && Found->second > Moment;
    });
    return Flows;
  }

  endpoint Self;
  store_faults Faults;
  std::vector<open_flow> Open;
  std::map<flow_key, instant> OpenedAt;
  std::vector<open_flow> Lost;
  /// Datagrams in flight to a collector.
  std::vector<std::vector<std::uint8_t>> Sent;
  flow_reporter Reporter;
};

/// Agents by the names of their entries in the store.
using reporters = std::map<std::string, std::unique_ptr<reporter_process>>;

/// A process of a balancer.
struct collector_process {
  collector_process(timer_service &Timers, fake_platform &Store,
                    reporters &Agents)
      : Agents(Agents),
        Collector(Timers, siteStore(Store, Faults, CheckpointKind),
                  checkpointKey("brugge"), hooks()) {
    Collector.start();
  }

  flow_collector::hooks hooks() {
    flow_collector::hooks Hooks;
    Hooks.Agents = [this] {
      std::map<std::string, endpoint> Known;
      for (const auto &[Name, Agent] : Agents)
        if (IsCollecting)
          Known[Name] = Agent->Self;
      return Known;
    };
    Hooks.Send = [this](const endpoint &To,
                        std::span<const std::uint8_t> Bytes) {
      for (auto &[Name, Agent] : Agents)
        if (Agent->Self == To && !DropsDatagrams)
          exchange(*Agent, Bytes);
    };
    Hooks.StoreAnsweredAt = [this] { return StoreAnsweredAt; };
    Hooks.OnError = [](const std::string &) {};
    return Hooks;
  }

  void exchange(reporter_process &Agent, std::span<const std::uint8_t> Bytes) {
    Agent.Reporter.input({0x0a000101, 7720}, Bytes);
    for (const auto &Datagram : std::exchange(Agent.Sent, {})) {
      Received += Datagram.size();
      Collector.input(Datagram);
    }
  }

  reporters &Agents;
  store_faults Faults;
  bool IsCollecting = true;
  std::optional<instant> StoreAnsweredAt;
  /// All datagrams of this collector are dropped.
  bool DropsDatagrams = false;
  /// Total size of the agents' reports in bytes.
  std::size_t Received = 0;
  flow_collector Collector;
};

struct flow_zone {
  timer_service Timers;
  fake_platform Store{Timers};
  reporters Agents;
  std::vector<open_flow> TwoFlows{{{{0x64400001, 1001}, FirstAddress}, 7},
                                  {{{0x64400002, 1002}, FirstAddress}, 8}};

  flow_zone() { advanceTime(std::chrono::seconds(1)); }

  void advanceTime(duration Time) { Timers.advance(Timers.now() + Time); }

  std::unique_ptr<collector_process> startCollector() {
    return std::make_unique<collector_process>(Timers, Store, Agents);
  }

  /// Starts a process of the agent of \p Name; its previous process is
  /// destroyed.
  reporter_process &startAgent(const std::string &Name,
                               std::vector<open_flow> Open = {}) {
    const endpoint Self{0x0a000200 + static_cast<std::uint32_t>(
                                         std::hash<std::string>()(Name) % 1000),
                        8172};
    Agents.erase(Name);
    Agents[Name] = std::make_unique<reporter_process>(Timers, Store, Name, Self,
                                                      std::move(Open));
    return *Agents[Name];
  }

  /// Starts an agent whose target runs as \p Run.
  reporter_process &runAgent(const std::string &Name, const target_run &Run,
                             std::vector<open_flow> Open = {}) {
    reporter_process &Agent = startAgent(Name, std::move(Open));
    Agent.Reporter.onRun(Run, Timers.now());
    return Agent;
  }

  /// Returns what the store holds of \p Name, without the number of the report,
  /// which depends on the time.
  flow_checkpoint checkpointOf(const std::string &Name) const {
    flow_checkpoint Checkpoint = numberedCheckpointOf(Name);
    Checkpoint.Sequence = 0;
    return Checkpoint;
  }

  flow_checkpoint numberedCheckpointOf(const std::string &Name) const {
    const object_key Key = checkpointKey("brugge");
    const auto Zone = decodeCheckpoint(Key, Store.get(Key.Kind, Key.Name).Body);
    if (!Zone || !Zone->contains(Name))
      return {};
    return Zone->at(Name);
  }
};

inline const target_run FirstRun{"run-1", 100};
inline const target_run SecondRun{"run-2", 200};
inline const std::string Web = "target.web-1";

/// A zone with a running collector.
struct checkpoint_fixture : flow_zone {
  std::unique_ptr<collector_process> Collector = startCollector();

  /// Saves a target's flows; then its VM and the collector's VM lose power.
  void checkpointAndLosePower() {
    runAgent(Web, FirstRun, TwoFlows);
    advanceTime(std::chrono::seconds(10));
    Agents.clear();
    Collector.reset();
  }
};

inline std::vector<open_flow> manyFlows(std::uint16_t Count) {
  std::vector<open_flow> Many;
  for (std::uint16_t Port = 1; Port <= Count; ++Port)
    Many.push_back({{{0x6440ffff, Port}, {0xc612ffff, 65535}}, 0xffffffff});
  return Many;
}

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_FLOWSTORE_FLOW_ZONE_H
