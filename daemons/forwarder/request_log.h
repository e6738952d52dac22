//===- request_log.h - What became of requests at a target ------*- C++ -*-===//
///
/// \file
/// Follows each request from its first bytes to its answer's, so that whoever
/// has its id finds what this agent knew: how busy the target was when it came,
/// how long the answer took compared with others, and what the target said.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_REQUEST_LOG_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_REQUEST_LOG_H

#include "event_log.h"
#include "site_adapter.h"

#include <unordered_map>

namespace marjoramrail::daemons {

class request_log {
public:
  request_log(event_log &Log, metrics &Metrics, const site_adapter &Adapter)
      : Log(Log), Metrics(Metrics), Adapter(Adapter) {}

  /// \p Active requests are at the target, this one included.
  void seen(const flow_key &Flow, bytes_view Packet, std::uint16_t Active);
  /// \p Status: the code of the answer, 0 if unknown; \p Usual: the smoothed
  /// time to an answer at this target.
  void answered(const flow_key &Flow, int Status, duration Took,
                duration Usual);
  /// Whether an answer of this code says that the target did not do what was
  /// asked, and not that the request was wrong. Too many requests (429) are too
  /// many for this target; where a caller sends too many to all, all say so,
  /// and none stands out.
  static bool isFailure(int Status) {
    constexpr int TooManyRequests = 429;
    return Status >= 500 || Status == TooManyRequests;
  }
  /// The id of the request that waits on \p Flow, or ""; it is over now.
  std::string lost(const flow_key &Flow);

private:
  /// Requests that wait for their answer; far above what a target queues.
  static constexpr std::size_t MaxWaiting = 4096;
  /// An answer that took so many times the usual is logged among the failures,
  /// which a flood of plain answers cannot push out,
  static constexpr int SlowFactor = 3;
  /// unless it was quick all the same.
  static constexpr duration SlowThreshold = std::chrono::milliseconds(100);

  event_log &Log;
  metrics &Metrics;
  const site_adapter &Adapter;
  std::unordered_map<flow_key, std::string, flow_key_hash> Waiting;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_REQUEST_LOG_H
