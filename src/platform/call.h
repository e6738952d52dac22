//===- call.h - One call to the platform's API ------------------*- C++ -*-===//
///
/// \file
/// Encoding and decoding of one call without any network I/O: the request, the
/// meaning of a response, and the outcome when there is no response.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_PLATFORM_CALL_H
#define MARJORAMRAIL_PLATFORM_CALL_H

#include "marjoramrail/platform.h"

#include <string>

namespace marjoramrail::internal {

using call_verb = platform_verb;

/// The ways in which a call can end without a response.
enum class call_failure {
  /// No connection was established or available: nothing was sent.
  NotSent,
  /// The connection broke or the time-out expired after the request was sent.
  NoAnswer,
};

/// A pending call.
struct call : platform_call {
  platform_callback Done;

  /// For reads: the number of servers that could not be connected to.
  std::size_t Refusals = 0;
  timer_id Timer{};
  instant StartedAt;
  /// The server that the call was last sent to, and the received bytes of the
  /// response body.
  endpoint Server;
  std::size_t Bytes = 0;
  /// The parts received so far of a list that is returned in several parts.
  std::vector<platform_object> Parts;
};

/// The path and query of the request.
std::string pathOf(const platform_call &Call);

/// The reason why a call must not be sent, or "". Kinds, names and writers
/// become part of paths and header fields, where other characters would change
/// the meaning of the request.
std::string validationError(const platform_call &Call);

platform_reply replyTo(const platform_call &Call, const http_answer &Answer);

/// The reply to a call without a response. A change that was sent may have
/// taken effect: if it were reported as failed, the caller would write it a
/// second time.
platform_reply replyToFailure(const platform_call &Call, call_failure Failure,
                              const std::string &Reason);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_PLATFORM_CALL_H
