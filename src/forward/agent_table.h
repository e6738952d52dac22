//===- agent_table.h - State of the agents a balancer uses ------*- C++ -*-===//
///
/// \file
/// Keeps what a balancer knows of each agent: its registration in the store,
/// its last load report, and whether it still confirms the packets sent to it.
///
/// A VM that fails or loses its connection sends nothing; packets sent there
/// are lost, and an owner lookup that reaches it ends there. Agents therefore
/// send load reports while they receive packets. An agent that was sent
/// packets, or a request for a report, and has not reported for SuspectAfter is
/// moved to the end of every candidate list and gets no new flows until it
/// reports again.
///
/// A candidate list also contains agents that were sent nothing for a long
/// time. When an owner lookup begins, the balancer requests a load report from
/// these. Agents that have not answered by the time the caller retransmits are
/// placed behind the others in the next lookup. Without the request, every
/// packet of a flow whose owner comes after a failed VM in the list would be
/// lost at that VM.
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

/// What a balancer knows of a zone.
struct zone_state {
  std::string Name;
  /// "" if the settings do not name it.
  std::string Region;
  /// Since when the zone's targets must not get new flows, if so.
  std::optional<instant> EvacuatedSince;
};

struct agent_state {
  endpoint Agent;
  service_id Service{};
  /// Position of the zone in the order of zones; 0 is the balancer's own zone.
  /// Lists are sorted by zone, so that a lookup crosses each link between zones
  /// once.
  std::uint32_t ZoneOrder = 0;
  bool Draining = false;
  /// Since when the store's registry has this agent for this service.
  instant RegisteredSince;
  /// The agent was in the first registry that this balancer read, and the entry
  /// was written by the agent itself, not by a balancer on its behalf.
  bool FoundAtStart = false;
  load_report Report;
  std::optional<instant> ReportedAt;
  /// When the first packet since the last report was sent.
  std::optional<instant> FirstSentAt;
  /// When the first request since the last report was sent.
  std::optional<instant> FirstRequestedAt;
  /// When the agent last reported while it was unverified.
  std::optional<instant> RecoveredAt;
  std::uint32_t Placed = 0;
  bool Suspect = false;
  /// Since when the agent has been suspect.
  instant SuspectSince;
  /// Whether the agent comes after the others in owner lookups, for each
  /// order_parity.
  std::array<bool, 2> Deprioritized{};

  /// Time within which a request for a report is answered, including the round
  /// trip to another zone. Shorter than the time after which a caller
  /// retransmits.
  static constexpr duration ReportResponseTime = std::chrono::milliseconds(100);
  /// Agents that receive packets report every 200 ms. One that has not reported
  /// within this time may have failed since.
  static constexpr duration RecentReportWindow = std::chrono::milliseconds(300);

  /// The load figures of an older report are not used. Agents report every 200
  /// ms while they are sent packets; without packets, reports can be seconds
  /// apart.
  static constexpr duration FreshReportAge = std::chrono::milliseconds(500);

  bool isOwnZone() const { return ZoneOrder == 0; }
  /// The capacity that the agent has reported recently; null if it is not
  /// known.
  const capacity_report *freshCapacity(instant Now) const {
    return Report.Capacity && hasReportedSince(Now - FreshReportAge)
               ? &*Report.Capacity
               : nullptr;
  }
  bool hasReportedSince(instant Moment) const {
    return ReportedAt && *ReportedAt >= Moment;
  }
  bool hasReportedRecently(instant Now) const {
    return hasReportedSince(Now - RecentReportWindow);
  }
  /// Returns true if packets, or a request for a report, were first sent more
  /// than \p Time ago and no report has arrived since.
  bool isUnresponsiveFor(duration Time, instant Now) const {
    return (FirstSentAt && Now - *FirstSentAt > Time) ||
           (FirstRequestedAt && Now - *FirstRequestedAt > Time);
  }
  bool isDeprioritized(order_parity Parity) const {
    return Deprioritized[static_cast<std::size_t>(Parity)];
  }
  /// Returns true if the agent may have failed, so that a lookup that goes
  /// there may end there.
  bool isUnverified(instant Now) const {
    return unverifiedSince(Now).has_value();
  }
  /// Since when the agent may have failed, if so.
  std::optional<instant> unverifiedSince(instant Now) const {
    if (FirstRequestedAt && Now - *FirstRequestedAt > ReportResponseTime)
      return *FirstRequestedAt + ReportResponseTime;
    return Suspect ? std::optional(SuspectSince) : std::nullopt;
  }
  /// Whether the agent has become unverified since \p Moment, or has reported
  /// although it was unverified then.
  bool hasChangedSince(instant Moment, instant Now) const {
    const auto Unverified = unverifiedSince(Now);
    return Unverified ? *Unverified >= Moment
                      : RecoveredAt && *RecoveredAt >= Moment;
  }
};

