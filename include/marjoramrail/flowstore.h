//===- flowstore.h - Open flows that outlast a loss of power ----*- C++ -*-===//
///
/// \file
/// Keeps the open flows of a zone's targets in the platform's store, so that
/// their callers are told when VMs have lost power. Agents report their flows
/// to one balancer of the zone, which writes them all in one object; after a
/// restart an agent reads there what its target held before.
///
/// Usage:
/// \code
///   flow_reporter Reporter(Timers, Store, {"target.web-1", "brugge"},
///                          {.OpenFlows = ..., .OnLost = ...});
///   Reporter.start(/*HasPrevious=*/true);
///   Reporter.onRun({"run-2", Born});          // each time the target reports
///   Reporter.input(From, Datagram);           // a collector's question
///
///   flow_collector Collector(Timers, Store, checkpointKey("brugge"),
///                            {.Agents = ..., .Send = ...});
///   Collector.start();
///   Collector.input(Datagram);                // an agent's report
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
// What is kept
//===----------------------------------------------------------------------===//

/// An open flow, as a reset of it needs it.
struct open_flow {
  flow_key Flow;
  /// What the caller acknowledged last.
  std::uint32_t Acknowledged = 0;

  bool operator==(const open_flow &) const = default;
};

/// One run of a target's process; see target_report.
struct target_run {
  std::string Id;
  std::int64_t Born = 0;

  bool operator==(const target_run &) const = default;
};

/// The flows that one run of a target held a short while ago.
struct flow_checkpoint {
  target_run Run;
  std::vector<open_flow> Flows;

  bool operator==(const flow_checkpoint &) const = default;
};

/// The flows of a zone's targets, by the names of their entries.
using zone_checkpoint = std::map<std::string, flow_checkpoint>;

std::string encodeCheckpoint(const zone_checkpoint &Zone);
/// Fails with step::ValidateObject.
result<zone_checkpoint> decodeCheckpoint(const object_key &Key,
                                         const std::string &Body);

/// The kind under which flows are kept. Not that of targets and balancers:
/// nobody watches it.
inline constexpr const char *CheckpointKind = "marjoramrail-flows";
/// Where the flows of \p Zone's targets are kept.
object_key checkpointKey(const std::string &Zone);

//===----------------------------------------------------------------------===//
// What agents and collectors tell each other
//===----------------------------------------------------------------------===//

/// A collector asks for an agent's open flows, unless it has them already.
struct flow_report_request {
  /// Of the last report that the collector has; 0: of none.
  std::uint64_t Sequence = 0;
};

/// An agent's open flows, or a part of them if they fill several datagrams.
struct flow_report {
  /// The entry's name.
  std::string Name;
  target_run Run;
  /// Differs whenever the flows do.
  std::uint64_t Sequence = 0;
  std::uint8_t Part = 0;
  std::uint8_t Parts = 1;
  std::vector<open_flow> Flows;

  bool operator==(const flow_report &) const = default;
};

std::vector<std::uint8_t>
encodeFlowReportRequest(const flow_report_request &Request);
std::optional<flow_report_request>
decodeFlowReportRequest(std::span<const std::uint8_t> Bytes);
std::vector<std::uint8_t> encodeFlowReport(const flow_report &Report);
bool isFlowReport(std::span<const std::uint8_t> Bytes);
std::optional<flow_report>
decodeFlowReport(std::span<const std::uint8_t> Bytes);

//===----------------------------------------------------------------------===//
// The agent's side
//===----------------------------------------------------------------------===//

/// The agent's side of keeping flows: answers the collector of its zone, and
/// after a restart reads what was kept.
///
/// Nothing on a VM that has lost power knows which flows there were, and an
/// idle caller finds out only by its next request: one that may run only once
/// is lost with it, because nobody can say that it has not run. The symptom is
/// a tail of failed requests for many seconds after the power is back. With the
/// flows from the store each caller gets a reset before it asks again, and
/// opens a new flow.
class flow_reporter {
public:
  struct settings {
    /// The entry's name.
    std::string Name;
    std::string Zone;
  };

  struct hooks {
    /// The flows that were open at \p Moment and still are, the oldest first.
    std::function<std::vector<open_flow>(instant Moment)> OpenFlows;
    /// These flows are lost: another run of the target has begun.
    std::function<void(const std::vector<open_flow> &)> OnLost;
    /// A datagram for a collector.
    std::function<void(const endpoint &To, std::span<const std::uint8_t>)> Send;
    /// A call failed; \p Reason for the log.
    std::function<void(const std::string &Reason)> OnError;
  };

  flow_reporter(timer_service &Timers, platform_api Store, settings Settings,
                hooks Hooks);
  ~flow_reporter();
  flow_reporter(const flow_reporter &) = delete;
  flow_reporter &operator=(const flow_reporter &) = delete;

  /// Reads what a process before this one has reported, if there was one
  /// (\p HasPrevious). Until it has, or has given up, no collector gets an
  /// answer, which would replace that.
  void start(bool HasPrevious);
  /// The target has said which run it is.
  void onRun(const target_run &Run);
  /// The target has left: no flows are reported until another run begins.
  void leave();
  /// False if \p Bytes is no question.
  bool input(const endpoint &From, std::span<const std::uint8_t> Bytes);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===----------------------------------------------------------------------===//
// The balancer's side
//===----------------------------------------------------------------------===//

/// The balancer's side of keeping flows: the first balancer of a zone collects
/// the open flows of the zone's agents and keeps them in one object.
///
/// Were each agent to write its own flows, they would need a call each: within
/// the few calls that a site can spend, 200 agents would write every 40 s, and
/// hardly a flow would be kept when the power goes.
class flow_collector {
public:
  struct hooks {
    /// The agents to ask, by the names of their entries; none unless this
    /// balancer is the first of its zone.
    std::function<std::map<std::string, endpoint>()> Agents;
    /// A datagram for an agent.
    std::function<void(const endpoint &To, std::span<const std::uint8_t>)> Send;
    /// A call failed; \p Reason for the log.
    std::function<void(const std::string &Reason)> OnError;
  };

  flow_collector(timer_service &Timers, platform_api Store, object_key Key,
                 hooks Hooks);
  ~flow_collector();
  flow_collector(const flow_collector &) = delete;
  flow_collector &operator=(const flow_collector &) = delete;

  void start();
  /// A datagram for which isFlowReport() is true.
  void input(std::span<const std::uint8_t> Bytes);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FLOWSTORE_H
