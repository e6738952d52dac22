//===- caller_flow.h - One flow of a caller ---------------------*- C++ -*-===//
///
/// \file
/// A caller's TCP flow with an HTTP/2 session in it, as a broker's program or a
/// driver's tablet would hold: it sends requests, keeps a long stream open,
/// moves to a new flow when told GOAWAY, and tells how each attempt ended.
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

struct attempt {
  /// Unique per attempt; the target's record and its answer carry it.
  std::string Request;
  std::string Key;
  std::string Path;
  std::uint32_t WorkMs = 0;
  std::uint32_t DeadlineMs = 0;
  std::uint32_t DocumentBytes = 0;
  /// Which try of the same request this is, from 1.
  std::uint32_t Try = 1;
  instant First;
};

struct attempt_end {
  attempt_outcome Outcome = attempt_outcome::Unknown;
  std::string Status;
  /// The target that answered, in its own words.
  std::string Host;
  duration RetryAfter = duration::zero();
};

enum class flow_outcome {
  /// Told GOAWAY and moved, after its requests had ended.
  Moved,
  /// Reset or silent while the caller still wanted it.
  Broken,
};

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

  /// Starts the long stream once the flow is open.
  void enableLongStream(std::uint32_t IntervalMs);

  bool usable() const { return Open && !GoingAway && !Ended; }
  void send(attempt Attempt);

  /// The host whose agent owns the flow, once an answer has come.
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
  /// Lets a timer find out that the flow is no more.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  bool Open = false;
  bool GoingAway = false;
  bool Ended = false;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_CALLER_FLOW_H
