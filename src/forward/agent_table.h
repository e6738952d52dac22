//===- agent_table.h - The agents that a balancer sends to -----*- C++ -*-===//
///
/// \file
/// What a balancer knows of each agent: its entry in the store, its last
/// report, and whether it still confirms what is sent to it.
///
/// A VM that dies or is cut off says nothing; packets sent there vanish, and a
/// list that is walked through it ends there. Agents therefore report as long
/// as packets come. One that got packets, or a question, and has not reported
/// for SuspectAfter goes to the end of every list and gets no new flows until
/// it reports again.
///
/// A list names agents that were sent nothing for long. Whether those are there
/// is asked when a walk begins; who has not answered by the caller's next
/// packet stands behind the others in the next walk. Without the question a VM
/// that is gone would swallow every packet of a flow whose owner stands behind
/// it.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_AGENT_TABLE_H
#define MARJORAMRAIL_FORWARD_AGENT_TABLE_H

#include "forward/lookup_cursor.h"
#include "marjoramrail/forward.h"

#include <map>
#include <unordered_map>

namespace marjoramrail::internal {

struct endpoint_hash {
  std::size_t operator()(const endpoint &Endpoint) const {
    const std::uint64_t Key =
        std::uint64_t{Endpoint.Address} << 16 | Endpoint.Port;
    return static_cast<std::size_t>(Key * 0x9E3779B97F4A7C15ULL >> 7);
  }
};

struct agent_state {
  endpoint Agent;
  service_id Service{};
  /// The zone's place in the order of zones: 0 is the balancer's own. Lists go
  /// zone by zone, so that a walk crosses each link between zones once.
  std::uint32_t ZoneOrder = 0;
  bool Draining = false;
  /// Since when the store's list names this agent for this service.
  instant RegisteredSince;
  /// It stood in the first list that this balancer got, and the agent itself,
  /// not a balancer for it, had written the entry.
  bool FoundAtStart = false;
  /// In the store's list; others are only remembered for their flows.
  bool Registered = true;
  load_report Report;
  std::optional<instant> ReportedAt;
  /// The first packet sent since the last report.
  std::optional<instant> FirstSentAt;
  /// The first question since the last report.
  std::optional<instant> FirstRequestedAt;
  std::uint32_t Placed = 0;
  bool Suspect = false;
  /// Since when it has been suspect.
  instant SuspectSince;
  /// Whether it stands behind the others in walks, for each order_parity.
  std::array<bool, 2> Deprioritized{};

  /// A question is answered within this time, the way to another zone and back
  /// included; less than a caller waits before it sends again.
  static constexpr duration ReportResponseTime = std::chrono::milliseconds(100);
  /// Agents that packets come to report every 200 ms. One that has not reported
  /// within this time may be gone since.
  static constexpr duration RecentReportWindow = std::chrono::milliseconds(300);

  bool isOwnZone() const { return ZoneOrder == 0; }
  bool hasReportedSince(instant Moment) const {
    return ReportedAt && *ReportedAt >= Moment;
  }
  bool hasReportedRecently(instant Now) const {
    return hasReportedSince(Now - RecentReportWindow);
  }
  /// Packets were sent there for \p Time, or a question that long ago, and no
  /// report has come since.
  bool isUnresponsiveFor(duration Time, instant Now) const {
    return (FirstSentAt && Now - *FirstSentAt > Time) ||
           (FirstRequestedAt && Now - *FirstRequestedAt > Time);
  }
  bool isDeprioritized(order_parity Parity) const {
    return Deprioritized[static_cast<std::size_t>(Parity)];
  }
  /// It may be gone: a walk that goes there may end there.
  bool isUnverified(instant Now) const {
    return Suspect ||
           (FirstRequestedAt && Now - *FirstRequestedAt > ReportResponseTime);
  }
};

class agent_table {
public:
  /// Two reports and a late timer.
  static constexpr duration SuspectAfter = std::chrono::milliseconds(500);
  /// One report that is missing: others are preferred for new flows.
  static constexpr duration UnverifiedAfter = std::chrono::milliseconds(300);
  /// Agents of the own zone are asked when they have not reported for so long:
  /// idle ones report nothing by themselves.
  static constexpr duration ReportRequestDelay = std::chrono::seconds(1);
  /// Questions in one round to the own zone: bounds the control traffic of a
  /// zone of thousands.
  static constexpr std::size_t ReportRequestsPerRound = 16;
  /// And to others, where only those are asked again that have not answered.
  static constexpr std::size_t RemoteReportRequestsPerRound = 4;
  /// Agents that went or came back since the order was renewed. With more of
  /// them, as after a loss of power, the order is renewed seldom:
  static constexpr std::ptrdiff_t SmallChangeCount = 4;
  /// a walk through hundreds of targets then takes most of this time.
  static constexpr duration BulkRenewalInterval = std::chrono::seconds(1);

  /// \p Seed: unlike that of other balancers, which would otherwise all ask
  /// the same agents first, while the others of a large zone wait for minutes.
  agent_table(std::string Zone, std::uint64_t Seed)
      : Zone(std::move(Zone)), Seed(Seed) {}

  void set(const std::vector<target_entry> &Targets, instant Now);
  agent_state *find(const endpoint &Agent);
  const std::vector<std::size_t> &ofService(service_id Service) const;
  agent_state &at(std::size_t Index) { return Agents[Index]; }
  const agent_state &at(std::size_t Index) const { return Agents[Index]; }
  std::size_t size() const { return Agents.size(); }

  /// What walks that begin now go by.
  order_parity orderParity() const { return Parity; }
  /// Takes over who is doubtful now for walks that begin from now on. Those
  /// under way keep their order, unless it is renewed twice meanwhile: in one
  /// that changes, an agent may be left out, and a flow that nobody holds
  /// cannot be told so. After a loss of power many agents change at every look,
  /// and the order is renewed seldom.
  void renewOrder(instant Now);

  void noteSent(const endpoint &Agent, instant Now);
  /// A question was sent there.
  void noteReportRequested(const endpoint &Agent, instant Now);
  /// Returns the agent that reports, or null if the list does not name it for
  /// its service.
  agent_state *noteReport(const load_report &Report, instant Now);
  /// Finds the suspects and whom to ask; true if a suspicion changed.
  bool review(instant Now, std::vector<endpoint> &Requests,
              const std::function<void(const agent_state &)> &OnSuspicion);

private:
  static void applyReport(agent_state &State, const load_report &Report,
                          instant Now);
  static bool needsReportRequest(const agent_state &State, instant Now);
  /// Adds to \p Requests who is to be asked in this round, from \p Next on.
  void collectReportRequests(instant Now, bool OwnZone, std::size_t Most,
                             std::size_t &Next,
                             std::vector<endpoint> &Requests);
  /// Calls \p Each for every entry of the address.
  template <typename Function>
  void forEachAt(const endpoint &Agent, const Function &Each);

  std::string Zone;
  std::uint64_t Seed;
  std::vector<agent_state> Agents;
  /// The first entry of each address, and where several have one, the others.
  std::unordered_map<endpoint, std::size_t, endpoint_hash> ByEndpoint;
  std::unordered_multimap<endpoint, std::size_t, endpoint_hash> MoreByEndpoint;
  std::map<service_id, std::vector<std::size_t>> ByService;
  /// Where the next round of questions begins, in the own zone and elsewhere.
  std::size_t NextRequested = 0;
  std::size_t NextRemoteRequested = 0;
  order_parity Parity = order_parity::Even;
  instant RenewedAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_AGENT_TABLE_H
