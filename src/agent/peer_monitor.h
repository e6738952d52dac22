//===- peer_monitor.h - Failure detection among agents ----------*- C++ -*-===//
///
/// \file
/// Detects peers that do not respond to passed packets.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_AGENT_PEER_MONITOR_H
#define MARJORAMRAIL_SRC_AGENT_PEER_MONITOR_H

#include "marjoramrail/base.h"

#include <map>
#include <optional>
#include <vector>

namespace marjoramrail::internal {

/// A due probe of Subject: direct, or indirect through the peer Via.
struct peer_probe {
  endpoint Subject;
  std::optional<endpoint> Via;

  bool operator==(const peer_probe &) const = default;
};

/// Detects peers that do not respond to passed packets, earlier than the fleet
/// does.
///
/// When the VM of a flow's owner dies, the fleet needs seconds to declare it
/// dead. Until then packets passed to it would be lost, and the caller would
/// get no reset that lets it open a new flow at once. On the other hand, an
/// agent whose own link is down sees the same symptoms and would reset the
/// flows of all its peers. A peer is therefore suspected only if another peer
/// has responded since the probes began.
class peer_monitor {
public:
  /// The round trip between zones takes at most 10 ms. On lossy links a single
  /// packet often gets no response, so this timeout only starts the probes.
  /// With them a dead owner is detected within 700 ms. Its callers retransmit
  /// within 300 ms and so get a reset within a second.
  static constexpr duration ResponseTimeout = std::chrono::milliseconds(250);
  /// Probes are sent three times, 100 ms apart, both directly and through a
  /// peer.
  static constexpr duration ProbeInterval = std::chrono::milliseconds(100);
  static constexpr int ProbeCount = 3;

  /// Sets the peers to monitor: those that the view does not mark as down.
  void setPeers(const std::vector<endpoint> &Live);
  void noteSent(const endpoint &Peer, instant Now);
  void noteResponse(const endpoint &Peer, instant Now);

  /// Returns the probes that are due and updates the state of peers whose
  /// probes have all been sent.
  std::vector<peer_probe> tick(instant Now);

  /// Another agent reported \p Peer as unresponsive. Ignored if \p Peer has
  /// responded to this agent within ResponseTimeout.
  void noteReportedUnresponsive(const endpoint &Peer, instant Now);

  /// The peer is being probed or is suspect.
  bool isPossiblyDown(const endpoint &Peer) const;

  /// The peer does not respond while others do.
  bool isSuspect(const endpoint &Peer) const;
  /// No peer responded during the probes, so this agent's own link may be down.
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
