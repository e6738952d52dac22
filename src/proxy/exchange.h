//===- exchange.h - One request in progress ---------------------*- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_PROXY_EXCHANGE_H
#define MARJORAMRAIL_SRC_PROXY_EXCHANGE_H

#include "proxy/caller_flow.h"
#include "proxy/client_link.h"

namespace marjoramrail::internal {

enum class exchange_state {
  /// Its key's claim is being asked for.
  Claiming,
  /// Not sent anywhere.
  Waiting,
  /// Sent to the target; its slot is taken.
  Running,
  /// Sent to a peer agent.
  Relayed,
};

/// One request from its head to the end of its answer.
struct exchange {
  answer_place Place;
  work_request Work;
  h2_head Head;
  /// What has come of the body before the request was sent.
  std::string Body;
  bool BodyEnded = false;
  /// More came after it was relayed than is kept for another try.
  bool BodyLost = false;
  exchange_state State = exchange_state::Waiting;
  /// Its key has been granted to it.
  bool Claimed = false;
  /// With Claimed: the answer so far, to be kept with the key.
  std::string Kept;
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
  std::size_t AnswerHeld = 0;
  /// Body bytes that the link has not taken on yet.
  std::size_t BodyHeld = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_PROXY_EXCHANGE_H
