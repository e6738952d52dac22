//===- peer_monitor.h - Failure detection among agents ----------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_AGENT_PEER_MONITOR_H
#define MARJORAMRAIL_SRC_AGENT_PEER_MONITOR_H

#include "marjoramrail/base.h"

#include <map>
#include <optional>
#include <vector>

namespace marjoramrail::internal {

/// A probe of \p Subject that is due: to itself, or through another peer.
struct peer_probe {
  endpoint Subject;
  std::optional<endpoint> Via;

  bool operator==(const peer_probe &) const = default;
};

/// Finds peers that do not answer passed-on packets, sooner than the fleet
/// does.
///
/// What goes wrong without it: the VM of a flow's owner dies. Until the fleet
/// has declared it down, seconds later, packets passed on to it vanish, and the
/// caller hears nothing instead of a reset that would let it open a new flow at
/// once. On the other hand an agent whose own link is cut would, by the same
/// signs, reset the flows of everyone else; so a peer is suspected only if
/// another peer has answered since the probes began.
class peer_monitor {
public:
  /// An answer takes a round trip of at most 10 ms between zones. On links that
  /// drop packets one packet's silence is common, so it only begins the probes;
  /// with these a dead owner is found within 700 ms, and its callers, who send
  /// again within 300 ms, know within a second.
  static constexpr duration ResponseTimeout = std::chrono::milliseconds(250);
  /// Probes go out three times, 100 ms apart, directly and through a peer.
  static constexpr duration ProbeInterval = std::chrono::milliseconds(100);
  static constexpr int ProbeCount = 3;

  /// The live peers of the view.
  void setPeers(const std::vector<endpoint> &Live);
  void noteSent(const endpoint &Peer, instant Now);
  void noteResponse(const endpoint &Peer, instant Now);

  /// Probes that are due now; also draws the conclusions.
  std::vector<peer_probe> tick(instant Now);

  /// Another peer came to its conclusion, which holds unless this one has heard
  /// from \p Peer meanwhile.
  void noteReportedUnresponsive(const endpoint &Peer, instant Now);

  /// Probes of the peer are under way, or it is a suspect.
  bool isPossiblyDown(const endpoint &Peer) const;

  /// The peer is silent while others answer.
  bool isSuspect(const endpoint &Peer) const;
  /// Nobody answered the probes: it may be us.
  bool isLinkSuspect() const { return LinkSuspect; }

private:
  struct peer {
    std::optional<instant> UnansweredSince;
    std::optional<instant> ProbedSince;
    instant LastProbe;
    int Sent = 0;
    bool Suspect = false;
    std::optional<instant> LastResponse;
  };

  bool hasOtherPeerAnswered(const endpoint &Excluded, instant Since) const;
  std::optional<endpoint> selectHelper(const endpoint &Subject,
                                       int Round) const;
  void finishProbing(const endpoint &Address, peer &Peer, instant Now);

  std::map<endpoint, peer> Peers;
  bool LinkSuspect = false;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_AGENT_PEER_MONITOR_H
