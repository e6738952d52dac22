//===- caller_flow.h - HTTP/2 connection of a caller ------------*- C++ -*-===//
///
/// \file
/// A caller's TCP flow with an HTTP/2 session, as a real client program holds.
/// It sends requests, keeps a long-lived stream open, closes once its requests
/// have ended after GOAWAY, and reports the outcome of each attempt.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_CALLER_FLOW_H
#define MARJORAMRAIL_STANDINS_CALLER_FLOW_H

#include "marjoramrail/h2.h"
#include "marjoramrail/report.h"
#include "marjoramrail/stack.h"

#include <map>
#include <string>

namespace marjoramrail::standins {

/// One attempt to execute a request.
struct attempt {
  /// Unique per attempt; also in the target's record and its answer.
  std::string Request;
  std::string Key;
  std::string Path;
  std::uint32_t WorkMs = 0;
  std::uint32_t DeadlineMs = 0;
  std::uint32_t DocumentBytes = 0;
  /// Number of the attempt within the same request, from 1.
  std::uint32_t Try = 1;
  instant First;
};

/// The result of an attempt.
struct attempt_end {
  attempt_outcome Outcome = attempt_outcome::Unknown;
  std::string Status;
  /// Name of the target that answered, from its x-host header field.
  std::string Host;
  duration RetryAfter = duration::zero();
};

/// Why a flow ended.
enum class flow_outcome {
  /// Closed after GOAWAY, once its requests had ended.
  Moved,
  /// Ended by the peer, a reset or a timeout while the caller still used it.
  Broken,
};

/// One flow of a caller to a service.
class caller_flow {
public:
  struct hooks {
    std::function<void()> OnOpen;
    std::function<void(const attempt &, const attempt_end &)> OnEnd;
    std::function<void(flow_outcome, const std::string &Reason)> OnFlowEnded;
  };

  caller_flow(timer_service &Timers, std::string Service, hooks Hooks);
  ~caller_flow();

  result<void> open(tcp_stack &Stack, const endpoint &Local,
                    const endpoint &Service);

  /// Keeps one long-lived stream open from the time when the flow is open.
  void enableLongStream(std::uint32_t IntervalMs);

  bool usable() const { return Open && !GoingAway && !Ended; }
  void send(attempt Attempt);

  /// Host whose agent owns the flow; empty before the first answer.
  const std::string &host() const { return Host; }
  std::uint64_t ticks() const { return Ticks; }

private:
  struct pending {
    attempt Attempt;
    std::string Status;
    std::string Host;
    std::string RetryAfter;
    std::string Body;
    timer_id Timeout{};
  };

  void startSession();
  void startStream();
  h2_head headOf(const attempt &Attempt) const;
  void onHead(h2_stream Stream, const h2_head &Head);
  void onData(h2_stream Stream, std::string_view Data);
  void onClose(h2_stream Stream, h2_error Code);
  attempt_end classifyResponse(const pending &Pending, h2_error Code) const;
  void cancelRequest(h2_stream Stream);
  void closeIfIdle();
  void endFlow(flow_outcome FlowOutcome, const std::string &Reason);
  void pump();

  timer_service &Timers;
  std::string Service;
  hooks Hooks;
  std::unique_ptr<stack_flow> Flow;
  std::unique_ptr<h2_session> Session;
  std::string Outgoing;
  std::map<h2_stream, pending> Pending;
  h2_stream LongStream = 0;
  std::uint32_t StreamIntervalMs = 0;
  std::uint64_t Ticks = 0;
  std::string Host;
  /// Timer callbacks hold a weak pointer to it, to detect that the flow has
  /// been destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  bool Open = false;
  bool GoingAway = false;
  bool Ended = false;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_CALLER_FLOW_H
