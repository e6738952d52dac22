//===- agent_messages.h - Agents and balancers ------------------*- C++ -*-===//
///
/// \file
/// The short datagrams between agents and balancers: load reports, the requests
/// for them, and what balancers tell agents about their registration and about
/// the operators' configuration. Packets of flows are in wire.h.
///
/// Usage:
/// \code
///   std::array<std::uint8_t, LoadReportBytes> Buffer;
///   const std::size_t Size = encodeLoadReport(Report, Buffer);
///   ...
///   load_report Report;
///   if (decodeLoadReport(Bytes, Report))
///     use(Report);
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_AGENT_MESSAGES_H
#define MARJORAMRAIL_AGENT_MESSAGES_H

#include "marjoramrail/base.h"
#include "marjoramrail/wire.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace marjoramrail {

//===----------------------------------------------------------------------===//
// Load reports
//===----------------------------------------------------------------------===//

/// Number of priorities that a load report tells apart. The last one stands for
/// all that are less urgent.
inline constexpr std::size_t ReportedPriorities = 4;

/// The position of \p Priority in the arrays of capacity_report.
constexpr std::size_t reportedPriority(std::uint8_t Priority) {
  return std::min<std::size_t>(Priority, ReportedPriorities - 1);
}

/// What an agent that schedules requests by service level can take now.
struct capacity_report {
  /// Number of new flows whose requests would start at once.
  std::uint16_t FreeSlots = 0;
  /// Requests that the agent holds for its target, by priority.
  std::array<std::uint16_t, ReportedPriorities> Waiting{};
  /// Expected time until a new request would start, by priority; in whole
  /// milliseconds, 65,535 at most.
  std::array<duration, ReportedPriorities> Wait{};
  /// Typical time from the delivery of a request to its answer if it need not
  /// wait at the target; zero if not known yet.
  duration ServiceTime = duration::zero();
  /// Number of balancers that the agent reports to.
  std::uint16_t Balancers = 1;

  bool operator==(const capacity_report &) const = default;
};

/// Load and state of an agent's target, sent to the balancers that send packets
/// to the agent.
struct load_report {
  service_id Service{};
  endpoint Agent;
  /// New flows are accepted: the target is running, its registration is known
  /// to the balancers, and it is not being drained.
  bool Admitting = false;
  /// The target responds to packets that are offered to it and accepts new
  /// flows.
  bool Answering = true;
  /// Requests at the target now, and how many it can process at once.
  std::uint16_t Active = 0;
  std::uint16_t Slots = 1;
  /// Number of open flows.
  std::uint32_t Flows = 0;
  /// Share of the slots in use, smoothed over about one second, in thousandths.
  std::uint16_t Busy = 0;
  /// Smoothed time to the first byte of an answer.
  duration Latency = duration::zero();
  /// Remaining time for which the target is slower because it has just started.
  duration Warmup = duration::zero();
  /// Share of failures among the target's recent answers, in thousandths.
  std::uint16_t Failing = 0;
  /// What the agent holds of the operators' configuration, see flow_policy: it
  /// takes the target's zone for evacuated, and the limit of new flows while
  /// the target warms up.
  bool Evacuated = false;
  std::uint32_t WarmupRate = 0;
  /// Set in reports to balancers that state service levels.
  std::optional<capacity_report> Capacity = {};

  bool operator==(const load_report &) const = default;
};

inline constexpr std::size_t LoadReportBytes = 40;
/// Size of a report with load_report::Capacity. Older balancers cannot read it.
inline constexpr std::size_t LongLoadReportBytes = 64;

/// Returns the size written, or 0 if \p Buffer is too small.
std::size_t encodeLoadReport(const load_report &Report,
                             std::span<std::uint8_t> Buffer);
bool isLoadReport(bytes_view Bytes);
bool decodeLoadReport(bytes_view Bytes, load_report &Report);

/// For how long an agent reports after a request for a load_report. An agent of
/// an older version that does not know Once treats it as Continued.
enum class report_span : std::uint8_t { Continued = 0, Once = 1 };

/// Requests a load_report from an agent.
struct load_report_request {
  report_span Span = report_span::Continued;
  /// The balancer reads reports with load_report::Capacity. An agent of an
  /// older version treats such a request as Continued.
  bool ReadsCapacity = false;

  bool operator==(const load_report_request &) const = default;
};

inline constexpr std::size_t LoadReportRequestBytes = 4;
std::size_t encodeLoadReportRequest(const load_report_request &Request,
                                    std::span<std::uint8_t> Buffer);
std::optional<load_report_request> decodeLoadReportRequest(bytes_view Bytes);

//===----------------------------------------------------------------------===//
// Notices to agents
//===----------------------------------------------------------------------===//

/// Informs an agent that it is not in the store's registry. Its entry was
/// removed while the agent was unreachable, and the agent has to register
/// again.
inline constexpr std::size_t UnregisteredNoticeBytes = 4;
std::size_t encodeUnregisteredNotice(std::span<std::uint8_t> Buffer);
bool isUnregisteredNotice(bytes_view Bytes);

/// Informs an agent that does not admit flows that its registration for this
/// service has been known for SettleTime, so it need not wait for confirmation
/// by the store.
inline constexpr std::size_t RegisteredNoticeBytes = 8;
std::size_t encodeRegisteredNotice(service_id Service,
                                   std::span<std::uint8_t> Buffer);
bool decodeRegisteredNotice(bytes_view Bytes, service_id &Service);

/// Informs an agent that does not admit flows that its registration for this
/// service was in the first registry this balancer read after its start. The
/// entry was written earlier, by this run of the agent or a previous one, so
/// all balancers know it.
inline constexpr std::size_t RegistrationFoundNoticeBytes = 8;
std::size_t encodeRegistrationFoundNotice(service_id Service,
                                          std::span<std::uint8_t> Buffer);
bool decodeRegistrationFoundNotice(bytes_view Bytes, service_id &Service);

/// What the operators' configuration says about new flows at an agent's target.
/// Balancers send it to agents whose load report shows something else. Each
/// part has the version of its source; an agent ignores a part that is not
/// newer than what it holds, since the balancer may have been unreachable.
struct flow_policy {
  service_id Service{};
  /// The version of the table of evacuations; 0 if the balancer has none.
  std::uint64_t EvacuationsVersion = 0;
  /// The target's zone is evacuated: the target gets no new flows.
  bool Evacuated = false;
  /// The version of the configuration; 0 if the balancer has none.
  std::uint64_t RoutesVersion = 0;
  /// New flows per 1,000 seconds that a target of the service bears while it is
  /// warming up; 0 means that there is no limit.
  std::uint32_t WarmupRate = 0;

  bool operator==(const flow_policy &) const = default;
};

/// load_report::WarmupRate of an agent that has not been told the rate.
inline constexpr std::uint32_t UnknownWarmupRate = UINT32_MAX;

/// Whether \p Policy has a part that differs from what \p Report states.
bool differsFrom(const flow_policy &Policy, const load_report &Report);

inline constexpr std::size_t FlowPolicyBytes = 28;
std::size_t encodeFlowPolicy(const flow_policy &Policy,
                             std::span<std::uint8_t> Buffer);
std::optional<flow_policy> decodeFlowPolicy(bytes_view Bytes);

} // namespace marjoramrail

#endif // MARJORAMRAIL_AGENT_MESSAGES_H
