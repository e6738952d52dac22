//===- exchange.h - One request in progress ---------------------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_EXCHANGE_H
#define MARJORAMRAIL_SRC_PROXY_EXCHANGE_H

#include "proxy/caller_flow.h"
#include "proxy/client_link.h"

namespace marjoramrail::internal {

enum class exchange_state {
  /// Not sent yet: waits for an admission slot, the claim of its key or both.
  Waiting,
  /// Sent to the target; occupies a slot.
  Running,
  /// Sent to a peer agent.
  Relayed,
};

/// State of the claim of a request's idempotency key.
enum class claim_state { None, Requested, Granted };

/// A request from the receipt of its header to the end of its answer.
struct exchange {
  reply_address ReplyTo;
  work_request Work;
  h2_head Head;
  /// The part of the body that was received before the request was sent. For a
  /// relayed request, also what came later, as long as BodyTruncated is false.
  std::string Body;
  bool BodyEnded = false;
  /// More body was received after the request was relayed than can be buffered.
  /// The request cannot be sent again.
  bool BodyTruncated = false;
  exchange_state State = exchange_state::Waiting;
  /// Admission has granted a slot.
  bool Admitted = false;
  claim_state Claim = claim_state::None;
  int ClaimRetries = 0;
  /// If the claim is granted: the answer received so far, to be stored in the
  /// key's record.
  std::string SavedAnswer;
  std::optional<host_id> Peer;
  client_link *Link = nullptr;
  instant Began;
  /// The answer's header was sent to the caller, so no other answer is
  /// possible.
  bool HeadSent = false;
  /// The target answered with status 503: it did not run the request.
  bool Shed = false;
  duration ShedRetryAfter = duration::zero();
  std::optional<timer_id> Deadline;
  /// Answer bytes that have not yet been reported as consumed to the link.
  std::size_t UnconsumedAnswer = 0;
  /// Body bytes that have not yet been reported as consumed to the caller's
  /// session.
  std::size_t UnconsumedBody = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_EXCHANGE_H
