//===- proxy_state.h - The inside of request_proxy --------------*- C++ -*-===//
///
/// \file
/// Declares what the sources of request_proxy share; each has one side of it:
/// callers (caller_side), key records (key_side), decisions (decision_side),
/// answers and links (answer_side, link_side).
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

/// Answer bytes in a caller's session before the target is held back.
inline constexpr std::size_t MaxQueuedAnswerBytes = 256 * 1024;
/// Between the two GOAWAYs: longer than a round trip, so that a request sent
/// before the first was seen is counted by the second.
inline constexpr duration GoAwayDelay = std::chrono::seconds(1);
/// A target or peer that does not take connections is asked again after this.
inline constexpr duration UnreachableRetryDelay = std::chrono::seconds(1);
/// Parts of IdleTimeout between two looks at each flow.
inline constexpr int LivenessChecksPerTimeout = 3;
inline constexpr std::uint8_t RelayForbiddenHops = 255;
/// Where peers post messages of key records.
inline constexpr std::string_view KeysPath = "/.marjoramrail/keys";
/// Longer keys are refused: records of them are held at two agents.
inline constexpr std::size_t MaxKeyBytes = 128;
/// A batch of records in a sync is far smaller.
inline constexpr std::size_t MaxKeyBatchBytes = 1024 * 1024;
/// Ids of posted key messages, apart from those of requests.
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
  /// Requests of which bytes are held back in either direction.
  std::set<request_id> FlowControlled;
  idempotency_service Idempotency;
  bool KeyViewKnown = false;
  std::uint64_t LastKeyMessageId = FirstKeyMessageId;
  /// Batches of key messages that are coming in.
  std::map<reply_address, std::string> KeyBatches;
  std::unique_ptr<client_link> Target;
  std::map<host_id, std::unique_ptr<client_link>> PeerLinks;
  /// Links that take no more requests; freed outside of their own events.
  std::list<std::unique_ptr<client_link>> Retired;
  std::vector<timer_id> Periodic;
  bool TickSet = false;
  bool Deciding = false;
  bool Draining = false;

  impl(timer_service &Timers, const proxy_settings &Settings,
       proxy_hooks Hooks);
  ~impl();

  // Callers' side.
  void onRequest(reply_address ReplyTo, const h2_head &Head, bool End);
  void onBody(reply_address ReplyTo, std::string_view Bytes, bool End);
  void onCancel(reply_address ReplyTo);
  void deadlinePassed(request_id Id);
  caller_flow *flowOf(const exchange &Exchange);

  // Decisions.
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

  // Answers.
  void answer(request_id Id, const agent_answer &Answer);
  void sendAgentAnswer(exchange &Exchange, const agent_answer &Answer);
  void answerUnknownOutcome(request_id Id, bool DeadlinePassed);
  void finish(request_id Id, work_outcome Outcome);
  void erase(request_id Id);

  // Links' side.
  // Key records.
  void startClaim(request_id Id, exchange &Exchange);
  bool retryClaim(request_id Id);
  void onClaim(request_id Id, const key_result &Result);
  void settle(request_id Id, exchange &Exchange, key_state State);
  void sendKeyMessages(host_id Peer, const key_messages &Messages);
  void receiveKeyMessages(reply_address ReplyTo, std::string_view Bytes,
                          bool End);
  void detachOrCancel(reply_address ReplyTo);
  void onFlowDestroyed(flow_number Destroyed);

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
