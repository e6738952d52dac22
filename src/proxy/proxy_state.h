//===- proxy_state.h - Implementation state of request_proxy ----*- C++ -*-===//
///
/// \file
/// Declares request_proxy::impl, which is implemented in several source files:
/// requests from callers (caller_requests), idempotency keys
/// (idempotency_keys), admission decisions (admission_decisions), answers
/// (answer_delivery) and connections to the target and to peers
/// (peer_connections).
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_PROXY_PROXY_STATE_H
#define MARJORAMRAIL_SRC_PROXY_PROXY_STATE_H

#include "marjoramrail/proxy.h"
#include "proxy/answers.h"
#include "proxy/exchange.h"
#include "proxy/idempotency_service.h"
#include "proxy/key_codec.h"
#include "proxy/request_head.h"

#include <algorithm>
#include <list>
#include <set>

namespace marjoramrail {

using namespace internal;

namespace internal {

/// Answer bytes queued in a caller's session above which the target's
/// flow-control window is no longer extended.
inline constexpr std::size_t MaxQueuedAnswerBytes = 256 * 1024;
/// Time between the two GOAWAY frames of a shutdown. It is longer than a round
/// trip, so that the second one covers requests that the caller sent before it
/// received the first.
inline constexpr duration GoAwayDelay = std::chrono::seconds(1);
/// Retry delay for a target or peer that cannot be connected to.
inline constexpr duration UnreachableRetryDelay = std::chrono::seconds(1);
/// Number of liveness checks of each flow per IdleTimeout.
inline constexpr int LivenessChecksPerTimeout = 3;
/// Hop count of a request that must not be relayed (again).
inline constexpr std::uint8_t RelayForbiddenHops = 255;
/// Path to which peers send key messages.
inline constexpr std::string_view KeysPath = "/.marjoramrail/keys";
/// Requests with longer keys are refused, because the records of each key are
/// stored by two agents.
inline constexpr std::size_t MaxKeyBytes = 128;
/// Limit for a batch of key messages. The batches of records of a sync are far
/// smaller.
inline constexpr std::size_t MaxKeyBatchBytes = 1024 * 1024;
/// First id of requests that carry key messages; ids of callers' requests are
/// below it.
inline constexpr std::uint64_t FirstKeyMessageId = 1ULL << 63;

} // namespace internal

struct request_proxy::impl {
  timer_service &Timers;
  proxy_settings Settings;
  proxy_hooks Hooks;
  relay_choice Peers;
  admission Work;
  proxy_counts Counts;
  std::uint64_t LastId = 0;
  std::uint64_t LastFlow = 0;
  std::map<flow_number, caller_flow *> Flows;
  std::map<request_id, exchange> Exchanges;
  std::map<reply_address, request_id> ByReplyAddress;
  /// Requests with unconsumed body or answer bytes.
  std::set<request_id> FlowControlled;
  idempotency_service Idempotency;
  bool KeyViewKnown = false;
  std::uint64_t LastKeyMessageId = FirstKeyMessageId;
  /// Batches of key messages that are being received.
  std::map<reply_address, std::string> KeyBatches;
  std::unique_ptr<client_link> Target;
  std::map<host_id, std::unique_ptr<client_link>> PeerLinks;
  /// Links that accept no more requests. They are destroyed outside their own
  /// events.
  std::list<std::unique_ptr<client_link>> Retired;
  std::vector<timer_id> Periodic;
  bool TickSet = false;
  bool Deciding = false;
  bool Draining = false;

  impl(timer_service &Timers, const proxy_settings &Settings,
       proxy_hooks Hooks);
  ~impl();

  // Requests from callers (caller_requests).
  void onRequest(reply_address ReplyTo, const h2_head &Head, bool End);
  void onBody(reply_address ReplyTo, std::string_view Bytes, bool End);
  void onCancel(reply_address ReplyTo);
  void deadlinePassed(request_id Id);
  caller_flow *flowOf(const exchange &Exchange);

  // Admission decisions (admission_decisions).
  void startExchange(request_id Id, exchange &Exchange);
  void offer(request_id Id);
  void applyDecision(const decision &Decision);
  void decideQueued();
  void runIfClaimed(request_id Id);
  void run(request_id Id, exchange &Exchange);
  void relay(request_id Id, exchange &Exchange, host_id Peer);
  void relayOnceReleased(request_id Id, instant Since);
  void sendToPeer(request_id Id, exchange &Exchange);
  void relayFailed(request_id Id, duration RetryAfter);

  // Answers (answer_delivery).
  void answer(request_id Id, const agent_answer &Answer);
  void sendAgentAnswer(exchange &Exchange, const agent_answer &Answer);
  void answerUnknownOutcome(request_id Id, bool DeadlinePassed);
  void finish(request_id Id, work_outcome Outcome);
  void erase(request_id Id);

  // Idempotency keys (idempotency_keys).
  void startClaim(request_id Id, exchange &Exchange);
  bool retryClaim(request_id Id);
  void onClaim(request_id Id, const key_result &Result);
  void settle(request_id Id, exchange &Exchange, key_state State);
  void sendKeyMessages(host_id Peer, const key_messages &Messages);
  void receiveKeyMessages(reply_address ReplyTo, std::string_view Bytes,
                          bool End);
  void detachOrCancel(reply_address ReplyTo);
  void onFlowDestroyed(flow_number Destroyed);

  // Connections to the target and to peers (peer_connections).
  client_link &targetLink();
  client_link &peerLink(host_id Peer, const endpoint &Address);
  std::unique_ptr<client_link> newLink(const endpoint &Address);
  void retire(std::unique_ptr<client_link> &Link);
  void onAnswerHead(request_id Id, const h2_head &Head, bool End);
  void onAnswerData(request_id Id, std::string_view Bytes, bool End);
  void countLateAnswer(request_id Id);
  void onNotRun(request_id Id);
  void onAnswerComplete(request_id Id);
  void addUnconsumedBody(request_id Id, std::size_t Bytes);
  void releaseFlowControl();
  bool releaseFlowControl(request_id Id, exchange &Exchange);

  void checkLiveness();
  void destroyIdleRetired();
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_SRC_PROXY_PROXY_STATE_H
