//===- load_run.h - Flows and requests of one experiment --------*- C++ -*-===//
///
/// \file
/// Opens flows at a given rate and distributes requests over them, evenly or
/// skewed. Behaves like a correct client: retries after the time that the
/// answer names, retries with the same key when an outcome is unknown, and
/// opens a new flow after GOAWAY.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_LOAD_RUN_H
#define MARJORAMRAIL_STANDINS_LOAD_RUN_H

#include "attempt_log.h"
#include "caller_flow.h"
#include "load_settings.h"

#include <random>
#include <vector>

namespace marjoramrail::standins {

/// Counts of requests and flows.
struct load_totals {
  std::uint64_t Requests = 0;
  std::uint64_t Ok = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Wrong = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Opened = 0;
  std::uint64_t Moved = 0;
  std::uint64_t Broken = 0;
};

/// Runs the callers of one experiment.
class load_run {
public:
  load_run(event_loop &Loop, tcp_stack &Stack, const load_settings &Settings,
           attempt_log &Log);
  ~load_run();

  /// Calls \p OnSending when all flows are open and requests start, and
  /// \p OnDone when the experiment has ended.
  void start(std::function<void()> OnSending, std::function<void()> OnDone);
  const load_totals &totals() const { return Totals; }
  std::size_t openFlows() const;

private:
  struct slot {
    std::unique_ptr<caller_flow> Flow;
    endpoint Local;
    instant OpenedAt;
    bool Opened = false;
    std::uint32_t Failures = 0;
  };
  struct group {
    service_load Load;
    std::vector<slot> Slots;
    std::size_t NextToOpen = 0;
    double OpenCredit = 0;
    double RequestCredit = 0;
  };

  void tick();
  void openDueFlows(group &Group);
  void openSlot(group &Group, slot &Slot);
  void reopen(group &Group, slot &Slot, duration Delay);
  void onFlowEnded(group &Group, slot &Slot, flow_outcome FlowOutcome,
                   const std::string &Reason);
  void sendDueRequests(group &Group);
  void sendNew(group &Group);
  void sendAttempt(group &Group, attempt Attempt);
  void onEnd(group &Group, const attempt &Attempt, const attempt_end &End);
  void retry(group &Group, attempt Attempt, duration Delay);
  slot *pickSlot(group &Group);
  endpoint nextLocal();
  bool allOpened() const;
  void finish();

  event_loop &Loop;
  tcp_stack &Stack;
  const load_settings &Settings;
  attempt_log &Log;
  std::mt19937_64 Random;
  std::vector<group> Groups;
  std::function<void()> OnSending;
  std::function<void()> OnDone;
  load_totals Totals;
  std::uint64_t LocalEndpointsUsed = 0;
  std::uint64_t LastRequest = 0;
  std::map<std::string, instant> SentAt;
  bool Sending = false;
  bool Ending = false;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_LOAD_RUN_H
