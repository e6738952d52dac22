//===- flowstore.h - Open flows saved in the store --------------*- C++ -*-===//
///
/// \file
/// Saves the open flows of a zone's targets in the platform's store, so that
/// callers can be sent a reset after their target's VM has lost power. Agents
/// report their open flows to one balancer of the zone, which writes the flows
/// of all agents into one object, the checkpoint. After a restart an agent
/// reads from the checkpoint which flows its target held before.
///
/// Usage:
/// \code
///   flow_reporter Reporter(Timers, Store, {"target.web-1", "brugge"},
///                          {.OpenFlows = ..., .OnLost = ...});
///   Reporter.start(/*HasPrevious=*/true);
///   Reporter.onRun({"run-2", Born}, OnlyRunAsOf); // after each report of it
///   Reporter.input(From, Datagram);           // a request of a collector
///
///   flow_collector Collector(Timers, Store, checkpointKey("brugge"),
///                            {.Agents = ..., .Send = ...});
///   Collector.start();
///   Collector.input(Datagram);                // a report of an agent
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLOWSTORE_H
#define MARJORAMRAIL_FLOWSTORE_H

#include "marjoramrail/platform.h"
#include "marjoramrail/wire.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marjoramrail {

//===----------------------------------------------------------------------===//
// The checkpoint
//===----------------------------------------------------------------------===//

/// An open flow, with the data needed to send its caller a valid reset.
struct open_flow {
  flow_key Flow;
  /// Sequence number that the caller acknowledged last.
  std::uint32_t Acknowledged = 0;

  bool operator==(const open_flow &) const = default;
};

/// One run of a target's process; see target_report.
struct target_run {
  std::string Id;
  std::int64_t Born = 0;

  bool operator==(const target_run &) const = default;
};

/// The open flows of one run of a target, as last saved.
struct flow_checkpoint {
  target_run Run;
  std::vector<open_flow> Flows;
  /// flow_report::Sequence of the report; 0 if unknown.
  std::uint64_t Sequence = 0;

  bool operator==(const flow_checkpoint &) const = default;
};

/// The checkpoints of a zone's targets, by the names of the targets' entries in
/// the store.
using zone_checkpoint = std::map<std::string, flow_checkpoint>;

std::string encodeCheckpoint(const zone_checkpoint &Zone);
/// Fails with step::ValidateObject.
result<zone_checkpoint> decodeCheckpoint(const object_key &Key,
                                         const std::string &Body);

/// Object kind of checkpoints. It differs from the kind of targets and
/// balancers, because checkpoints are not watched.
inline constexpr const char *CheckpointKind = "marjoramrail-flows";
/// Key of the object that holds the checkpoint of \p Zone's targets.
object_key checkpointKey(const std::string &Zone);

//===----------------------------------------------------------------------===//
// Messages between agents and collectors
//===----------------------------------------------------------------------===//

/// Sent by a collector to request an agent's open flows. The agent does not
/// answer if the collector already has its latest report.
struct flow_report_request {
  /// Sequence number of the last report that the collector has; 0 if it has
  /// none.
  std::uint64_t Sequence = 0;
};

/// An agent's open flows. They are split into several parts if they do not fit
/// into one datagram.
struct flow_report {
  /// Name of the target's entry in the store.
  std::string Name;
  target_run Run;
  /// Increases whenever the reported flows change; see reportSequence().
  std::uint64_t Sequence = 0;
  std::uint8_t Part = 0;
  std::uint8_t Parts = 1;
  std::vector<open_flow> Flows;

  bool operator==(const flow_report &) const = default;
};

/// The sequence number of a report whose flows were all open at \p Moment, by
/// the steady clock of the agent's VM. That clock is not stepped and does not
/// go back until the VM is started anew, so that numbers order the reports of
/// all runs in between.
std::uint64_t reportSequence(instant Moment);
/// The moment that \p Sequence stands for; nothing for a number of an agent of
/// an earlier version, which is not a moment.
std::optional<instant> reportMoment(std::uint64_t Sequence);

std::vector<std::uint8_t>
encodeFlowReportRequest(const flow_report_request &Request);
std::optional<flow_report_request>
decodeFlowReportRequest(std::span<const std::uint8_t> Bytes);
std::vector<std::uint8_t> encodeFlowReport(const flow_report &Report);
bool isFlowReport(std::span<const std::uint8_t> Bytes);
std::optional<flow_report>
decodeFlowReport(std::span<const std::uint8_t> Bytes);

