//===- exchange.h - One request in progress ---------------------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_EXCHANGE_H
#define MARJORAMRAIL_SRC_PROXY_EXCHANGE_H

#include "proxy/caller_flow.h"
#include "proxy/client_link.h"

namespace marjoramrail::internal {

enum class exchange_state {
  /// Not sent anywhere: it waits for a slot, its key's claim or both.
  Waiting,
  /// Sent to the target; its slot is taken.
  Running,
  /// Sent to a peer agent.
  Relayed,
};

/// How far the claim of a request's key is.
enum class claim_state { None, Requested, Granted };

/// One request from its head to the end of its answer.
struct exchange {
  reply_address ReplyTo;
  work_request Work;
  h2_head Head;
  /// What has come of the body before the request was sent.
  std::string Body;
  bool BodyEnded = false;
  /// More came after it was relayed than is kept for another try.
  bool BodyTruncated = false;
  exchange_state State = exchange_state::Waiting;
  /// It has its slot.
  bool Admitted = false;
  claim_state Claim = claim_state::None;
  int ClaimRetries = 0;
  /// With a claim granted: the answer so far, to be kept with the key.
  std::string SavedAnswer;
  std::optional<host_id> Peer;
  client_link *Link = nullptr;
  instant Began;
  /// The caller has seen the answer's head; no other answer can be given.
  bool HeadSent = false;
  /// The target itself said that it did not run the request.
  bool Shed = false;
  duration ShedRetryAfter = duration::zero();
  std::optional<timer_id> Deadline;
  /// Answer bytes that the caller's session has not taken on yet.
  std::size_t UnconsumedAnswer = 0;
  /// Body bytes that the link has not taken on yet.
  std::size_t UnconsumedBody = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_EXCHANGE_H