class agent_table {
public:
  /// Two report periods plus the delay of a late timer.
  static constexpr duration SuspectAfter = std::chrono::milliseconds(500);
  /// One missing report; other agents are then preferred for new flows.
  static constexpr duration UnverifiedAfter = std::chrono::milliseconds(300);
  /// A report is requested from agents of the own zone that have not reported
  /// for this time, because idle agents send none by themselves.
  static constexpr duration ReportRequestDelay = std::chrono::seconds(1);
  /// Requests per round to agents of the own zone. Bounds the control traffic
  /// in a zone with thousands of agents.
  static constexpr std::size_t ReportRequestsPerRound = 16;
  /// Requests per round to agents of other zones. Only suspect agents and
  /// agents that have not answered an earlier request get one.
  static constexpr std::size_t RemoteReportRequestsPerRound = 4;
  /// Up to this many changed agents, the order is renewed at once. With more,
  /// as after a power failure, it is renewed once per BulkRenewalInterval.
  static constexpr std::ptrdiff_t SmallChangeCount = 4;
  /// A lookup through hundreds of targets takes most of this time.
  static constexpr duration BulkRenewalInterval = std::chrono::seconds(1);

  /// \p Seed has to differ between balancers. Otherwise all of them would start
  /// with the same agents, and the other agents of a large zone would wait for
  /// minutes.
  agent_table(const std::string &Zone, std::uint64_t Seed)
      : Seed(Seed), Zones{{Zone, "", std::nullopt}} {}

  void set(const std::vector<target_entry> &Targets, instant Now);
  void setEvacuations(const evacuations &Table, instant Now);
  void setRegions(zone_regions Changed);
  const std::vector<zone_state> &zones() const { return Zones; }
  const zone_state &zoneOf(const agent_state &Agent) const {
    return Zones[Agent.ZoneOrder];
  }
  /// Whether the agent's target must not get new flows because of its zone, as
  /// far as this balancer or the agent knows. The agent may know it earlier: a
  /// balancer that was just started has no table of evacuations yet.
  bool isEvacuated(const agent_state &Agent) const {
    return zoneOf(Agent).EvacuatedSince || Agent.Report.Evacuated;
  }
  agent_state *find(const endpoint &Agent);
  const agent_state *find(const endpoint &Agent) const;
  const std::vector<std::size_t> &ofService(service_id Service) const;
  /// The name of a service that has targets; "" if it has none.
  std::string nameOf(service_id Service) const;
  agent_state &at(std::size_t Index) { return Agents[Index]; }
  const agent_state &at(std::size_t Index) const { return Agents[Index]; }
  std::size_t size() const { return Agents.size(); }

  /// The parity of the order that new owner lookups use.
  order_parity orderParity() const { return Parity; }
  /// Updates the order of new owner lookups by which agents are unverified now.
  /// Lookups in progress keep their order unless it is renewed twice in the
  /// meantime. If the order changes during a lookup, an agent may be skipped,
  /// and a flow without an owner can then not be reset. After a power failure
  /// many agents change state in every round, so the order is renewed less
  /// often.
  void renewOrder(instant Now);

  void noteSent(const endpoint &Agent, instant Now);
  /// Records that a report was requested from \p Agent.
  void noteReportRequested(const endpoint &Agent, instant Now);
  /// Returns the agent that sent \p Report, or null if the registry does not
  /// have it for its service.
  agent_state *noteReport(const load_report &Report, instant Now);
  /// Marks unresponsive agents as suspect, calls \p OnSuspicion for each, and
  /// adds the agents to request a report from to \p Requests. Returns true if
  /// an agent became suspect.
  bool review(instant Now, std::vector<endpoint> &Requests,
              const std::function<void(const agent_state &)> &OnSuspicion);

private:
  static void applyReport(agent_state &State, const load_report &Report,
                          instant Now);
  static bool needsReportRequest(const agent_state &State, instant Now);
  /// Adds the agents to request a report from in this round to \p Requests,
  /// starting at \p Next.
  void collectReportRequests(instant Now, bool OwnZone, std::size_t Most,
                             std::size_t &Next,
                             std::vector<endpoint> &Requests);
  /// Calls \p Each for every entry with this address.
  template <typename Function>
  void forEachAt(const endpoint &Agent, const Function &Each);

  void setZones(const std::vector<target_entry> &Targets, instant Now);
  std::uint32_t zoneOrderOf(const std::string &Zone) const;

  std::uint64_t Seed;
  zone_regions Regions;
  evacuations Evacuations;
  /// The balancer's own zone, then the other zones that have agents, sorted.
  /// agent_state::ZoneOrder is a position in it.
  std::vector<zone_state> Zones;
  std::vector<agent_state> Agents;
  /// The first entry of each address; if several entries have the same address,
  /// MoreByEndpoint holds the others.
  std::unordered_map<endpoint, std::size_t, endpoint_hash> ByEndpoint;
  std::unordered_multimap<endpoint, std::size_t, endpoint_hash> MoreByEndpoint;
  std::map<service_id, std::vector<std::size_t>> ByService;
  std::map<service_id, std::string> ServiceNames;
  /// Where the next round of requests begins, for the own zone and for other
  /// zones.
  std::size_t NextRequested = 0;
  std::size_t NextRemoteRequested = 0;
  order_parity Parity = order_parity::Even;
  instant RenewedAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_AGENT_TABLE_H