//===----------------------------------------------------------------------===//
// Agent
//===----------------------------------------------------------------------===//

/// Reports the agent's open flows to the collector of its zone. After a restart
/// it reads the flows that were saved before.
///
/// When a VM loses power, its agent and target forget all flows. An idle caller
/// notices only when it sends its next request. If that request may run only
/// once, it cannot be repeated, because it is unknown whether it has run.
/// Requests then fail for many seconds after power has returned. With the flows
/// from the store, the agent sends each caller a reset before its next request,
/// and the caller opens a new flow.
class flow_reporter {
public:
  struct settings {
    /// Name of the target's entry in the store.
    std::string Name;
    std::string Zone;
    /// The longest life of a flow.
    duration FlowLife = std::chrono::minutes(1);
  };

  struct hooks {
    /// Returns the flows that were open at \p Moment and still are, the oldest
    /// first.
    std::function<std::vector<open_flow>(instant Moment)> OpenFlows;
    /// Called with flows of a run that is over once none of them can be open:
    /// the VM was started anew, another run of the target is the present one,
    /// or their longest life is over.
    std::function<void(const flow_checkpoint &Ended)> OnLost;
    /// Sends a datagram to a collector.
    std::function<void(const endpoint &To, std::span<const std::uint8_t>)> Send;
    /// Called when a call to the store or the decoding of a checkpoint has
    /// failed; \p Reason is meant for the log.
    std::function<void(const std::string &Reason)> OnError;
  };

  flow_reporter(timer_service &Timers, platform_api Store, settings Settings,
                hooks Hooks);
  ~flow_reporter();
  flow_reporter(const flow_reporter &) = delete;
  flow_reporter &operator=(const flow_reporter &) = delete;

  /// Reads the checkpoint if an earlier process of this agent may have reported
  /// flows (\p HasPrevious). Collectors get no report until the read has
  /// succeeded or its retries have ended; an earlier report would overwrite the
  /// checkpoint.
  ///
  /// The first read may return a checkpoint that is seconds old. That suffices
  /// if only the agent was restarted; otherwise the latest one is read as soon
  /// as the target has reported another run.
  void start(bool HasPrevious);
  /// \p Run is the target's present run as far as its reports tell, of which
  /// one has just arrived. \p OnlyRunAsOf: the latest moment for which they
  /// show that the open flows are those of \p Run, see target_reports. Flows
  /// that were opened later are not reported yet. If there is no such moment,
  /// \p Run may be one that is over and whose delayed report came first after a
  /// restart of the agent: the target may still hold the flows of the run that
  /// was saved, which get no reset and remain in the checkpoint.
  void onRun(const target_run &Run, std::optional<instant> OnlyRunAsOf);
  /// The target has deregistered: no flows are reported until another run
  /// begins.
  void leave();
  /// Handles a datagram. Returns false if \p Bytes is not a
  /// flow_report_request.
  bool input(const endpoint &From, std::span<const std::uint8_t> Bytes);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===----------------------------------------------------------------------===//
// Balancer
//===----------------------------------------------------------------------===//

/// Collects the open flows of a zone's agents and saves them in one object of
/// the store. Only the first balancer of a zone does so.
///
/// If each agent wrote its own flows, it would need one call to the store each
/// time. Within the call rate that the store grants a site, 200 agents could
/// write only every 40 s, and most flows would be missing from the checkpoint
/// when power is lost.
class flow_collector {
public:
  struct hooks {
    /// Returns the agents that reports are requested from, by the names of
    /// their entries. Empty unless this balancer is the first of its zone.
    std::function<std::map<std::string, endpoint>()> Agents;
    /// Sends a datagram to an agent.
    std::function<void(const endpoint &To, std::span<const std::uint8_t>)> Send;
    /// Returns when the store is last known to have answered a call of this or
    /// another process, if ever.
    std::function<std::optional<instant>()> StoreAnsweredAt;
    /// Called when a call to the store or the decoding of a checkpoint has
    /// failed; \p Reason is meant for the log.
    std::function<void(const std::string &Reason)> OnError;
  };

  flow_collector(timer_service &Timers, platform_api Store, object_key Key,
                 hooks Hooks);
  ~flow_collector();
  flow_collector(const flow_collector &) = delete;
  flow_collector &operator=(const flow_collector &) = delete;

  void start();
  /// Handles a datagram for which isFlowReport() is true.
  void input(std::span<const std::uint8_t> Bytes);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FLOWSTORE_H
