//===- request_log.h - Log of requests at a target --------------*- C++ -*-===//
///
/// \file
/// Logs each request from its first bytes to the first bytes of its answer.
/// Given a request's id, an operator finds how busy the target was when the
/// request arrived, how long the answer took compared with the usual time, and
/// its status code.
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

  /// Logs a request's arrival. \p Active: requests in progress at the target,
  /// this one included.
  void seen(const flow_key &Flow, bytes_view Packet, std::uint16_t Active);
  /// Logs an answer. \p Status: its status code, 0 if unknown; \p Usual: the
  /// smoothed time to an answer at this target.
  void answered(const flow_key &Flow, int Status, duration Took,
                duration Usual);
  /// Whether a status code means that the target failed, as opposed to an
  /// invalid request. 429 (too many requests) counts as a failure of the
  /// target: it is overloaded. If a caller overloads all targets, all of them
  /// answer 429 and none of them is singled out.
  static bool isFailure(int Status) {
    constexpr int TooManyRequests = 429;
    return Status >= 500 || Status == TooManyRequests;
  }
  /// Removes the request that waits for an answer on \p Flow and returns its
  /// id, or "" if there is none.
  std::string takePending(const flow_key &Flow);

private:
  /// Bound on requests that wait for an answer, far above what a target queues.
  static constexpr std::size_t MaxWaiting = 4096;
  /// An answer that took more than this many times the usual time, and more
  /// than SlowThreshold, is logged as slow. Slow answers share the budget of
  /// failures, which a flood of ordinary answers cannot exhaust.
  static constexpr int SlowFactor = 3;
  static constexpr duration SlowThreshold = std::chrono::milliseconds(100);

  event_log &Log;
  metrics &Metrics;
  const site_adapter &Adapter;
  std::unordered_map<flow_key, std::string, flow_key_hash> Waiting;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_REQUEST_LOG_H
