//===- forward_agent_process.h - An agent beside its target -----*- C++ -*-===//
///
/// \file
/// Connects the forwarding core to the event loop and to a target that
/// terminates its flows itself. Receives the target's reports, registers the
/// target in the store and decides when it gets new flows.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_FORWARD_AGENT_PROCESS_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_FORWARD_AGENT_PROCESS_H

#include "callback_log.h"
#include "due_timer.h"
#include "event_log.h"
#include "forwarder_settings.h"
#include "request_log.h"
#include "sent_bytes.h"
#include "site_adapter.h"
#include "store_calls.h"
#include "target_admission.h"

namespace marjoramrail::daemons {

class forward_agent_process {
public:
  forward_agent_process(event_loop &Loop,
                        const agent_program_settings &Settings,
                        const site_adapter &Adapter);

  result<void> open();
  /// An agent's settings cannot change while its target is running.
  void reload() {
    Log.record(event_kind::SettingsReloaded,
               "agent settings cannot change at run time");
  }
  /// Reports to the balancers that the target takes no new flows, then stops
  /// the process. The target's flows survive and continue once an agent runs
  /// again, so the process ends as soon as it can.
  void shutDown();

private:
  void onRouted(std::span<const datagram> Batch);
  void onTargetPackets(std::span<const datagram> Batch);
  std::optional<page_answer> onTargetCall(const page_request &Request);
  page_answer onReport(const target_report &Report);
  page_answer onLeave(const std::string &Id);
  page_answer refuseReport(const target_report &Report, report_verdict Verdict);
  void notifyRun();
  void onFlowsLost(const flow_checkpoint &Ended);
  void recordAccepted(const target_report &Report,
                      const target_report &Previous);
  void onTargetRecovered(const char *Why);
  void registerTarget();
  void withdraw();
  std::unique_ptr<flow_reporter> makeReporter();
  void registerAgain();
  void withdrawWhenStopped();
  void updateAdmission(const char *Why);
  std::optional<instant> expire(instant Now);
  void endWhenDone();
  void probeTarget();
  void endProbe();
  void onProbeClosed(const std::string &Reason);
  status_page::hooks callsPage();
  status_page::hooks readyPage();
  forward_agent_hooks coreHooks();
  void addRegistrationHooks(forward_agent_hooks &Hooks);
  target_registrar::hooks registrarHooks();
  /// Sends a message to another process; the zones of peers are not known here.
  void sendToPeer(message_kind Kind, const endpoint &To, bytes_view Bytes);
  void showMetrics();
  void recordFlow(const flow_event &Event);

  event_loop &Loop;
  agent_program_settings Settings;
  site_adapter Adapter;
  event_log Log;
  metrics Metrics;
  callback_log Callbacks;
  store_calls Calls;
  sent_bytes Sent;
  callback_hook OnCallback;
  request_log Requests;
  udp_socket Routed;
  udp_socket TargetPackets;
  platform_client Store;
  forward_agent Core;
  target_reports Reports;
  target_admission Admission;
  target_registrar Registrar;
  /// Null if flow checkpoints are off in the settings.
  std::unique_ptr<flow_reporter> Flows;
  status_page CallsPage;
  status_page ReadyPage;
  status_page MetricsPage;
  std::unique_ptr<tcp_stream> TargetProbe;
  due_timer Expiry;
  timer_id ProbeTimer{};
  instant LastFromTarget;
  bool Stopping = false;
  /// The target has stopped, and its entry is being removed from the store.
  bool Withdrawn = false;
  instant StopBy;
  std::uint64_t &Malformed;
  /// Reports older than one that was accepted from the same run.
  std::uint64_t &Late;
  /// Reports of runs that are not taken for the present one.
  std::uint64_t &FromOtherRuns;
  /// Runs that became the present one, and those of them whose start time is
  /// not later than that of the run before: a clock was stepped.
  std::uint64_t &Runs;
  std::uint64_t &RunsWithEarlierStart;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_FORWARD_AGENT_PROCESS_H
